//! Callers that send the bodies of their requests in parts, on plain TCP sockets.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use standin::platform::BodyLedger;
use standin::platform::SentRequest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

/// Longest wait for an answer, above the time that each caller states.
const ANSWER_TIME: Duration = Duration::from_secs(4);

/// How the length of a body is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UploadFraming {
    Length,
    Chunks,
}

/// A caller's request with a body that is sent in parts.
#[derive(Clone, Copy, Debug)]
pub struct UploadCall {
    pub path: &'static str,
    pub bytes: usize,
    pub framing: UploadFraming,
    pub part_bytes: usize,
    pub pause: Duration,
    /// Number of bytes after which the caller closes its connection.
    pub cut_after: Option<usize>,
}

impl UploadCall {
    /// Parts of 10,000 bytes, one each 4 ms.
    pub const fn new(bytes: usize, framing: UploadFraming) -> Self {
        Self {
            path: "/uploads/1?a=b",
            bytes,
            framing,
            part_bytes: 10_000,
            pause: Duration::from_millis(4),
            cut_after: None,
        }
    }

    /// Sends the request to a host and returns the status of the answer; `None` if no complete one came.
    pub async fn send(self, host: SocketAddr, ledger: &BodyLedger) -> Option<u16> {
        let number = rand::random::<u64>();
        let attempt = format!("{number:016x}");
        let body = distinct_body(number, self.bytes);
        let sent = SentRequest {
            method: "POST".into(),
            path: self.path.into(),
            body: body.clone(),
            is_cut: self.cut_after.is_some(),
        };
        ledger.record_sent(&attempt, sent);
        let (mut reader, mut writer) = TcpStream::connect(host).await.ok()?.into_split();
        let write = async {
            let _ = self.write(&mut writer, &attempt, &body).await;
            match self.cut_after {
                Some(_) => {}
                None => std::future::pending().await,
            }
        };
        let mut answer = Vec::new();
        tokio::select! {
            () = write => return None,
            _ = tokio::time::timeout(ANSWER_TIME, reader.read_to_end(&mut answer)) => {}
        }
        parse_answer(&answer)
    }

    async fn write(
        &self,
        writer: &mut OwnedWriteHalf,
        attempt: &str,
        body: &[u8],
    ) -> std::io::Result<()> {
        let framing = match self.framing {
            UploadFraming::Length => format!("content-length: {}", self.bytes),
            UploadFraming::Chunks => "transfer-encoding: chunked".to_owned(),
        };
        let head = format!(
            "POST {} HTTP/1.1\r\nhost: pages.example\r\nconnection: close\r\nx-attempt-id: {attempt}\r\n\
             x-request-deadline: 3000\r\nx-credential: key-1\r\nx-affinity-key: {attempt}\r\n{framing}\r\n\r\n",
            self.path,
        );
        writer.write_all(head.as_bytes()).await?;
        let end = self.cut_after.unwrap_or(self.bytes).min(self.bytes);
        for part in body[..end].chunks(self.part_bytes) {
            match self.framing {
                UploadFraming::Length => writer.write_all(part).await?,
                UploadFraming::Chunks => {
                    let line = format!("{:x}\r\n", part.len());
                    writer.write_all(&[line.as_bytes(), part, b"\r\n"].concat()).await?;
                }
            }
            tokio::time::sleep(self.pause).await;
        }
        match self.framing {
            UploadFraming::Chunks if self.cut_after.is_none() => {
                writer.write_all(b"0\r\n\r\n").await
            }
            _ => Ok(()),
        }
    }
}

/// Status of a complete answer with a length.
fn parse_answer(answer: &[u8]) -> Option<u16> {
    let answer = String::from_utf8_lossy(answer);
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
    let is_complete = length.parse() == Ok(body.len());
    head.split(' ').nth(1)?.parse().ok().filter(|_| is_complete)
}

/// A body each of whose places differs from all others, and from those of other bodies.
fn distinct_body(seed: u64, bytes: usize) -> Bytes {
    let words = (0..bytes.div_ceil(16) as u64).flat_map(|number| {
        let word = (u128::from(seed) << 64) | u128::from(number);
        word.wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835).to_le_bytes()
    });
    words.take(bytes).collect()
}
