//! How connections to targets and to the store end: reset under a request that is given up, in order otherwise. A request
//! whose connection was closed in order stayed queued in the kernel and reached the target after it had been given up.

#![allow(clippy::unwrap_used)]

use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornturn::callers::Busy;
use buckthornturn::callers::CallerBody;
use buckthornturn::callers::ReplayableUpload;
use buckthornturn::callers::TargetConnection;
use buckthornturn::callers::TargetPool;
use buckthornturn::interface::ObjectStore;
use buckthornturn::interface::TcpDialer;
use buckthornturn::settings::StoreSettings;
use buckthornturn::store::HttpStore;
use bytes::Bytes;
use coordination::buffer_budget::BufferBudget;
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

/// Body that fills the receive buffer of a target that reads nothing, and part of the send buffer.
const BODY_BYTES: usize = 1 << 20;
const SOCKET_BYTES: u32 = 16 << 10;
/// Time in which a request that can be written is written.
const SEND_TIME: Duration = Duration::from_millis(300);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// How the target's end of a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionEnd {
    Ordered,
    Reset,
}

/// What a target sends before it reads the end of the connection.
#[derive(Clone, Copy, Debug)]
struct TargetAnswer {
    text: &'static str,
    /// Whether the target reads the request before it answers.
    reads_first: bool,
}

const NO_ANSWER: TargetAnswer = TargetAnswer { text: "", reads_first: true };
const READS_NOTHING: TargetAnswer = TargetAnswer { text: "", reads_first: false };
const WHOLE_ANSWER: TargetAnswer =
    TargetAnswer { text: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", reads_first: true };
const LAST_ANSWER: TargetAnswer = TargetAnswer {
    text: "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
    reads_first: true,
};
const HALF_ANSWER: TargetAnswer =
    TargetAnswer { text: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf", reads_first: true };
const EARLY_ANSWER: TargetAnswer =
    TargetAnswer { text: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", reads_first: false };

/// Each case: what the target sends, the size of the request's body, and how the target sees the connection end.
macro_rules! connection_ends {
    ($($name:ident: $answer:ident to a body of $bytes:expr => $end:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (target, mut ends) = start_target($answer).await;
            send_and_drop(target, $bytes).await;
            let (end, read) = receive(&mut ends).await;
            assert_eq!(end, ConnectionEnd::$end, "after {read} bytes");
        }
    )*};
}

connection_ends! {
    a_request_without_an_answer_is_reset: NO_ANSWER to a body of 0 => Reset;
    a_small_upload_without_an_answer_is_reset: NO_ANSWER to a body of 1_000 => Reset;
    a_request_whose_answer_is_not_whole_is_reset: HALF_ANSWER to a body of 0 => Reset;
    an_upload_that_is_answered_before_its_end_is_reset: EARLY_ANSWER to a body of BODY_BYTES => Reset;
    an_answered_connection_ends_in_order: WHOLE_ANSWER to a body of 0 => Ordered;
    an_answered_upload_ends_in_order: WHOLE_ANSWER to a body of 1_000 => Ordered;
    a_connection_whose_answer_is_the_last_ends_in_order: LAST_ANSWER to a body of 0 => Ordered;
}

#[tokio::test]
async fn bytes_of_a_request_that_is_given_up_do_not_arrive_later() {
    let (target, mut ends) = start_target(READS_NOTHING).await;
    send_and_drop(target, BODY_BYTES).await;
    let (end, read) = receive(&mut ends).await;
    assert_eq!(end, ConnectionEnd::Reset, "after {read} bytes");
    assert!(read < BODY_BYTES / 2, "{read} bytes arrived");
}

#[tokio::test]
async fn an_idle_connection_that_the_pool_closes_ends_in_order() {
    let (target, mut ends) = start_target(WHOLE_ANSWER).await;
    let pool = TargetPool::new(TcpDialer::shared());
    let connection = pool.open_connection(target, CONNECT_TIMEOUT).await.unwrap();
    drop(connection);
    assert_eq!(receive(&mut ends).await, (ConnectionEnd::Ordered, 0));
}

/// A write that the store did not answer in time was queued and took effect long after it had been given up.
#[tokio::test]
async fn a_store_write_that_is_given_up_is_reset() {
    let (store, mut ends) = start_target(NO_ANSWER).await;
    let client = store_client(store);
    let write = client.put("notes/1", Bytes::from_static(b"1"), None);
    assert!(tokio::time::timeout(SEND_TIME, write).await.is_err());
    assert_eq!(receive(&mut ends).await.0, ConnectionEnd::Reset);
}

#[tokio::test]
async fn a_store_connection_that_is_answered_ends_in_order() {
    let (store, mut ends) = start_target(LAST_ANSWER).await;
    let client = store_client(store);
    let _ = client.put("notes/1", Bytes::from_static(b"1"), None).await;
    drop(client);
    assert_eq!(receive(&mut ends).await.0, ConnectionEnd::Ordered);
}

fn store_client(address: SocketAddr) -> HttpStore {
    let settings = StoreSettings { address, timeout_ms: 60_000, calls_per_second: 100.0 };
    HttpStore::new("host-0".into(), &settings)
}

/// Starts a target for one connection. Returns how that ended, with the number of bytes that were read of it.
async fn start_target(
    answer: TargetAnswer,
) -> (SocketAddr, mpsc::UnboundedReceiver<(ConnectionEnd, usize)>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SOCKET_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(8).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let _ = sender.send(serve(stream, answer).await);
    });
    (address, receiver)
}

