//! Stand-in for a client.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::read_body;
use crate::http::Head;

pub const HOST_NAME: &str = "jepu9.example";
pub const KEY: &str = "9anu6wsjnbanfqasnmgk";

/// Head of a request.
pub fn request_head(method: &str, path: &str, attempt: &str, time_budget: Duration, length: usize) -> String {
    let body = match length {
        0 => String::new(),
        length => format!("content-length: {length}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST_NAME}\r\nx-attempt-id: {attempt}\r\n\
         x-request-deadline: {}\r\nx-credential: {KEY}\r\n{body}\r\n",
        time_budget.as_millis()
    )
}

/// An answer as the client sees it.
pub struct Answer {
    pub status: u16,
    pub attempt: String,
    pub is_signed: bool,
    pub body: Vec<u8>,
}

impl Answer {
    /// Whether it is the success of a server to this request.
    pub fn is_success(&self, attempt: &str) -> bool {
        self.status == 200 && self.is_signed && self.attempt == attempt
    }

    pub fn from_head(head: &Head, body: Vec<u8>) -> Self {
        Self {
            status: head.status(),
            attempt: head.header("x-attempt-id").unwrap_or_default().to_owned(),
            is_signed: head.header("x-server-signature").is_some(),
            body,
        }
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn send(host: SocketAddr, method: &str, path: &str, attempt: &str, time_budget: Duration, body: &[u8]) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&host, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(time_budget + Duration::from_millis(500)))?;
    let head = request_head(method, path, attempt, time_budget, body.len());
    stream.write_all(&[head.as_bytes(), body].concat())?;
    read_answer(&mut BufReader::new(stream))
}

pub fn read_answer(reader: &mut BufReader<impl Read>) -> io::Result<Answer> {
    let head = Head::read(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(reader, &head)?;
    Ok(Answer::from_head(&head, body))
}
