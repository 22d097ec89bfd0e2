//! A target on a plain TCP socket that follows a script.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use socket2::SockRef;
use standin::body_check::BodyTally;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::support::sent_request::compare_request;

const SHED: &str = "HTTP/1.1 503 X\r\ntarget-shed: 1\r\ncontent-length: 0\r\n\r\n";

/// What a target does with one request.
#[derive(Clone, Copy, Debug)]
pub enum TargetStep {
    /// Answers with the path of the request as the body.
    EchoPath,
    /// Answers with the path twice, the second time after a pause.
    EchoTwice(Duration),
    /// Sends bytes unchanged and keeps the connection open.
    Send(&'static str),
    /// Sends bytes unchanged and closes the connection.
    SendAndClose(&'static str),
    /// Sends bytes unchanged as soon as it has the head, and resets the connection after a pause without reading the body.
    SendEarlyAndReset(&'static str, Duration),
    /// Closes the connection without an answer once the request has arrived.
    Close,
    /// Reads the request and never answers.
    Hang,
    /// Sends a head and then one chunk of a body every 10 ms without end.
    SendEndlessBody,
    /// Answers with status 503 and `target-shed`: the request did not run.
    Shed,
    /// Answers as `Shed` does as soon as it has the head, and reads the body afterwards.
    ShedEarly,
    /// Answers with the path after a pause.
    EchoSlowly(Duration),
    /// Answers with the path before it has read the body.
    AnswerEarly,
    /// Answers with the path as soon as it has the head, and reads the body afterwards.
    EchoEarly,
    /// Sends half of an answer of so many bytes as soon as it has the head, and the rest once it has read the body.
    AnswerAroundBody(usize),
}

/// A target on a loopback address; it stops when dropped, and panics then if it has read another request than a caller sent.
pub struct ScriptedTarget {
    /// Address of its listener.
    pub address: SocketAddr,
    shared: Arc<TargetShared>,
    _tasks: JoinSet<()>,
}

struct TargetShared {
    steps: Vec<TargetStep>,
    received_requests: Mutex<Vec<String>>,
    open_connections: AtomicUsize,
    accepted_connections: AtomicUsize,
    bodies: BodyTally,
}

impl Drop for ScriptedTarget {
    fn drop(&mut self) {
        self.shared.bodies.assert_unchanged("of a script");
    }
}

struct OpenConnectionGuard(Arc<TargetShared>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}

impl ScriptedTarget {
    /// Starts a target that takes one step for each request; the last one is repeated.
    pub async fn start(steps: &[TargetStep]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(TargetShared {
            steps: steps.to_vec(),
            received_requests: Mutex::default(),
            open_connections: AtomicUsize::new(0),
            accepted_connections: AtomicUsize::new(0),
            bodies: BodyTally::default(),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, Arc::clone(&shared)));
        Self { address, shared, _tasks: tasks }
    }

    /// States that the test sends malformed bodies, which carry no stamp.
    pub fn expect_malformed_bodies(&self) {
        self.shared.bodies.allow_malformed_bodies();
    }

    /// Requests received so far, each with head and body.
    pub fn received_requests(&self) -> Vec<String> {
        self.shared.received_requests.lock().unwrap().clone()
    }

    /// Number of bytes of all requests that were received to their ends, and of the heads of the others.
    pub fn received_bytes(&self) -> usize {
        self.shared.received_requests.lock().unwrap().iter().map(String::len).sum()
    }

    /// Number of connections that are open now.
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::SeqCst)
    }

    /// Number of connections accepted so far.
    pub fn accepted_connections(&self) -> usize {
        self.shared.accepted_connections.load(Ordering::SeqCst)
    }
}

async fn accept(listener: TcpListener, shared: Arc<TargetShared>) {
    let mut connections = JoinSet::new();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        shared.open_connections.fetch_add(1, Ordering::SeqCst);
        shared.accepted_connections.fetch_add(1, Ordering::SeqCst);
        let shared = Arc::clone(&shared);
        connections.spawn(async move {
            let _guard = OpenConnectionGuard(Arc::clone(&shared));
            let _ = serve(stream, &shared).await;
        });
    }
}

