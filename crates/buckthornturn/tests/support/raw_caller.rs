//! A caller on a plain socket, so that any bytes can be sent.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::KEY_AURORA;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// An answer as its bytes came.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// Status; 0 if none came.
    pub status: u16,
    /// Head and body.
    pub text: Box<str>,
}

impl RawAnswer {
    /// Reads an answer out of bytes.
    pub fn parse(bytes: &[u8]) -> Self {
        let text: Box<str> = String::from_utf8_lossy(bytes).into();
        let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        Self { status, text }
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next()?;
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Outcome that a refusal says.
    pub fn outcome(&self) -> &str {
        self.header("buckthornturn-outcome").unwrap_or("")
    }

    /// Body.
    pub fn body(&self) -> &str {
        self.text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }

    /// Reason of a refusal.
    pub fn reason(&self) -> String {
        let body: serde_json::Value = serde_json::from_str(self.body()).unwrap_or_default();
        body["title"].as_str().unwrap_or_default().to_owned()
    }
}

/// A request with a key, more header lines, and `Connection: close`.
pub fn request(line: &str, headers: &[&str], body: &str) -> String {
    let mut text = format!("{line} HTTP/1.1\r\nhost: s.example\r\nconnection: close\r\n");
    if !headers.iter().any(|header| header.to_ascii_lowercase().starts_with("authorization")) {
        text += &format!("authorization: Bearer {KEY_AURORA}\r\n");
    }
    for header in headers {
        text += &format!("{header}\r\n");
    }
    if !body.is_empty() {
        text += &format!("content-length: {}\r\n", body.len());
    }
    text + "\r\n" + body
}

/// Sends bytes and reads until the other side closes.
pub async fn exchange(address: SocketAddr, bytes: impl AsRef<[u8]>) -> RawAnswer {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes.as_ref()).await;
    let mut answer = Vec::new();
    let read = async {
        let mut buffer = [0; 4096];
        while let Ok(count @ 1..) = stream.read(&mut buffer).await {
            answer.extend_from_slice(&buffer[..count]);
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, read).await.unwrap();
    RawAnswer::parse(&answer)
}