async fn serve(mut stream: TcpStream, answer: TargetAnswer) -> (ConnectionEnd, usize) {
    let mut received = vec![0; BODY_BYTES];
    let mut read = 0;
    if answer.reads_first {
        read += stream.read(&mut received).await.unwrap();
    }
    if read > 0 || !answer.reads_first {
        stream.write_all(answer.text.as_bytes()).await.unwrap();
    }
    if !answer.reads_first {
        tokio::time::sleep(SEND_TIME * 3).await;
    }
    loop {
        match stream.read(&mut received).await {
            Ok(0) => return (ConnectionEnd::Ordered, read),
            Ok(bytes) => read += bytes,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                return (ConnectionEnd::Reset, read);
            }
            Err(error) => panic!("{error}"),
        }
    }
}

async fn receive(
    ends: &mut mpsc::UnboundedReceiver<(ConnectionEnd, usize)>,
) -> (ConnectionEnd, usize) {
    tokio::time::timeout(WAIT_LIMIT, ends.recv()).await.unwrap().unwrap()
}

/// Sends a request with a body of a size, reads the answer as far as it comes, and closes the connection as hosts do: an
/// answered one as an idle connection, another one as it is.
async fn send_and_drop(target: SocketAddr, bytes: usize) {
    let upload = receive_upload(bytes).await;
    let connection =
        TargetConnection::open(&TcpDialer, target, CONNECT_TIMEOUT, || {}).await.unwrap();
    let request = Request::post("/uploads/1").body(upload.take_whole().unwrap()).unwrap();
    let Ok(answer) = tokio::time::timeout(SEND_TIME, connection.send(request)).await else {
        return;
    };
    let (response, connection): (_, TargetConnection<Busy>) = answer.ok().unwrap();
    let body = tokio::time::timeout(SEND_TIME, response.into_body().collect()).await;
    if matches!(body, Ok(Ok(_))) {
        drop(connection.release());
    }
}

/// Receives an upload of a size from a caller.
async fn receive_upload(bytes: usize) -> Arc<ReplayableUpload> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let service = service_fn(async |request: Request<Incoming>| {
            let (_, body) = CallerBody::split_request(request);
            let budget = Arc::<BufferBudget>::default();
            let _ = sender.send(ReplayableUpload::new(body, &budget, 8 << 20, WAIT_LIMIT));
            std::future::pending::<Result<Response<Empty<Bytes>>, Infallible>>().await
        });
        let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    });
    let head = format!("POST /uploads/1 HTTP/1.1\r\nhost: h\r\ncontent-length: {bytes}\r\n\r\n");
    tokio::spawn(async move {
        caller.write_all(head.as_bytes()).await.unwrap();
        caller.write_all(&vec![b'b'; bytes]).await.unwrap();
        std::future::pending::<()>().await;
    });
    receiver.recv().await.unwrap()
}
