//! Memory that buffered bodies take.

#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornturn::callers::CallerBody;
use buckthornturn::callers::ReplayableUpload;
use buckthornturn::callers::TargetConnection;
use buckthornturn::interface::TcpDialer;
use bytes::Bytes;
use coordination::buffer_budget::BufferBudget;
use futures::future::join_all;
use http::Request;
use http::Response;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

const BODIES: usize = 16;
const BODY_BYTES: usize = 900_000;
const PART_BYTES: usize = 600;
const TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the buffers into which an entry host reads.
const READ_BUFFER_BYTES: usize = 16 << 10;

fn resident_bytes() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap();
    pages.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * 4096
}

/// A target that reads whole requests and never answers.
async fn start_sink(received: Arc<Semaphore>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let received = Arc::clone(&received);
            tokio::spawn(async move {
                let (mut buffer, mut read) = ([0; 8 << 10], 0);
                while read < BODY_BYTES {
                    read += stream.read(&mut buffer).await.unwrap();
                }
                received.add_permits(1);
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

async fn pass_on(request: Request<Incoming>, budget: &Arc<BufferBudget>, target: SocketAddr) {
    let (_, body) = CallerBody::split_request(request);
    let upload = ReplayableUpload::new(body, budget, 8 << 20, TIMEOUT);
    let whole = upload.take_whole().unwrap();
    let dialer = TcpDialer::shared();
    let connection = TargetConnection::open(&*dialer, target, TIMEOUT, || {}).await.unwrap();
    let _ = connection.send(Request::post("/u").body(whole).unwrap()).await;
}

async fn start_host(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let budget = Arc::<BufferBudget>::default();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let budget = Arc::clone(&budget);
            tokio::spawn(async move {
                let service = service_fn(async |request: Request<Incoming>| {
                    pass_on(request, &budget, target).await;
                    Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new()))
                });
                let mut server = http1::Builder::new();
                let server = server.max_buf_size(READ_BUFFER_BYTES);
                let _ = server.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    address
}

async fn send_slowly(host: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(host).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let head = format!("POST /u HTTP/1.1\r\nhost: h\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..BODY_BYTES / PART_BYTES {
        stream.write_all(&[b'b'; PART_BYTES]).await.unwrap();
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    stream
}

/// Each buffered part kept the buffer alive into which it was read.
#[tokio::test]
async fn bodies_in_small_parts_take_little_more_memory_than_their_bytes() {
    let received = Arc::new(Semaphore::new(0));
    let target = start_sink(Arc::clone(&received)).await;
    let host = start_host(target).await;
    let before = resident_bytes();
    let _callers = join_all((0..BODIES).map(|_| send_slowly(host))).await;
    let _all = received.acquire_many(BODIES as u32).await.unwrap();
    let taken = resident_bytes() - before;
    assert!(taken < 2 * BODIES * BODY_BYTES, "{taken} bytes for {}", BODIES * BODY_BYTES);
}
