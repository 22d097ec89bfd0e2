//! Closing of callers' connections: an answer is not cut off by input that lies unread on its connection.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use buckthornturn::callers::ConnectionServer;
use buckthornturn::callers::ServerPhase;
use buckthornturn::settings::CallerBounds;
use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// More than the receive buffer of the caller, so that most of the answer is in the server's send buffer when the server
/// closes the connection.
const ANSWER_BYTES: usize = 300_000;
/// Receive buffer of a caller.
const WINDOW_BYTES: u32 = 4 << 10;
/// Pause of a caller before it reads.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Time in which the server works on a request.
const WORK_TIME: Duration = Duration::from_millis(300);

/// Sent behind the answered request while that is served, with a pause before each: the server reads the first of them, and
/// the second stays in the receive buffer of its socket.
const FURTHER_REQUESTS: [&str; 2] =
    ["GET /2 HTTP/1.1\r\nhost: s\r\n\r\n", "GET /3 HTTP/1.1\r\nhost: s\r\n\r\n"];
const SEND_PAUSE: Duration = Duration::from_millis(50);

async fn start_server(phase: &watch::Sender<ServerPhase>) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = ConnectionServer::new(listener, CallerBounds::default(), phase.subscribe());
    let running = server.run(move |_, _| async move {
        tokio::time::sleep(WORK_TIME).await;
        Response::new(Full::new(Bytes::from(vec![b'a'; ANSWER_BYTES])))
    });
    (address, tokio::spawn(running))
}

/// Sends a request and further ones behind it, moves the server to `last_phase`, and reads one answer some time after its end.
async fn read_late(
    address: SocketAddr,
    text: &str,
    phase: &watch::Sender<ServerPhase>,
    last_phase: ServerPhase,
) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(WINDOW_BYTES).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    for further in FURTHER_REQUESTS {
        tokio::time::sleep(SEND_PAUSE).await;
        stream.write_all(further.as_bytes()).await.unwrap();
    }
    phase.send_replace(last_phase);
    tokio::time::sleep(WORK_TIME + READ_PAUSE).await;
    let mut answer = Vec::new();
    let end = stream.read_to_end(&mut answer).await;
    let head = answer.windows(4).position(|part| part == b"\r\n\r\n").unwrap() + 4;
    assert!(answer.starts_with(b"HTTP/1.") && answer[8..].starts_with(b" 200 OK\r\n"));
    assert_eq!((answer.len() - head, end.is_ok()), (ANSWER_BYTES, true));
}

macro_rules! whole_answer_cases {
    ($($name:ident: $text:expr, $last_phase:ident;)*) => {
        $(
            /// Guards against a reset that cuts off the answer.
            #[tokio::test]
            async fn $name() {
                let phase = watch::Sender::new(ServerPhase::Serving);
                let (address, _server) = start_server(&phase).await;
                read_late(address, $text, &phase, ServerPhase::$last_phase).await;
            }
        )*
    };
}

whole_answer_cases! {
    answer_to_a_caller_that_asks_to_close: "GET /1 HTTP/1.1\r\nhost: s\r\nconnection: close\r\n\r\n", Serving;
    answer_of_a_server_that_leaves: "GET /1 HTTP/1.1\r\nhost: s\r\n\r\n", Leaving;
    answer_that_is_under_way_when_the_server_closes: "GET /1 HTTP/1.1\r\nhost: s\r\n\r\n", Closing;
    answer_to_a_request_whose_body_is_not_read: "POST /1 HTTP/1.1\r\nhost: s\r\ncontent-length: 1000000\r\n\r\nhalf", Serving;
    answer_to_a_caller_of_http_1_0: "GET /1 HTTP/1.0\r\nhost: s\r\n\r\n", Serving;
}

/// Guards against a server that waits without end for the caller to close its side.
#[tokio::test]
async fn caller_that_does_not_close_its_side_does_not_delay_the_end_by_more_than_a_second() {
    let phase = watch::Sender::new(ServerPhase::Serving);
    let (address, server) = start_server(&phase).await;
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET /1 HTTP/1.1\r\nhost: s\r\n\r\n").await.unwrap();
    stream.read_exact(&mut [0; 8]).await.unwrap();
    phase.send_replace(ServerPhase::Closing);
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();
    tokio::time::timeout(Duration::from_secs(1), server).await.unwrap().unwrap();
}
