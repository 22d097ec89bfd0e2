//! A caller on a plain TCP socket, which can send malformed requests.

use std::net::SocketAddr;
use std::time::Duration;

use standin::body_check::STAMP_HEADER;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::KEY_AURORA;
use crate::support::stamp_line;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// An answer as received, possibly truncated.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// Status code; 0 if the connection closed without one.
    pub status: u16,
    /// Head and body as received; invalid UTF-8 is replaced.
    pub text: Box<str>,
}

impl RawAnswer {
    /// Parses the bytes that came until the connection closed.
    pub fn parse(bytes: &[u8]) -> Self {
        let text: Box<str> = String::from_utf8_lossy(bytes).into();
        let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        Self { status, text }
    }

    /// Value of the first header of a name, in any case; `None` if it is absent.
    pub fn header(&self, name: &str) -> Option<&str> {
        let head = self.text.split("\r\n\r\n").next()?;
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Outcome that a refusal states; empty for an answer of a target.
    pub fn outcome(&self) -> &str {
        self.header("buckthornturn-outcome").unwrap_or("")
    }

    /// Body as received, chunk framing included; empty if the head is incomplete.
    pub fn body(&self) -> &str {
        self.text.split_once("\r\n\r\n").map_or("", |(_, body)| body)
    }

    /// Reason that a refusal states as its title; empty for other answers.
    pub fn reason(&self) -> String {
        let body: serde_json::Value = serde_json::from_str(self.body()).unwrap_or_default();
        body["title"].as_str().unwrap_or_default().to_owned()
    }
}

/// A request with `Connection: close`, its stamp and the given header lines; the key of `aurora` is added unless they have one.
pub fn request(line: &str, headers: &[&str], body: &str) -> String {
    let mut text = format!("{line} HTTP/1.1\r\nhost: s.example\r\nconnection: close\r\n");
    if !headers.iter().any(|header| header.to_ascii_lowercase().starts_with("authorization")) {
        text += &format!("authorization: Bearer {KEY_AURORA}\r\n");
    }
    if !headers.iter().any(|header| header.starts_with(STAMP_HEADER)) {
        text += &format!("{}\r\n", stamp_line(line, body));
    }
    for header in headers {
        text += &format!("{header}\r\n");
    }
    if !body.is_empty() {
        text += &format!("content-length: {}\r\n", body.len());
    }
    text + "\r\n" + body
}

/// Sends bytes on a new connection and reads until the other side closes it; panics after 20 s.
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
