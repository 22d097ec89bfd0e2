//! Bodies that a first target read whole and refused, and that are sent again to a second one.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornturn::callers::Busy;
use buckthornturn::callers::CallerBody;
use buckthornturn::callers::Idle;
use buckthornturn::callers::ReplayableUpload;
use buckthornturn::callers::TargetConnection;
use buckthornturn::callers::WholeUpload;
use buckthornturn::interface::StreamDialer;
use bytes::Bytes;
use coordination::buffer_budget::BufferBudget;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

const BODY_BYTES: usize = 900_000;
const SMALL_PARTS: usize = 60_000;
const ANSWER_BYTES: usize = 600_000;
/// Bytes of an answer that a host reads before it passes the answer on.
const START_BYTES: usize = ANSWER_BYTES / 2;
const SOCKET_BYTES: u32 = 16 << 10;
const TIMEOUT: Duration = Duration::from_millis(500);

/// Dialer of connections that hold few bytes, as those of a slow network do.
struct NarrowDialer;

impl StreamDialer for NarrowDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        async move {
            let socket = TcpSocket::new_v4()?;
            socket.set_send_buffer_size(SOCKET_BYTES)?;
            socket.connect(address).await
        }
        .boxed()
    }
}

/// A body is read whole by a target that refuses it, and sent again to one that answers early.
#[tokio::test]
async fn a_long_early_answer_to_a_body_that_is_sent_again_is_whole() {
    let (refusing, _) = start_target(async |mut stream: TcpStream| {
        let body = read_request(&mut stream).await;
        let _ = stream.write_all(b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n").await;
        body
    })
    .await;
    let (early, mut bodies) = start_target(async |mut stream: TcpStream| {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&[b'a'; START_BYTES]).await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let body = read_request(&mut stream).await;
        let _ = stream.write_all(&[b'a'; ANSWER_BYTES - START_BYTES]).await;
        body
    })
    .await;
    let mut answers = start_host(refusing, early).await;
    let _caller = send_upload(answers.1).await;
    let answer = tokio::time::timeout(Duration::from_secs(5), answers.0.recv()).await;
    assert_eq!(answer.unwrap(), Some(ANSWER_BYTES), "bytes of the answer");
    let body = tokio::time::timeout(Duration::from_secs(5), bodies.recv()).await;
    assert_eq!(body.unwrap(), Some(BODY_BYTES), "bytes of the body");
}

async fn start_target(
    serve: impl AsyncFn(TcpStream) -> usize + Send + Sync + 'static,
) -> (SocketAddr, mpsc::UnboundedReceiver<usize>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SOCKET_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            listener_loop(listener, &serve, &sender).await;
        });
    });
    (address, receiver)
}

async fn listener_loop(
    listener: TcpListener,
    serve: &impl AsyncFn(TcpStream) -> usize,
    sender: &mpsc::UnboundedSender<usize>,
) {
    let Ok((stream, _)) = listener.accept().await else { return };
    let bytes = serve(stream).await;
    let _ = sender.send(bytes);
}

/// Reads a request of the known length. Returns the number of bytes of its body that came.
async fn read_request(stream: &mut TcpStream) -> usize {
    let mut request = Vec::new();
    loop {
        let head = request.windows(4).position(|window| window == b"\r\n\r\n");
        let read = head.map_or(0, |head| request.len() - head - 4);
        if read >= BODY_BYTES || stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
            return read;
        }
    }
}

/// A host that sends one upload to two targets as an entry host does. Returns how many bytes of the answer came.
async fn start_host(
    first: SocketAddr,
    second: SocketAddr,
) -> (mpsc::UnboundedReceiver<usize>, SocketAddr) {
    start_host_with(move |request| exchange(request, first, second).boxed()).await
}

async fn start_host_with(
    exchange: impl Fn(Request<Incoming>) -> BoxFuture<'static, usize> + Send + Sync + 'static,
) -> (mpsc::UnboundedReceiver<usize>, SocketAddr) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let service = service_fn(async |request: Request<Incoming>| {
            let bytes = exchange(request).await;
            let _ = sender.send(bytes);
            Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new()))
        });
        let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    });
    (receiver, address)
}

