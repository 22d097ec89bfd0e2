//! Requests that a caller sends on one connection before the first is answered.

use std::time::Duration;
use std::time::Instant;

use standin::body_check::RequestStamp;
use standin::body_check::STAMP_HEADER;
use standin::platform::TargetMode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::entry_fleet::CallerRequest;
use crate::entry_fleet::EntryFleet;
use crate::entry_fleet::configuration;

/// Time in which two requests time out side by side but not one after the other; each takes 1 s.
const SIDE_BY_SIDE_TIME: Duration = Duration::from_millis(1_800);

/// Time in which a host applies a configuration.
const APPLY_TIME: Duration = Duration::from_secs(1);
/// Time in which a request reaches a target.
const PASS_TIME: Duration = Duration::from_millis(200);

fn text_of(call: &CallerRequest) -> String {
    let stamp = RequestStamp::keeping(call.method, call.path, &call.body).to_string();
    let mut text = format!("{} {} HTTP/1.1\r\n{STAMP_HEADER}: {stamp}\r\n", call.method, call.path);
    for (name, value) in &call.headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !call.body.is_empty() {
        text += &format!("content-length: {}\r\n", call.body.len());
    }
    text + "\r\n" + std::str::from_utf8(&call.body).unwrap()
}

/// Statuses of the answers to requests that are sent at once, and the attempts that they name.
async fn send_at_once(fleet: &EntryFleet, calls: &[CallerRequest]) -> (Vec<u16>, Vec<String>) {
    let mut stream = TcpStream::connect(fleet.ports[0].callers).await.unwrap();
    send_requests(&mut stream, calls).await;
    read_answers(&mut stream, calls.len()).await
}

async fn send_requests(stream: &mut TcpStream, calls: &[CallerRequest]) {
    let text: String = calls.iter().map(text_of).collect();
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Reads answers; returns their statuses and the attempts that they name.
async fn read_answers(stream: &mut TcpStream, count: usize) -> (Vec<u16>, Vec<String>) {
    let (mut input, mut statuses, mut attempts) = (Vec::new(), Vec::new(), Vec::new());
    while statuses.len() < count {
        let Some(end) = input.windows(4).position(|part| part == b"\r\n\r\n") else {
            assert_ne!(stream.read_buf(&mut input).await.unwrap(), 0);
            continue;
        };
        let head = String::from_utf8(input[..end].to_vec()).unwrap();
        let value = |name: &str| {
            let start = format!("{name}: ");
            head.lines().find_map(|line| line.strip_prefix(&start).map(str::to_owned))
        };
        let length: usize = value("content-length").unwrap().parse().unwrap();
        while input.len() < end + 4 + length {
            assert_ne!(stream.read_buf(&mut input).await.unwrap(), 0);
        }
        input.drain(..end + 4 + length);
        statuses.push(head[9..12].parse().unwrap());
        attempts.extend(value("x-attempt-id"));
    }
    (statuses, attempts)
}

macro_rules! silent_target_cases {
    ($($name:ident: $calls:expr => $statuses:expr;)*) => {
        $(
            /// Guards against requests that wait for the ones ahead of them, and against deadlines that count from the end of
            /// that wait. A status of 503 says that the request was not sent.
            #[tokio::test]
            async fn $name() {
                let fleet = EntryFleet::start(1, 1).await;
                fleet.targets[0].set_mode(TargetMode::Silent);
                let started_at = Instant::now();
                let (statuses, _) = send_at_once(&fleet, &$calls).await;
                assert_eq!(statuses, $statuses);
                assert!(started_at.elapsed() < SIDE_BY_SIDE_TIME);
            }
        )*
    };
}

silent_target_cases! {
    pages_run_side_by_side: [CallerRequest::page(), CallerRequest::page(), CallerRequest::page()] => [504, 504, 504];
    a_payment_waits_for_the_page_ahead: [CallerRequest::page(), CallerRequest::payment()] => [504, 503];
    a_page_waits_for_the_payment_ahead: [CallerRequest::payment(), CallerRequest::page()] => [504, 503];
}

/// Guards against an answer that is given to another request of its connection.
#[tokio::test]
async fn each_page_gets_its_own_answer() {
    let fleet = EntryFleet::start(1, 3).await;
    let calls: Vec<CallerRequest> = (0..20).map(|_| CallerRequest::page()).collect();
    let (statuses, attempts) = send_at_once(&fleet, &calls).await;
    assert_eq!(statuses, [200; 20]);
    let asked: Vec<&String> = calls.iter().map(|call| &call.headers[1].1).collect();
    assert_eq!(attempts.iter().collect::<Vec<_>>(), asked);
    assert_eq!(fleet.run_count(), 20);
}

/// Guards against answers that a host has, and cuts at the end of its shutdown behind a request that still runs.
#[tokio::test]
async fn answers_behind_a_slow_one_are_given_before_a_host_ends() {
    let mut fleet = EntryFleet::start(1, 2).await;
    let mut patient = configuration("00000002", &["key-1"], 1_000.0);
    patient["resources"][0]["spec"]["timeout_ms"] = 8_000.into();
    fleet.store.put("config", "main", patient);
    tokio::time::sleep(APPLY_TIME).await;
    let page = || CallerRequest::page().with_header("x-request-deadline", "8000");
    let mut stream = TcpStream::connect(fleet.ports[0].callers).await.unwrap();
    fleet.targets.iter().for_each(|target| target.set_mode(TargetMode::Silent));
    send_requests(&mut stream, &[page()]).await;
    tokio::time::sleep(PASS_TIME).await;
    fleet.targets.iter().for_each(|target| target.set_mode(TargetMode::Healthy));
    send_requests(&mut stream, &[page(), page()]).await;
    tokio::time::sleep(PASS_TIME).await;
    let shutdown = tokio::spawn(fleet.hosts.remove(0).shutdown());
    assert_eq!(read_answers(&mut stream, 3).await.0, [504, 200, 200]);
    drop(stream);
    assert!(shutdown.await.unwrap());
}
