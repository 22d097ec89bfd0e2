//! Method, path, query and body of a request arrive at its target as its caller sent them, or the connection ends.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use h2::Reason;
use h2::client::SendRequest;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper_util::rt::TokioIo;
use standin::network::LinkCut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::entry_fleet::EntryFleet;
use crate::raw_target::RawTarget;

const HEADERS: &str = "host: pages.example\r\nx-attempt-id: 0011223344556677\r\nx-request-deadline: 2000\r\n\
                       x-credential: key-1\r\nx-affinity-key: 17\r\n";
const RESET_COUNT: usize = 200;
/// Time in which bytes that a host passes on reach the target.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// A host in front of one raw target.
async fn start_host() -> (EntryFleet, RawTarget) {
    start_hosts(1).await
}

async fn start_hosts(hosts: usize) -> (EntryFleet, RawTarget) {
    let fleet = EntryFleet::start(hosts, 1).await;
    let target = RawTarget::start().await;
    fleet.links.add_address(target.address, "targets");
    fleet.replace_target(0, target.address);
    for ports in &fleet.ports {
        target.clear();
        fleet
            .wait_until("the host reaches the target", async || {
                exchange(ports.callers, &plain("GET /pages/warm")).await;
                !target.requests().is_empty()
            })
            .await;
    }
    target.clear();
    (fleet, target)
}

fn plain(line: &str) -> String {
    format!("{line} HTTP/1.1\r\n{HEADERS}connection: close\r\n\r\n")
}

/// Sends bytes and returns what comes until the connection closes, for at most 3 s.
async fn exchange(address: SocketAddr, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(3), stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Each case: start line and further header lines with the body as the caller sends them, and what the target receives.
macro_rules! requests_arrive {
    ($($name:ident: $line:expr, $rest:expr => $received:expr, $body:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (fleet, target) = start_host().await;
            let text = format!("{}\r\n{HEADERS}connection: close\r\n{}", $line, $rest);
            let answer = exchange(fleet.ports[0].callers, &text).await;
            let received = target.requests();
            assert_eq!(received.len(), 1, "{answer}");
            let parts = (&*received[0].line, &*received[0].body_text(), received[0].is_complete);
            assert_eq!(parts, ($received, $body, true), "{received:?}");
            assert!(["HTTP/1.1 200", "HTTP/1.0 200"].iter().any(|line| answer.contains(line)), "{answer}");
        }
    )*};
}

requests_arrive! {
    a_get_with_a_chunked_body: "GET /pages/1 HTTP/1.1", "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" => "GET /pages/1 HTTP/1.1", "hello";
    a_get_with_a_length: "GET /pages/1 HTTP/1.1", "content-length: 5\r\n\r\nhello" => "GET /pages/1 HTTP/1.1", "hello";
    a_delete_with_a_chunked_body: "DELETE /pages/1 HTTP/1.1", "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" => "DELETE /pages/1 HTTP/1.1", "hello";
    a_chunked_body_with_trailers: "POST /payments/1 HTTP/1.1", "trailer: x-sum\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-sum: 1\r\n\r\n" => "POST /payments/1 HTTP/1.1", "hello";
    an_http_1_0_request: "POST /payments/1 HTTP/1.0", "content-length: 5\r\n\r\nhello" => "POST /payments/1 HTTP/1.1", "hello";
    a_body_that_expects_100_continue: "POST /payments/1 HTTP/1.1", "expect: 100-continue\r\ncontent-length: 5\r\n\r\nhello" => "POST /payments/1 HTTP/1.1", "hello";
    a_length_named_by_connection: "POST /payments/1 HTTP/1.1", "connection: content-length\r\ncontent-length: 5\r\n\r\nhello" => "POST /payments/1 HTTP/1.1", "hello";
    an_encoded_path_and_query: "GET /pages/%61%20b;c=1?x=%2F&y=%zz HTTP/1.1", "\r\n" => "GET /pages/%61%20b;c=1?x=%2F&y=%zz HTTP/1.1", "";
    an_empty_query: "GET /pages/1? HTTP/1.1", "\r\n" => "GET /pages/1? HTTP/1.1", "";
    an_empty_segment: "GET /pages//1 HTTP/1.1", "\r\n" => "GET /pages//1 HTTP/1.1", "";
    an_absolute_form: "GET http://pages.example/pages/1?a=b HTTP/1.1", "\r\n" => "GET /pages/1?a=b HTTP/1.1", "";
}

