//! Targets that answer before the body of a request is in, for callers over HTTP/1 and HTTP/2, and a body that goes on.

#![allow(clippy::unwrap_used)]

mod support;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::Request;
use http::Version;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::client::conn::http1;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use standin::body_check::RequestStamp;
use standin::body_check::STAMP_HEADER;
use support::KEY_AURORA;
use support::ScriptedTarget;
use support::TargetStep;
use support::TestHost;
use support::TestHostOptions;
use support::wait_until;
use tokio::net::TcpStream;

/// Parts of a body and the pause before each of them.
const PARTS: usize = 20;
const FAST: Duration = Duration::from_millis(4);
/// A body takes longer than any time for which a host drains one.
const SLOW: Duration = Duration::from_millis(60);
const RETRY_WAIT: Duration = Duration::from_millis(150);
const ANSWER_BYTES: usize = 600_000;

type CallerBody = BoxBody<Bytes, Infallible>;

/// An upload of a caller: HTTP version, whether its length is told, its size and the pauses between its parts.
#[derive(Clone, Copy)]
struct UploadCall {
    version: Version,
    has_length: bool,
    bytes: usize,
    pause: Duration,
}

impl UploadCall {
    /// A body whose parts can be told apart.
    fn content(&self) -> String {
        (0..self.bytes / 10).map(|number| format!("{number:09}.")).collect()
    }

    fn request(&self, path: &str) -> Request<CallerBody> {
        let (content, pause) = (self.content(), self.pause);
        let stamp = RequestStamp::new("POST", path, content.as_bytes());
        let uri = match self.version {
            Version::HTTP_2 => format!("http://s.example{path}"),
            _ => path.to_owned(),
        };
        let mut request = Request::post(uri)
            .header("authorization", format!("Bearer {KEY_AURORA}"))
            .header(STAMP_HEADER, stamp.to_string());
        if self.version != Version::HTTP_2 {
            request = request.header("host", "s.example");
        }
        if self.has_length {
            request = request.header("content-length", content.len());
        }
        let part_bytes = content.len().div_ceil(PARTS).max(1);
        let parts: Vec<_> =
            content.as_bytes().chunks(part_bytes).map(Bytes::copy_from_slice).collect();
        let parts = futures::stream::iter(parts).then(move |part| async move {
            tokio::time::sleep(pause).await;
            Ok(Frame::data(part))
        });
        request.body(BodyExt::boxed(StreamBody::new(parts))).unwrap()
    }

