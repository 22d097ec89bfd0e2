//! Target whose answers never end, on a plain TCP socket.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Largest request head that the target reads, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Part of an answer that never ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndlessPart {
    /// Interim answers before the answer proper.
    InterimAnswers,
    /// Header lines.
    HeaderLines,
    /// Bytes that are no HTTP at all.
    Noise,
    /// A body of a success, as fast as the other end reads it.
    Body,
    /// A body of a success, a few bytes at a time.
    SlowBody,
    /// A body of a refusal that says that the request was not run, a few bytes at a time.
    RefusalBody,
}

/// Running target; dropping it stops the server.
#[derive(Debug)]
pub struct EndlessTarget {
    address: SocketAddr,
    answering: Arc<AtomicUsize>,
    _tasks: JoinSet<()>,
}

struct AnswerCount(Arc<AtomicUsize>);

impl EndlessTarget {
    /// Starts a target on a loopback address.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(part: EndlessPart) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let answering = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&answering);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                let count = Arc::clone(&count);
                connections.spawn(async move {
                    let _ = answer_without_end(stream, part, count).await;
                });
            }
        });
        Ok(Self { address, answering, _tasks: tasks })
    }

    /// Address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections on which an answer is being sent.
    pub fn answering(&self) -> usize {
        self.answering.load(Ordering::SeqCst)
    }
}

impl Drop for AnswerCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn answer_without_end(
    mut stream: TcpStream,
    part: EndlessPart,
    answering: Arc<AtomicUsize>,
) -> io::Result<()> {
    let head = read_head(&mut stream).await?;
    answering.fetch_add(1, Ordering::SeqCst);
    let _count = AnswerCount(answering);
    let attempt = head
        .lines()
        .find_map(|line| line.to_lowercase().strip_prefix("x-attempt-id: ").map(str::to_owned))
        .unwrap_or_default();
    let chunked = format!("transfer-encoding: chunked\r\nx-attempt-id: {attempt}\r\n");
    let success = format!("HTTP/1.1 200 OK\r\nx-server-signature: s\r\n{chunked}\r\n");
    let refusal = format!("HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\n{chunked}\r\n");
    let big_chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    let (start, piece, pause) = match part {
        EndlessPart::InterimAnswers => {
            (String::new(), "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".into(), 1)
        }
        EndlessPart::HeaderLines => {
            ("HTTP/1.1 200 OK\r\n".into(), "x-line: value\r\n".repeat(100), 1)
        }
        EndlessPart::Noise => (String::new(), "\u{1}noise".into(), 1),
        EndlessPart::Body => (success, big_chunk, 0),
        EndlessPart::SlowBody => (success, "1\r\nx\r\n".into(), 10),
        EndlessPart::RefusalBody => (refusal, "1\r\nx\r\n".into(), 10),
    };
    stream.write_all(start.as_bytes()).await?;
    loop {
        stream.write_all(piece.as_bytes()).await?;
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

async fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && head.len() < MAX_HEAD_BYTES {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}