/// Each case: start line, further header lines with the body, and what the target receives by way of a peer.
macro_rules! requests_arrive_over_a_peer {
    ($($name:ident: $line:expr, $rest:expr => $received:expr, $body:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (fleet, target) = start_hosts(2).await;
            fleet.cut_host(0, LinkCut::Resetting);
            fleet
                .wait_until("a peer serves", async || {
                    let answer = exchange(fleet.ports[0].callers, &plain("GET /pages/warm")).await;
                    answer.starts_with("HTTP/1.1 200")
                })
                .await;
            target.clear();
            let text = format!("{}\r\n{HEADERS}connection: close\r\n{}", $line, $rest);
            let answer = exchange(fleet.ports[0].callers, &text).await;
            let received = target.requests();
            assert_eq!(received.len(), 1, "{answer}");
            let request = &received[0];
            assert!(request.body_text() == $body, "{} bytes", request.body.len());
            assert_eq!((&*request.line, request.is_complete), ($received, true));
            let head = &received[0].head;
            assert!(head.contains("\r\nx-attempt-id: 0011223344556677\r\n"), "{head}");
            assert!(!head.contains("buckthornturn"), "{head}");
            let left = head.lines().find_map(|line| line.strip_prefix("x-request-deadline: "));
            assert!((1..=2_000).contains(&left.unwrap().parse::<u64>().unwrap()), "{head}");
        }
    )*};
}

requests_arrive_over_a_peer! {
    a_get_over_a_peer: "GET /pages/%61?x=%2F HTTP/1.1", "\r\n" => "GET /pages/%61?x=%2F HTTP/1.1", "";
    a_get_with_a_chunked_body_over_a_peer: "GET /pages/1 HTTP/1.1", "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" => "GET /pages/1 HTTP/1.1", "hello";
    a_payment_over_a_peer: "POST /payments/1 HTTP/1.1", format!("content-length: 90000\r\n\r\n{}", long_body()) => "POST /payments/1 HTTP/1.1", long_body();
    an_absolute_form_over_a_peer: "POST http://pages.example/payments/1? HTTP/1.1", "content-length: 5\r\n\r\nhello" => "POST /payments/1? HTTP/1.1", "hello";
}

/// A body of 90,000 bytes whose parts can be told apart.
fn long_body() -> String {
    (0..9_000).map(|number| format!("{number:09}.")).collect()
}

/// How an HTTP/2 caller ends a body of which it has sent a part.
#[derive(Clone, Copy, Debug)]
enum StreamEnd {
    /// A proper end of the stream.
    End,
    /// Trailers, which end the stream.
    Trailers,
    /// A reset with a reason.
    Reset(Reason),
    /// The connection closes.
    Disconnect,
}

async fn connect_h2(address: SocketAddr) -> (SendRequest<Bytes>, JoinSet<()>) {
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    let mut task = JoinSet::new();
    task.spawn(async move { drop(connection.await) });
    (sender.ready().await.unwrap(), task)
}

fn h2_request(method: &str, path: &str, length: Option<&str>) -> Request<()> {
    let mut builder = Request::builder().method(method).uri(format!("http://pages.example{path}"));
    for header in HEADERS.lines().skip(1) {
        let (name, value) = header.trim().split_once(": ").unwrap();
        builder = builder.header(name, value);
    }
    if let Some(length) = length {
        builder = builder.header("content-length", length);
    }
    builder.body(()).unwrap()
}