    /// Sends the upload and reads the answer. Returns its status and its body, with the reason if it was cut.
    async fn send(&self, address: SocketAddr, path: &str) -> (u16, Result<Bytes, String>) {
        let io = TokioIo::new(TcpStream::connect(address).await.unwrap());
        let response = match self.version {
            Version::HTTP_2 => {
                let (mut sender, connection) =
                    http2::handshake(TokioExecutor::new(), io).await.unwrap();
                tokio::spawn(connection);
                sender.send_request(self.request(path)).await
            }
            _ => {
                let (mut sender, connection) = http1::handshake(io).await.unwrap();
                tokio::spawn(connection);
                sender.send_request(self.request(path)).await
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(error) => return (0, Err(error.to_string())),
        };
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        (status, body.map(|body| body.to_bytes()).map_err(|error| format!("{error:?}")))
    }
}

/// Whether a target has read a body whole that follows the head of its only request.
fn has_whole_body(target: &ScriptedTarget, call: &UploadCall) -> bool {
    if target.received_bytes() < call.bytes {
        return false;
    }
    let requests = target.received_requests();
    let expected = if call.has_length { call.content() } else { String::from("0\r\n\r\n") };
    requests.len() == 1 && requests[0].ends_with(&expected)
}

/// Reads that follow an upload on the pooled connections get their own answers.
async fn check_reads(host: &TestHost) {
    for number in 0..4 {
        let path = format!("/read/{number}");
        let answer = host.send(&format!("GET {path}"), &[], "").await;
        assert_eq!((answer.status, answer.body()), (200, &*path), "{}", answer.text);
    }
}

async fn check_refusal(call: UploadCall) {
    let refusing = ScriptedTarget::start(&[TargetStep::ShedEarly, TargetStep::EchoPath]).await;
    let running = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let options = TestHostOptions { retry_wait: RETRY_WAIT, ..TestHostOptions::default() };
    let host = TestHost::start_with(&[refusing.address, running.address], options).await;
    let (status, answer) = call.send(host.address, "/read/u").await;
    assert_eq!((status, answer), (200, Ok(Bytes::from_static(b"/read/u"))));
    assert!(has_whole_body(&running, &call), "{} requests", running.received_requests().len());
    check_reads(&host).await;
}

async fn check_success(call: UploadCall) {
    let target = ScriptedTarget::start(&[TargetStep::EchoEarly, TargetStep::EchoPath]).await;
    let host = TestHost::start(&[target.address]).await;
    let (status, answer) = call.send(host.address, "/pay/u").await;
    assert_eq!((status, answer), (200, Ok(Bytes::from_static(b"/pay/u"))));
    wait_until("the target has read the body", || has_whole_body(&target, &call)).await;
    check_reads(&host).await;
}

async fn check_long_answer(call: UploadCall) {
    let steps = [TargetStep::AnswerAroundBody(ANSWER_BYTES), TargetStep::EchoPath];
    let target = ScriptedTarget::start(&steps).await;
    let host = TestHost::start(&[target.address]).await;
    let (status, answer) = call.send(host.address, "/pay/u").await;
    assert_eq!((status, answer.map(|answer| answer.len())), (200, Ok(ANSWER_BYTES)));
    assert!(has_whole_body(&target, &call));
    check_reads(&host).await;
}

macro_rules! early_answers {
    ($($name:ident: $check:ident, $version:ident, $has_length:literal, $bytes:literal, $pause:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let version = Version::$version;
            let call = UploadCall { version, has_length: $has_length, bytes: $bytes, pause: $pause };
            $check(call).await;
        }
    )*};
}

early_answers! {
    a_short_http2_body_is_refused_early: check_refusal, HTTP_2, true, 1_000, FAST;
    a_http2_body_is_refused_early: check_refusal, HTTP_2, true, 60_000, FAST;
    a_long_http2_body_is_refused_early: check_refusal, HTTP_2, true, 900_000, FAST;
    a_long_http2_body_of_unknown_length_is_refused_early: check_refusal, HTTP_2, false, 900_000, FAST;
    a_slow_http2_body_is_refused_early: check_refusal, HTTP_2, true, 200_000, SLOW;
    a_slow_http2_body_of_unknown_length_is_refused_early: check_refusal, HTTP_2, false, 200_000, SLOW;
    a_short_http2_body_succeeds_early: check_success, HTTP_2, true, 1_000, FAST;
    a_http2_body_succeeds_early: check_success, HTTP_2, true, 60_000, FAST;
    a_long_http2_body_succeeds_early: check_success, HTTP_2, true, 900_000, FAST;
    a_long_http2_body_of_unknown_length_succeeds_early: check_success, HTTP_2, false, 900_000, FAST;
    a_slow_http2_body_succeeds_early: check_success, HTTP_2, true, 200_000, SLOW;
    a_slow_http2_body_of_unknown_length_succeeds_early: check_success, HTTP_2, false, 200_000, SLOW;
    a_body_succeeds_early: check_success, HTTP_11, true, 60_000, FAST;
    a_long_body_succeeds_early: check_success, HTTP_11, true, 900_000, FAST;
    a_slow_chunked_body_succeeds_early: check_success, HTTP_11, false, 200_000, SLOW;
    a_long_answer_to_a_slow_body_is_whole: check_long_answer, HTTP_11, true, 200_000, SLOW;
    a_long_answer_to_a_slow_chunked_body_is_whole: check_long_answer, HTTP_11, false, 200_000, SLOW;
    a_long_answer_to_a_slow_http2_body_is_whole: check_long_answer, HTTP_2, true, 200_000, SLOW;
    a_long_answer_to_a_long_http2_body_is_whole: check_long_answer, HTTP_2, false, 900_000, FAST;
}
