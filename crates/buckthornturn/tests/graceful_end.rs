//! A host that leaves cuts nothing.

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
use support::BenchOptions;
use support::CallerBench;
use support::KEY_AURORA;
use support::RawAnswer;
use support::ScriptedTarget;
use support::TargetStep;
use support::eventually;
use support::exchange;
use support::request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const LIMIT: Duration = Duration::from_secs(9);
/// Longer than the part of the limit in which the host still takes connections.
const SLOW: TargetStep = TargetStep::EchoSlowly(Duration::from_millis(4_000));

type Http2Sender = http2::SendRequest<Empty<Bytes>>;

async fn http2_caller(bench: &CallerBench) -> Http2Sender {
    let stream = TcpStream::connect(bench.address).await.unwrap();
    let io = TokioIo::new(stream);
    let (sender, connection) = http2::handshake(TokioExecutor::new(), io).await.unwrap();
    tokio::spawn(connection.map(drop));
    sender
}

fn http2_request(path: &str) -> Request<Empty<Bytes>> {
    Request::get(format!("http://s.example{path}"))
        .header("authorization", format!("Bearer {KEY_AURORA}"))
        .body(Empty::new())
        .unwrap()
}

async fn http2_get(mut sender: Http2Sender, path: &str) -> (u16, Bytes) {
    let response = sender.send_request(http2_request(path)).await.unwrap();
    let status = response.status().as_u16();
    (status, response.into_body().collect().await.unwrap().to_bytes())
}

#[tokio::test]
async fn http2_requests_share_a_connection_and_are_not_crossed() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let bench = CallerBench::start(&[target.address]).await;
    let sender = http2_caller(&bench).await;
    let paths: Vec<String> = (0..8).map(|number| format!("/read/{number}")).collect();
    let answers = paths.iter().map(|path| http2_get(sender.clone(), path));
    for (path, (status, body)) in paths.iter().zip(futures::future::join_all(answers).await) {
        assert_eq!((status, &*body), (200, path.as_bytes()));
    }
}

#[tokio::test]
async fn http2_stream_that_is_reset_stops_the_target() {
    let target = ScriptedTarget::start(&[TargetStep::Drip]).await;
    let bench = CallerBench::start(&[target.address]).await;
    let mut sender = http2_caller(&bench).await;
    let mut response = sender.send_request(http2_request("/read")).await.unwrap();
    response.body_mut().frame().await.unwrap().unwrap();
    drop(response);
    eventually("the target is told to stop", || target.open() == 0).await;
}

#[tokio::test]
async fn http2_answer_that_is_cut_is_seen_as_cut() {
    let text = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf";
    let target = ScriptedTarget::start(&[TargetStep::SendAndClose(text)]).await;
    let bench = CallerBench::start(&[target.address]).await;
    let mut sender = http2_caller(&bench).await;
    let response = sender.send_request(http2_request("/read")).await.unwrap();
    assert!(response.into_body().collect().await.is_err());
}

#[tokio::test]
async fn running_requests_end_whole_and_new_connections_are_refused() {
    let target = ScriptedTarget::start(&[SLOW]).await;
    let bench = CallerBench::start(&[target.address]).await;
    let address = bench.address;
    let over_http2 = tokio::spawn(http2_get(http2_caller(&bench).await, "/read/2"));
    let over_http1 = tokio::spawn(exchange(address, request("GET /read/1", &[], "")));
    eventually("both run", || target.seen().len() == 2).await;
    let leaving = tokio::spawn(bench.leave(LIMIT));
    eventually("it listens no more", || std::net::TcpStream::connect(address).is_err()).await;
    assert!(!over_http1.is_finished() && !over_http2.is_finished());
    let (first, second) = (over_http1.await.unwrap(), over_http2.await.unwrap());
    assert_eq!((first.status, first.body()), (200, "/read/1"));
    assert_eq!((second.0, &*second.1), (200, &b"/read/2"[..]));
    assert!(leaving.await.unwrap());
}

#[tokio::test]
async fn requests_are_served_while_look_ups_learn_and_callers_are_told_to_go() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let bench = CallerBench::start(&[target.address]).await;
    let address = bench.address;
    let mut kept = TcpStream::connect(address).await.unwrap();
    let text = request("GET /read", &[], "").replace("connection: close\r\n", "");
    let leaving = tokio::spawn(bench.leave(LIMIT));
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(exchange(address, request("GET /read", &[], "")).await.status, 200);
    kept.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    kept.read_to_end(&mut answer).await.unwrap();
    let answer = RawAnswer::of(&answer);
    assert_eq!((answer.status, answer.header("connection")), (200, Some("close")));
    assert!(leaving.await.unwrap());
}

#[tokio::test]
async fn connection_without_a_request_does_not_hold_the_end_up() {
    let options = BenchOptions { bounds: CallerBounds::default(), ..BenchOptions::default() };
    let bench = CallerBench::start_with(&[], options).await;
    let _silent = TcpStream::connect(bench.address).await.unwrap();
    let _http2 = http2_caller(&bench).await;
    assert!(bench.leave(Duration::from_secs(3)).await);
}

#[tokio::test]
async fn stream_longer_than_the_limit_is_cut_and_said_so() {
    let target = ScriptedTarget::start(&[TargetStep::Drip]).await;
    let bench = CallerBench::start(&[target.address]).await;
    let running = tokio::spawn(exchange(bench.address, request("GET /read", &[], "")));
    eventually("it runs", || target.seen().len() == 1).await;
    assert!(!bench.leave(Duration::from_millis(600)).await);
    let answer = running.await.unwrap();
    assert!(!answer.text.contains("0\r\n\r\n"), "the cut answer has an end");
}