/// Each case: method, announced length, end of the stream after the part `half`; whether the body is whole.
macro_rules! http2_bodies {
    ($($name:ident: $method:expr, $length:expr, $end:expr => $is_whole:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (fleet, target) = start_host().await;
            let (mut sender, mut task) = connect_h2(fleet.ports[0].callers).await;
            let request = h2_request($method, "/pages/1?a=b", $length);
            let (answer, mut body) = sender.send_request(request, false).unwrap();
            body.send_data(Bytes::from_static(b"half"), false).unwrap();
            target.wait_for_body("half").await;
            match $end {
                // A body of its length may be answered, and its stream be over, before its end is stated.
                StreamEnd::End => drop(body.send_data(Bytes::new(), true)),
                StreamEnd::Trailers => body.send_trailers(http::HeaderMap::new()).unwrap(),
                StreamEnd::Reset(reason) => body.send_reset(reason),
                StreamEnd::Disconnect => task.abort_all(),
            }
            tokio::time::sleep(SETTLE_TIME).await;
            let received = target.requests();
            let is_whole = received[0].is_complete;
            assert_eq!((&*received[0].body_text(), is_whole), ("half", $is_whole), "{received:?}");
            assert_eq!(*received[0].line, *format!("{} /pages/1?a=b HTTP/1.1", $method));
            assert!(received[0].head.contains("\r\nhost: pages.example\r\n"), "{received:?}");
            drop(answer);
        }
    )*};
}

http2_bodies! {
    an_http2_post_of_unknown_length: "POST", None, StreamEnd::End => true;
    an_http2_post_with_trailers: "POST", None, StreamEnd::Trailers => true;
    an_http2_get_of_unknown_length: "GET", None, StreamEnd::End => true;
    an_http2_body_of_its_length: "POST", Some("4"), StreamEnd::End => true;
    an_http2_body_that_is_shorter_than_its_length: "POST", Some("9"), StreamEnd::End => false;
    an_http2_body_that_is_reset_without_an_error: "POST", None, StreamEnd::Reset(Reason::NO_ERROR) => false;
    an_http2_body_with_a_length_that_is_reset_without_an_error: "POST", Some("9"), StreamEnd::Reset(Reason::NO_ERROR) => false;
    an_http2_body_that_is_cancelled: "POST", None, StreamEnd::Reset(Reason::CANCEL) => false;
    an_http2_body_whose_connection_closes: "POST", None, StreamEnd::Disconnect => false;
}

/// The host's tasks run at the same time here, so that the one that sends the body may see the reset first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn http2_bodies_that_are_reset_without_an_error_are_never_complete() {
    let (fleet, target) = start_host().await;
    let (mut sender, _task) = connect_h2(fleet.ports[0].callers).await;
    for number in 0..RESET_COUNT {
        let request = h2_request("POST", &format!("/payments/{number}"), None);
        let (_answer, mut body) = sender.send_request(request, false).unwrap();
        body.send_data(Bytes::from(format!("half-{number}.")), false).unwrap();
        target.wait_for_body(&format!("half-{number}.")).await;
        body.send_reset(Reason::NO_ERROR);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let complete = target.requests().iter().filter(|request| request.is_complete).count();
    assert_eq!(complete, 0, "of {RESET_COUNT}");
}

#[tokio::test]
async fn a_chunked_body_whose_caller_disconnects_is_never_complete() {
    let (fleet, target) = start_host().await;
    let mut stream = TcpStream::connect(fleet.ports[0].callers).await.unwrap();
    let head = format!("POST /pages/1 HTTP/1.1\r\n{HEADERS}transfer-encoding: chunked\r\n\r\n");
    stream.write_all(format!("{head}4\r\nhalf\r\n").as_bytes()).await.unwrap();
    target.wait_for_body("half").await;
    drop(stream);
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(
        target.requests().iter().all(|request| !request.is_complete),
        "{:?}",
        target.requests()
    );
}

