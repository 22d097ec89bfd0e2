//! Graceful shutdown: running requests complete within the limit. Also: HTTP/2 streams are kept apart and end cleanly.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use buckthornturn::settings::CallerBounds;
use bytes::Bytes;
use futures::FutureExt;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use standin::body_check::RequestStamp;
use standin::body_check::STAMP_HEADER;
use support::KEY_AURORA;
use support::RawAnswer;
use support::ScriptedTarget;
use support::TargetStep;
use support::TestHost;
use support::TestHostOptions;
use support::exchange;
use support::request;
use support::wait_until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Hosts that are stopped within an upload, one after another.
const STOPS: usize = 20;
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(9);
/// Longer than the part of the limit in which the host still accepts connections.
const SLOW_STEP: TargetStep = TargetStep::EchoSlowly(Duration::from_millis(4_000));

type Http2Sender = http2::SendRequest<Empty<Bytes>>;

async fn http2_caller(host: &TestHost) -> Http2Sender {
    let stream = TcpStream::connect(host.address).await.unwrap();
    let io = TokioIo::new(stream);
    let (sender, connection) = http2::handshake(TokioExecutor::new(), io).await.unwrap();
    tokio::spawn(connection.map(drop));
    sender
}

fn http2_request(path: &str) -> Request<Empty<Bytes>> {
    Request::get(format!("http://s.example{path}"))
        .header("authorization", format!("Bearer {KEY_AURORA}"))
        .header(STAMP_HEADER, RequestStamp::new("GET", path, b"").to_string())
        .body(Empty::new())
        .unwrap()
}

async fn http2_get(mut sender: Http2Sender, path: &str) -> (u16, Bytes) {
    let response = sender.send_request(http2_request(path)).await.unwrap();
    let status = response.status().as_u16();
    (status, response.into_body().collect().await.unwrap().to_bytes())
}

#[tokio::test]
async fn http2_requests_on_one_connection_get_their_own_answers() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let host = TestHost::start(&[target.address]).await;
    let sender = http2_caller(&host).await;
    let paths: Vec<String> = (0..8).map(|number| format!("/read/{number}")).collect();
    let answers = paths.iter().map(|path| http2_get(sender.clone(), path));
    for (path, (status, body)) in paths.iter().zip(futures::future::join_all(answers).await) {
        assert_eq!((status, &*body), (200, path.as_bytes()));
    }
}

#[tokio::test]
async fn reset_http2_stream_closes_the_target_connection() {
    let target = ScriptedTarget::start(&[TargetStep::SendEndlessBody]).await;
    let host = TestHost::start(&[target.address]).await;
    let mut sender = http2_caller(&host).await;
    let mut response = sender.send_request(http2_request("/read")).await.unwrap();
    response.body_mut().frame().await.unwrap().unwrap();
    drop(response);
    wait_until("the target connection is closed", || target.open_connections() == 0).await;
}

#[tokio::test]
async fn truncated_http2_answer_is_an_error() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf";
    let target = ScriptedTarget::start(&[TargetStep::SendAndClose(text)]).await;
    let host = TestHost::start(&[target.address]).await;
    let mut sender = http2_caller(&host).await;
    let response = sender.send_request(http2_request("/read")).await.unwrap();
    assert!(response.into_body().collect().await.is_err());
}

#[tokio::test]
async fn running_requests_complete_and_new_connections_are_refused() {
    let target = ScriptedTarget::start(&[SLOW_STEP]).await;
    let host = TestHost::start(&[target.address]).await;
    let address = host.address;
    let over_http2 = tokio::spawn(http2_get(http2_caller(&host).await, "/read/2"));
    let over_http1 = tokio::spawn(exchange(address, request("GET /read/1", &[], "")));
    wait_until("both requests are running", || target.received_requests().len() == 2).await;
    let shutdown = tokio::spawn(host.shut_down(SHUTDOWN_LIMIT));
    wait_until("the listener is closed", || std::net::TcpStream::connect(address).is_err()).await;
    assert!(!over_http1.is_finished() && !over_http2.is_finished());
    let (first, second) = (over_http1.await.unwrap(), over_http2.await.unwrap());
    assert_eq!((first.status, first.body()), (200, "/read/1"));
    assert_eq!((second.0, &*second.1), (200, &b"/read/2"[..]));
    assert!(shutdown.await.unwrap());
}

