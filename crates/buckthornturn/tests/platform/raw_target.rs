//! A target on a plain TCP socket that records the bytes of requests.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::entry_fleet::WAIT_LIMIT;

/// A request as a target received it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReceivedRequest {
    /// Start line as sent.
    pub line: Box<str>,
    /// Head in lower case.
    pub head: Box<str>,
    /// Body without its framing, as far as it came.
    pub body: Vec<u8>,
    /// Whether the end of the body came.
    pub is_complete: bool,
}

impl ReceivedRequest {
    pub fn body_text(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.body)
    }
}

/// A target on a plain TCP socket that records what it receives and answers complete requests.
pub struct RawTarget {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    _tasks: JoinSet<()>,
}

impl RawTarget {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::<Mutex<Vec<ReceivedRequest>>>::default();
        let (mut tasks, received) = (JoinSet::new(), Arc::clone(&requests));
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let received = Arc::clone(&received);
                connections.spawn(async move { serve(stream, &received).await });
            }
        });
        Self { address, requests, _tasks: tasks }
    }

    /// Requests received so far, in order.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }

    /// Forgets the requests received so far; no request may be under way.
    pub fn clear(&self) {
        self.requests.lock().unwrap().clear();
    }

    /// Waits until a part of a body has arrived.
    pub async fn wait_for_body(&self, part: &str) {
        let has_part = || self.requests().iter().any(|request| request.body_text().contains(part));
        let wait = async {
            while !has_part() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_LIMIT, wait).await.expect("the start of the body");
    }
}

async fn serve(mut stream: TcpStream, requests: &Mutex<Vec<ReceivedRequest>>) -> Option<()> {
    loop {
        let head = read_until(&mut stream, "\r\n\r\n").await?;
        let line: Box<str> = head.lines().next()?.into();
        let head: Box<str> = head.to_ascii_lowercase().into();
        let place = {
            let mut requests = requests.lock().unwrap();
            requests.push(ReceivedRequest { line, head: head.clone(), ..Default::default() });
            requests.len() - 1
        };
        let extend = |byte| requests.lock().unwrap()[place].body.push(byte);
        if head.contains("transfer-encoding: chunked") {
            loop {
                let size = read_until(&mut stream, "\r\n").await?;
                let size = usize::from_str_radix(size.trim(), 16).ok()?;
                read_part(&mut stream, size, extend).await?;
                read_until(&mut stream, "\r\n").await?;
                if size == 0 {
                    break;
                }
            }
        } else {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            let length = length.map_or(0, |length| length.trim().parse().unwrap());
            read_part(&mut stream, length, extend).await?;
        }
        requests.lock().unwrap()[place].is_complete = true;
        let id = head.lines().find_map(|line| line.strip_prefix("x-attempt-id: ")).unwrap_or("");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: s\r\n\
             x-server-load: 1,0,4\r\ncontent-length: 2\r\n\r\nok"
        );
        stream.write_all(answer.as_bytes()).await.ok()?;
    }
}

async fn read_until(stream: &mut TcpStream, end: &str) -> Option<String> {
    let mut text = Vec::new();
    while !text.ends_with(end.as_bytes()) {
        text.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(text).ok()
}

async fn read_part(stream: &mut TcpStream, size: usize, extend: impl Fn(u8)) -> Option<()> {
    for _ in 0..size {
        extend(stream.read_u8().await.ok()?);
    }
    Some(())
}