#[tokio::test]
async fn the_body_of_a_refused_request_is_no_request() {
    let (fleet, target) = start_host().await;
    let inner = plain("GET /pages/inner");
    let text = format!(
        "POST /pages/1 HTTP/1.1\r\n{}content-length: {}\r\n\r\n",
        HEADERS.replace("key-1", "none"),
        inner.len() * 2
    );
    let mut stream = TcpStream::connect(fleet.ports[0].callers).await.unwrap();
    stream.write_all(format!("{text}{inner}").as_bytes()).await.unwrap();
    // The host has given up on the rest by then.
    tokio::time::sleep(Duration::from_millis(900)).await;
    let _ = stream.write_all(inner.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(SETTLE_TIME, stream.read_to_end(&mut answer)).await;
    let answer = String::from_utf8_lossy(&answer);
    assert_eq!(
        (answer.matches("HTTP/1.1 ").count(), target.requests()),
        (1, Vec::new()),
        "{answer}"
    );
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
}

#[tokio::test]
async fn pipelined_requests_keep_their_bodies() {
    let (fleet, target) = start_host().await;
    let refused = HEADERS.replace("key-1", "none");
    let text = format!(
        "POST /pages/1 HTTP/1.1\r\n{HEADERS}content-length: 3\r\n\r\none\
         POST /pages/2 HTTP/1.1\r\n{refused}content-length: 3\r\n\r\ntwo\
         POST /pages/3 HTTP/1.1\r\n{HEADERS}transfer-encoding: chunked\r\n\r\n5\r\nthree\r\n0\r\n\r\n{}",
        plain("GET /pages/4")
    );
    let answer = exchange(fleet.ports[0].callers, &text).await;
    let received = target.requests();
    let received: Vec<_> =
        received.iter().map(|request| (&*request.line, request.body_text())).collect();
    let expected = [
        ("POST /pages/1 HTTP/1.1", "one".into()),
        ("POST /pages/3 HTTP/1.1", "three".into()),
        ("GET /pages/4 HTTP/1.1", "".into()),
    ];
    assert_eq!(received, expected, "{answer}");
}

/// Each case: further headers of an upload that is refused before its body has arrived, the pause between its parts in
/// milliseconds, and the status.
macro_rules! early_refusals {
    ($($name:ident: $headers:expr, $pause_ms:expr => $status:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let (fleet, _target) = start_host().await;
            for _ in 0..5 {
                let stream = TcpStream::connect(fleet.ports[0].callers).await.unwrap();
                let (mut sender, connection) =
                    hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.unwrap();
                tokio::spawn(connection);
                let parts = futures::stream::iter(0..20).then(|_| async {
                    tokio::time::sleep(Duration::from_millis($pause_ms)).await;
                    Ok::<_, std::io::Error>(Frame::data(Bytes::from_static(&[b'x'; 4_000])))
                });
                let mut builder = Request::post("/payments/1").header("content-length", "80000");
                for line in format!("{HEADERS}{}", $headers).lines() {
                    let (name, value) = line.trim().split_once(": ").unwrap();
                    let name = http::HeaderName::try_from(name).unwrap();
                    builder.headers_mut().unwrap().insert(name, value.parse().unwrap());
                }
                let request = builder.body(StreamBody::new(parts).boxed_unsync()).unwrap();
                let answer = sender.send_request(request).await.expect("an answer");
                assert_eq!(answer.status(), $status);
                answer.into_body().collect().await.expect("a whole answer");
            }
        }
    )*};
}

early_refusals! {
    a_peer_gets_the_refusal_of_a_host_whose_configuration_is_behind: "buckthornturn-peer-revision: 999999", 20 => 503;
    a_peer_whose_body_is_there_at_once_gets_the_refusal: "buckthornturn-peer-revision: 999999", 0 => 503;
    a_caller_gets_the_refusal_of_an_upgrade: "upgrade: websocket", 20 => 400;
    a_caller_gets_the_refusal_of_its_key: "x-credential: other", 20 => 401;
}