#[tokio::test]
async fn requests_are_served_with_connection_close_before_the_listener_closes() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let host = TestHost::start(&[target.address]).await;
    let address = host.address;
    let mut keep_alive = TcpStream::connect(address).await.unwrap();
    let text = request("GET /read", &[], "").replace("connection: close\r\n", "");
    let shutdown = tokio::spawn(host.shut_down(SHUTDOWN_LIMIT));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(exchange(address, request("GET /read", &[], "")).await.status, 200);
    keep_alive.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    keep_alive.read_to_end(&mut answer).await.unwrap();
    let answer = RawAnswer::parse(&answer);
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    assert!(shutdown.await.unwrap());
}

#[tokio::test]
async fn idle_connections_do_not_delay_shutdown() {
    let options = TestHostOptions { bounds: CallerBounds::default(), ..TestHostOptions::default() };
    let host = TestHost::start_with(&[], options).await;
    let _silent = TcpStream::connect(host.address).await.unwrap();
    let _http2 = http2_caller(&host).await;
    assert!(host.shut_down(Duration::from_secs(3)).await);
}

/// A host stops within a chunked body; the HTTP library ends what was received of it like a whole one.
async fn check_stop_within_upload(headers: &[&str]) {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    for number in 1..=STOPS {
        let host = TestHost::start(&[target.address]).await;
        let chunked = ["transfer-encoding: chunked"];
        let headers: Vec<&str> = headers.iter().chain(&chunked).copied().collect();
        let head = request(&format!("POST /pay/{number}"), &headers, "");
        let mut stream = TcpStream::connect(host.address).await.unwrap();
        stream.write_all(format!("{head}4\r\nhalf\r\n").as_bytes()).await.unwrap();
        wait_until("the head arrives", || target.received_requests().len() == number).await;
        assert!(!host.shut_down(Duration::from_millis(30)).await);
    }
    wait_until("the connections are closed", || target.open_connections() == 0).await;
    let received = target.received_requests();
    let complete = received.iter().filter(|text| text.ends_with("0\r\n\r\n")).count();
    assert_eq!(complete, 0, "of {STOPS}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_upload_is_never_complete_when_its_host_stops() {
    check_stop_within_upload(&[]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_upload_with_an_idempotency_key_is_never_complete_when_its_host_stops() {
    check_stop_within_upload(&["idempotency-key: k"]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_http2_upload_is_never_complete_when_its_host_stops() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    for number in 1..=STOPS {
        let host = TestHost::start(&[target.address]).await;
        let stream = TcpStream::connect(host.address).await.unwrap();
        let (sender, connection) = h2::client::handshake(stream).await.unwrap();
        tokio::spawn(connection);
        let request = Request::post(format!("http://s.example/pay/{number}"))
            .header("authorization", format!("Bearer {KEY_AURORA}"))
            .header("idempotency-key", "k");
        let mut sender = sender.ready().await.unwrap();
        let request = request.body(()).unwrap();
        let (_answer, mut body) = sender.send_request(request, false).unwrap();
        body.send_data(Bytes::from_static(b"half"), false).unwrap();
        wait_until("the head arrives", || target.received_requests().len() == number).await;
        assert!(!host.shut_down(Duration::from_millis(30)).await);
    }
    wait_until("the connections are closed", || target.open_connections() == 0).await;
    let received = target.received_requests();
    let complete = received.iter().filter(|text| text.ends_with("0\r\n\r\n")).count();
    assert_eq!(complete, 0, "of {STOPS}");
}

#[tokio::test]
async fn stream_longer_than_the_limit_is_aborted_and_reported() {
    let target = ScriptedTarget::start(&[TargetStep::SendEndlessBody]).await;
    let host = TestHost::start(&[target.address]).await;
    let running = tokio::spawn(exchange(host.address, request("GET /read", &[], "")));
    wait_until("the request is running", || target.received_requests().len() == 1).await;
    assert!(!host.shut_down(Duration::from_millis(600)).await);
    let answer = running.await.unwrap();
    assert!(!answer.text.contains("0\r\n\r\n"), "the truncated answer has a final chunk");
}