async fn exchange(request: Request<Incoming>, first: SocketAddr, second: SocketAddr) -> usize {
    let (_, body) = CallerBody::split_request(request);
    let budget = Arc::<BufferBudget>::default();
    let upload = ReplayableUpload::new(body, &budget, 8 << 20, Duration::from_secs(10));
    let refused = send(first, upload.take_whole().unwrap()).await;
    assert!(refused.1.has_sent_request());
    drop(refused);
    let (response, _connection) = send(second, upload.take_whole().unwrap()).await;
    upload.release_start();
    let mut answer = response.into_body();
    let mut bytes = 0;
    let mut is_passed_on = false;
    while let Some(Ok(frame)) = answer.frame().await {
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > 256 << 10 && !is_passed_on {
            is_passed_on = true;
            upload.discard_rest(TIMEOUT).await;
        }
    }
    bytes
}

/// A start that is read for its digest is not sent yet when it is released.
#[tokio::test]
async fn a_body_whose_start_is_released_before_it_is_sent_is_whole() {
    let (early, mut bodies) = start_target(async |mut stream: TcpStream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nearly").await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        read_request(&mut stream).await
    })
    .await;
    let (mut answers, host) =
        start_host_with(move |request| digest_first(request, early).boxed()).await;
    let _caller = send_upload(host).await;
    let body = tokio::time::timeout(Duration::from_secs(5), bodies.recv()).await;
    assert_eq!(body.unwrap(), Some(BODY_BYTES), "bytes of the body");
    assert_eq!(answers.recv().await, Some(5), "bytes of the answer");
}

/// Reads a body for its digest, sends it and releases its start with the head of the answer.
async fn digest_first(request: Request<Incoming>, target: SocketAddr) -> usize {
    let (_, body) = CallerBody::split_request(request);
    let budget = Arc::<BufferBudget>::default();
    let upload = ReplayableUpload::new(body, &budget, 8 << 20, Duration::from_secs(10));
    let whole = upload.take_whole().unwrap();
    whole.read_digest().await.unwrap();
    let (response, connection) = send(target, whole).await;
    upload.release_start();
    let bytes = response.into_body().collect().await.unwrap().to_bytes().len();
    assert!(connection.finish_request().await.is_some());
    bytes
}

async fn send(
    address: SocketAddr,
    upload: WholeUpload,
) -> (Response<Incoming>, TargetConnection<Busy>) {
    let connection: TargetConnection<Idle> =
        TargetConnection::open(&NarrowDialer, address, TIMEOUT, || {}).await.unwrap();
    let request = Request::post("/uploads/1");
    connection.send(request.body(upload).unwrap()).await.ok().unwrap()
}

async fn send_upload(host: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(host).await.unwrap();
    let head =
        format!("POST /uploads/1 HTTP/1.1\r\nhost: h\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'b'; BODY_BYTES]).await.unwrap();
    stream
}

/// Each part of one byte was buffered by itself once, in some 38 times the memory that the budget counted.
#[tokio::test]
async fn a_body_in_parts_of_one_byte_is_buffered_in_larger_ones() {
    let (refusing, _) = start_target(async |mut stream: TcpStream| {
        let bytes = read_chunks(&mut stream).await;
        let _ = stream.write_all(b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n").await;
        bytes
    })
    .await;
    let (second, mut sizes) = start_target(async |mut stream: TcpStream| {
        let bytes = read_chunks(&mut stream).await;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
        bytes
    })
    .await;
    let (_answers, host) = start_host(refusing, second).await;
    let mut caller = TcpStream::connect(host).await.unwrap();
    let head = "POST /uploads/1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    let body = "1\r\nb\r\n".repeat(SMALL_PARTS);
    caller.write_all(format!("{head}{body}0\r\n\r\n").as_bytes()).await.unwrap();
    let size = tokio::time::timeout(Duration::from_secs(20), sizes.recv()).await;
    let size = size.unwrap().unwrap();
    assert!((SMALL_PARTS..SMALL_PARTS * 2).contains(&size), "{size} bytes with their framing");
}

/// Reads a request in chunks to its end. Returns the size of its body with the framing.
async fn read_chunks(stream: &mut TcpStream) -> usize {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n0\r\n\r\n") {
        if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
            return 0;
        }
    }
    let head = request.windows(4).position(|window| window == b"\r\n\r\n").unwrap();
    request.len() - head - 4
}