async fn serve(mut stream: TcpStream, shared: &TargetShared) -> Option<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let path = head.split(' ').nth(1)?.to_owned();
        let number = shared.received_requests.lock().unwrap().len();
        let step = shared.steps[number.min(shared.steps.len() - 1)];
        let echo = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}", path.len());
        answer_before_body(&mut stream, step, &echo).await?;
        let body = match step {
            TargetStep::AnswerEarly => String::new(),
            _ => {
                shared.received_requests.lock().unwrap().push(head.clone());
                let body = read_body(&mut stream, &head).await?;
                compare_request(&shared.bodies, &head, &body);
                shared.received_requests.lock().unwrap()[number].push_str(&body);
                body
            }
        };
        match step {
            TargetStep::ShedEarly | TargetStep::EchoEarly => {}
            TargetStep::AnswerAroundBody(bytes) => {
                stream.write_all(&vec![b'z'; bytes - bytes / 2]).await.ok()?;
            }
            TargetStep::EchoPath => stream.write_all(echo.as_bytes()).await.ok()?,
            TargetStep::EchoTwice(pause) => {
                stream.write_all(echo.as_bytes()).await.ok()?;
                tokio::time::sleep(pause).await;
                stream.write_all(echo.as_bytes()).await.ok()?;
            }
            TargetStep::EchoSlowly(pause) => {
                tokio::time::sleep(pause).await;
                stream.write_all(echo.as_bytes()).await.ok()?;
            }
            TargetStep::Send(text) => stream.write_all(text.as_bytes()).await.ok()?,
            TargetStep::SendAndClose(text) => {
                stream.write_all(text.as_bytes()).await.ok()?;
                return None;
            }
            TargetStep::Close | TargetStep::SendEarlyAndReset(..) => return None,
            TargetStep::Hang => drop(stream.read_u8().await),
            TargetStep::SendEndlessBody => send_endless_body(&mut stream).await?,
            TargetStep::Shed => stream.write_all(SHED.as_bytes()).await.ok()?,
            TargetStep::AnswerEarly => {
                shared.received_requests.lock().unwrap().push(head + &body);
                stream.write_all(echo.as_bytes()).await.ok()?;
                drop(stream.read_u8().await);
                return None;
            }
        }
    }
}

/// Sends what a step sends before the body of its request is read. `None` ends the connection.
async fn answer_before_body(stream: &mut TcpStream, step: TargetStep, echo: &str) -> Option<()> {
    match step {
        TargetStep::ShedEarly => stream.write_all(SHED.as_bytes()).await.ok(),
        TargetStep::SendEarlyAndReset(text, pause) => {
            stream.write_all(text.as_bytes()).await.ok()?;
            tokio::time::sleep(pause).await;
            SockRef::from(&*stream).set_linger(Some(Duration::ZERO)).ok()?;
            None
        }
        TargetStep::EchoEarly => stream.write_all(echo.as_bytes()).await.ok(),
        TargetStep::AnswerAroundBody(bytes) => {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.ok()?;
            stream.write_all(&vec![b'a'; bytes / 2]).await.ok()
        }
        _ => Some(()),
    }
}

async fn send_endless_body(stream: &mut TcpStream) -> Option<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await.ok()?;
    loop {
        stream.write_all(b"4\r\ndrip\r\n").await.ok()?;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

async fn read_body(stream: &mut TcpStream, head: &str) -> Option<String> {
    let head = head.to_ascii_lowercase();
    if head.contains("transfer-encoding: chunked") {
        let mut body = Vec::new();
        while !body.ends_with(b"0\r\n\r\n") {
            body.push(stream.read_u8().await.ok()?);
        }
        return Some(String::from_utf8_lossy(&body).into_owned());
    }
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |text| text.trim().parse().unwrap())];
    stream.read_exact(&mut body).await.ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}
