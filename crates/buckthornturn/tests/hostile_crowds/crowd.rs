//! Callers outside the limits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use standin::body_check::RequestStamp;
use standin::body_check::STAMP_HEADER;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::entry_program::EntryProgram;
use crate::entry_program::MAX_BODY_BYTES;
use crate::entry_program::Port;

/// Callers that take memory. On a route each takes a connection to a target as well.
const CALLERS: usize = 500;
/// Callers that take descriptors, more than the process may have.
const IDLE_CALLERS: usize = 1_100;
/// Requests that one caller sends ahead.
const REQUESTS_AHEAD: usize = 300;
/// Short fields of one head; with their bytes it stays below 16 KiB.
const SHORT_FIELDS: usize = 2_400;
/// Length of a head that never ends, the bound of the HTTP library's default.
const ENDLESS_HEAD_BYTES: usize = 400_000;
const HUGE_BODY_BYTES: usize = 20_000_000;
const CHUNK_BYTES: usize = 500;
const PIECE_BYTES: usize = 1_000;
/// Time between the connections of two callers. All at once overflow the queue of the listener, after which the system
/// offers a connection on which nothing is sent again only seconds later.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(2);
/// Receive buffer of callers that read nothing, in bytes.
const SMALL_BUFFER: u32 = 4_096;

/// What each caller of a crowd does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Misuse {
    /// Sends a body of legal size in one piece, but for its last byte, and stays.
    BodyAtOnce,
    /// Sends a body of legal size in small pieces, but for its last byte, and stays.
    BodyInPieces,
    /// Sends a chunked body of legal size without its last chunk, and stays.
    BodyInChunks,
    /// Sends a body far over the limit.
    HugeBody,
    /// Sends requests of legal size with very many short fields.
    ManyFields,
    /// Sends a head up to the bound of the HTTP library without its end, and stays.
    EndlessHead,
    /// Sends many requests and reads no answer.
    RequestsAhead,
    /// Asks for a large answer and reads nothing of it.
    UnreadAnswer,
    /// Sends a head byte by byte.
    SlowHead,
    /// Connects and sends nothing.
    Silence,
}

/// Running callers; dropping it closes their connections.
pub struct Crowd {
    _callers: JoinSet<()>,
    count: usize,
    arrived: Arc<AtomicUsize>,
}

impl Crowd {
    /// Starts callers that all do the same. They connect from several addresses, as a bound on one address would hide the
    /// bounds of the process.
    pub fn start(program: &EntryProgram, port: Port, misuse: Misuse) -> Self {
        let count = match misuse {
            Misuse::SlowHead | Misuse::Silence => IDLE_CALLERS,
            _ => CALLERS,
        };
        let address = program.address(port);
        let arrived = Arc::<AtomicUsize>::default();
        let mut callers = JoinSet::new();
        for number in 0..count {
            let arrived = Arc::clone(&arrived);
            callers.spawn(async move {
                let source = SocketAddr::from(([127, 0, 1, (number % 200) as u8 + 1], 0));
                tokio::time::sleep(ARRIVAL_PAUSE * number as u32).await;
                let stream = connect(address, source).await;
                arrived.fetch_add(1, Ordering::Relaxed);
                let Some(mut stream) = stream else { return };
                let _ = misbehave(&mut stream, port, misuse).await;
                std::future::pending::<()>().await;
            });
        }
        Self { _callers: callers, count, arrived }
    }

    /// Whether all callers have a connection, or were refused one.
    pub fn has_arrived(&self) -> bool {
        self.arrived.load(Ordering::Relaxed) >= self.count
    }
}

async fn connect(address: SocketAddr, source: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(SMALL_BUFFER).ok()?;
    socket.bind(source).ok()?;
    let stream = socket.connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

async fn misbehave(stream: &mut TcpStream, port: Port, misuse: Misuse) -> std::io::Result<()> {
    let last = MAX_BODY_BYTES - 1;
    let length = |bytes: usize| format!("content-length: {bytes}\r\n");
    match misuse {
        Misuse::BodyAtOnce => {
            let head = request("POST", port, &length(MAX_BODY_BYTES));
            stream.write_all(&[head.as_bytes(), &vec![b'b'; last]].concat()).await
        }
        Misuse::BodyInPieces => {
            stream.write_all(request("POST", port, &length(MAX_BODY_BYTES)).as_bytes()).await?;
            for _ in 0..last / PIECE_BYTES {
                stream.write_all(&[b'b'; PIECE_BYTES]).await?;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            Ok(())
        }
        Misuse::BodyInChunks => {
            let head = request("POST", port, "transfer-encoding: chunked\r\n");
            stream.write_all(head.as_bytes()).await?;
            let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "b".repeat(CHUNK_BYTES));
            for _ in 0..last / CHUNK_BYTES {
                stream.write_all(chunk.as_bytes()).await?;
            }
            Ok(())
        }
        Misuse::HugeBody => {
            let head = request("POST", port, &length(HUGE_BODY_BYTES));
            stream.write_all(head.as_bytes()).await?;
            for _ in 0..HUGE_BODY_BYTES / MAX_BODY_BYTES {
                stream.write_all(&[b'b'; MAX_BODY_BYTES]).await?;
            }
            Ok(())
        }
        Misuse::ManyFields => {
            let head = request("GET", port, &"a: b\r\n".repeat(SHORT_FIELDS));
            while stream.write_all(head.as_bytes()).await.is_ok()
                && stream.read(&mut [0; 1_024]).await.is_ok_and(|read| read > 0)
            {}
            Ok(())
        }
        Misuse::EndlessHead => {
            let head = request("GET", port, "");
            let field = format!("a: {}\r\n", "b".repeat(4_000));
            let fields = field.repeat(ENDLESS_HEAD_BYTES / field.len());
            stream.write_all(head.trim_end().as_bytes()).await?;
            stream.write_all(b"\r\n").await?;
            stream.write_all(fields.as_bytes()).await
        }
        Misuse::RequestsAhead => {
            for _ in 0..REQUESTS_AHEAD {
                stream.write_all(request("GET", port, "").as_bytes()).await?;
            }
            Ok(())
        }
        Misuse::UnreadAnswer => stream.write_all(request("GET", port, "").as_bytes()).await,
        Misuse::SlowHead => {
            for byte in request("GET", port, "x-slow: 1\r\n").trim_end().bytes() {
                stream.write_all(&[byte]).await?;
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            Ok(())
        }
        Misuse::Silence => Ok(()),
    }
}

/// Head of a request that its port takes, with further fields.
fn request(method: &str, port: Port, fields: &str) -> String {
    let path = port.path(method);
    let stamp = RequestStamp::new(method, path, b"").to_string();
    let attempt = format!("{:016x}", rand::random::<u64>());
    format!(
        "{method} {path} HTTP/1.1\r\nhost: pages.example\r\nx-attempt-id: {attempt}\r\n\
         x-request-deadline: 60000\r\nx-credential: key-1\r\nx-affinity-key: 17\r\n\
         {STAMP_HEADER}: {stamp}\r\n{fields}\r\n"
    )
}
