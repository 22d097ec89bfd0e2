//! Requests with bodies arrive at targets as their callers sent them, also after a target has answered early.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::Reason;
use http::Request;
use support::KEY_AURORA;
use support::ScriptedTarget;
use support::TargetStep;
use support::TestHost;
use support::TestHostOptions;
use support::exchange;
use support::request;
use support::stamp_line;
use support::wait_until;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const PART_BYTES: usize = 10_000;
const PART_INTERVAL: Duration = Duration::from_millis(4);
/// Time between an early answer and the next attempt, in which more of a long body arrives.
const RETRY_WAIT: Duration = Duration::from_millis(150);
/// Time in which bytes that a host passes on reach the target.
const SETTLE_TIME: Duration = Duration::from_millis(300);
const RESET_COUNT: usize = 200;
/// Uploads whose bodies fill the buffers of a host.
const STREAMS: usize = 24;

/// A body whose parts can be told apart.
fn long_body(bytes: usize) -> String {
    (0..bytes / 10).map(|number| format!("{number:09}.")).collect()
}

/// Sends an upload in parts, a few milliseconds apart, and reads the answer.
async fn upload_slowly(address: SocketAddr, line: &str, headers: &[&str], body: &str) -> String {
    let stamp = stamp_line(line, body);
    let stamped: Vec<&str> = headers.iter().copied().chain([&*stamp]).collect();
    let head = request(line, &stamped, "");
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let is_chunked = headers.contains(&"transfer-encoding: chunked");
    for part in body.as_bytes().chunks(PART_BYTES) {
        let part = match is_chunked {
            true => [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat(),
            false => part.to_vec(),
        };
        let _ = stream.write_all(&part).await;
        tokio::time::sleep(PART_INTERVAL).await;
    }
    if is_chunked {
        let _ = stream.write_all(b"0\r\n\r\n").await;
    }
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Body without the framing of chunks.
fn plain_body(received: &str) -> String {
    let (head, body) = received.split_once("\r\n\r\n").unwrap();
    if !head.to_ascii_lowercase().contains("transfer-encoding: chunked") {
        return body.to_owned();
    }
    let (mut rest, mut plain) = (body, String::new());
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).unwrap();
        plain.push_str(&after[..size]);
        rest = &after[size + 2..];
    }
    plain
}

/// Each case: start line, length of the body, and the header that frames it. The first target sheds the upload as soon as
/// it has the head, keeps the connection and reads on; the other one runs it. Reads of the same customer follow.
macro_rules! shed_uploads {
    ($($name:ident: $line:expr, $bytes:expr, $framing:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let shedding = [TargetStep::ShedEarly, TargetStep::EchoPath];
            let shedding = ScriptedTarget::start(&shedding).await;
            let running = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
            let options = TestHostOptions { retry_wait: RETRY_WAIT, ..TestHostOptions::default() };
            let host = TestHost::start_with(&[shedding.address, running.address], options).await;
            let address = host.address;
            let body = long_body($bytes);
            let framing = String::from($framing).replace("LENGTH", &body.len().to_string());
            let answer = upload_slowly(address, $line, &[&framing], &body).await;
            let uploads = running.received_requests();
            assert_eq!((uploads.len(), shedding.received_requests().len()), (1, 1), "{answer}");
            let received = plain_body(&uploads[0]);
            assert!(received == body, "{} of {} bytes: {answer}", received.len(), body.len());
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
            for number in 0..4 {
                let path = format!("/read/{number}");
                let answer = host.send(&format!("GET {path}"), &[], "").await;
                assert_eq!((answer.status, answer.body()), (200, &*path), "{}", answer.text);
            }
        }
    )*};
}

shed_uploads! {
    a_short_upload_after_an_early_shed: "POST /read/u", 20_000, "content-length: LENGTH";
    a_long_upload_after_an_early_shed: "POST /read/u", 200_000, "content-length: LENGTH";
    a_long_chunked_upload_after_an_early_shed: "POST /read/u", 200_000, "transfer-encoding: chunked";
    a_long_payment_after_an_early_shed: "POST /pay/u", 200_000, "content-length: LENGTH";
}

/// Each case: start line, further header lines with the body, and the start line and body that the target receives.
macro_rules! requests_arrive {
    ($($name:ident: $line:expr, $rest:expr => $received:expr, $body:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
            let host = TestHost::start(&[target.address]).await;
            let head = format!("{}\r\nhost: s.example\r\nauthorization: Bearer {KEY_AURORA}\r\nconnection: close\r\n", $line);
            let stamp = stamp_line($received.trim_end_matches(" HTTP/1.1"), $body);
            let answer = exchange(host.address, format!("{head}{stamp}\r\n{}", $rest)).await;
            let received = target.received_requests();
            assert_eq!(received.len(), 1, "{}", answer.text);
            assert_eq!((received[0].lines().next(), &*plain_body(&received[0])), (Some($received), $body));
        }
    )*};
}

requests_arrive! {
    a_get_with_a_chunked_body: "GET /read/1 HTTP/1.1", "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" => "GET /read/1 HTTP/1.1", "hello";
    a_get_with_a_length: "GET /read/1 HTTP/1.1", "content-length: 5\r\n\r\nhello" => "GET /read/1 HTTP/1.1", "hello";
    a_body_that_expects_100_continue: "POST /pay/1 HTTP/1.1", "expect: 100-continue\r\ncontent-length: 5\r\n\r\nhello" => "POST /pay/1 HTTP/1.1", "hello";
    an_http_1_0_request: "POST /pay/1 HTTP/1.0", "content-length: 5\r\n\r\nhello" => "POST /pay/1 HTTP/1.1", "hello";
    an_absolute_form: "GET http://s.example/read/1?a=b HTTP/1.1", "\r\n" => "GET /read/1?a=b HTTP/1.1", "";
    an_encoded_path_and_query: "GET /read/%61;c=1?x=%2F&y=%zz HTTP/1.1", "\r\n" => "GET /read/%61;c=1?x=%2F&y=%zz HTTP/1.1", "";
    an_empty_query: "GET /read/1? HTTP/1.1", "\r\n" => "GET /read/1? HTTP/1.1", "";
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn http2_bodies_that_are_reset_without_an_error_are_never_complete() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let host = TestHost::start(&[target.address]).await;
    let stream = TcpStream::connect(host.address).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let mut sender = sender.ready().await.unwrap();
    for number in 0..RESET_COUNT {
        let request = Request::post(format!("http://s.example/pay/{number}"))
            .header("authorization", format!("Bearer {KEY_AURORA}"));
        let request = request.body(()).unwrap();
        let (_answer, mut body) = sender.send_request(request, false).unwrap();
        body.send_data(Bytes::from_static(b"half"), false).unwrap();
        wait_until("the head arrives", || target.received_requests().len() > number).await;
        body.send_reset(Reason::NO_ERROR);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let received = target.received_requests();
    let complete = received.iter().filter(|text| text.ends_with("0\r\n\r\n")).count();
    assert_eq!(complete, 0, "of {RESET_COUNT}");
}

#[tokio::test]
async fn a_caller_gets_the_refusal_of_a_long_upload() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let host = TestHost::start(&[target.address]).await;
    let body = long_body(400_000);
    let framing = format!("content-length: {}", body.len());
    let headers = [&*framing, "authorization: Bearer bt_kz_unknown"];
    let answer = upload_slowly(host.address, "POST /pay/u", &headers, &body).await;
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer:?}");
    assert_eq!(target.received_requests().len(), 0);
}

/// The bodies of requests whose answers stream on took all room, although none of them can be sent again.
#[tokio::test]
async fn bodies_of_streams_leave_other_bodies_room_to_be_sent_again() {
    let streaming = [TargetStep::SendEndlessBody; STREAMS / 2];
    let [mut first, mut second] = [streaming.to_vec(), streaming.to_vec()];
    first.push(TargetStep::Shed);
    second.push(TargetStep::EchoPath);
    let (first, second) =
        (ScriptedTarget::start(&first).await, ScriptedTarget::start(&second).await);
    let options = TestHostOptions { slots: 64, ..TestHostOptions::default() };
    let host = TestHost::start_with(&[first.address, second.address], options).await;
    let body = long_body(900_000);
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let mut stream = TcpStream::connect(host.address).await.unwrap();
        let text = request(&format!("POST /read/{number}"), &[], &body);
        stream.write_all(text.as_bytes()).await.unwrap();
        stream.read_u8().await.unwrap();
        streams.push(stream);
    }
    let answer = host.send("POST /read/last", &[], &long_body(400_000)).await;
    assert_eq!((answer.status, answer.body()), (200, "/read/last"), "{}", answer.text);
}
