//! Connections on which callers send further requests before the first one is answered.

#![allow(clippy::unwrap_used)]

mod pipelining_server;
mod planned_stops;
mod stop_soak;

use buckthornturn::callers::ServerPhase;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::pipelining_server::Journal;
use crate::pipelining_server::LEAVE_SLACK;
use crate::pipelining_server::SEND_PAUSE;
use crate::pipelining_server::WORK_TIME;
use crate::pipelining_server::get;
use crate::pipelining_server::post;
use crate::pipelining_server::read_answers;
use crate::pipelining_server::start_server;

macro_rules! leaving_caller_cases {
    ($($name:ident: [$($text:expr),*], pipelining $is_pipelining:expr, begun $begun:expr;)*) => {
        $(
            /// Guards against requests that run after their caller has left, behind input that the HTTP library holds.
            #[tokio::test]
            async fn $name() {
                let (phase, journal) = (watch::Sender::new(ServerPhase::Serving), Journal::default());
                let address = start_server(&phase, &journal, $is_pipelining).await;
                let mut stream = TcpStream::connect(address).await.unwrap();
                for text in [$($text),*] {
                    stream.write_all(text.as_bytes()).await.unwrap();
                    tokio::time::sleep(SEND_PAUSE).await;
                }
                drop(stream);
                tokio::time::sleep(LEAVE_SLACK).await;
                let begun: &[&str] = &$begun;
                assert_eq!(journal.begun(), begun);
                assert_eq!(journal.ended(), begun);
                tokio::time::sleep(WORK_TIME).await;
                assert_eq!(journal.begun(), begun);
            }
        )*
    };
}

const GET_1: &str = "GET /1 HTTP/1.1\r\nhost: s\r\n\r\n";
const GET_2: &str = "GET /2 HTTP/1.1\r\nhost: s\r\n\r\n";
const GET_3: &str = "GET /3 HTTP/1.1\r\nhost: s\r\n\r\n";
const POST_1: &str = "POST /1 HTTP/1.1\r\nhost: s\r\ncontent-length: 4\r\n\r\nbody";
const CHUNKED_1: &str =
    "POST /1 HTTP/1.1\r\nhost: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

leaving_caller_cases! {
    caller_with_one_request: [GET_1], pipelining false, begun ["/1"];
    caller_with_a_second_request: [GET_1, GET_2], pipelining false, begun ["/1"];
    caller_with_a_third_request: [GET_1, GET_2, GET_3], pipelining false, begun ["/1"];
    caller_with_a_request_behind_a_body: [POST_1, GET_2, GET_3], pipelining false, begun ["/1"];
    caller_with_a_request_behind_a_chunked_body: [CHUNKED_1, GET_2, GET_3], pipelining false, begun ["/1"];
    caller_with_requests_that_run_side_by_side: [GET_1, GET_2, GET_3], pipelining true, begun ["/1", "/2", "/3"];
    caller_with_requests_behind_a_body: [POST_1, GET_2, GET_3], pipelining true, begun ["/1"];
    caller_with_a_part_of_a_request: [GET_1, "GET /2"], pipelining false, begun ["/1"];
}

macro_rules! pipelining_cases {
    ($($name:ident: $requests:expr => begun $begun:expr, running $running:expr;)*) => {
        $(
            /// Guards against answers out of order, and requests that run beside others without leave.
            #[tokio::test]
            async fn $name() {
                let (phase, journal) = (watch::Sender::new(ServerPhase::Serving), Journal::default());
                let address = start_server(&phase, &journal, true).await;
                let mut stream = TcpStream::connect(address).await.unwrap();
                let requests: Vec<String> = $requests.into_iter().collect();
                stream.write_all(requests.concat().as_bytes()).await.unwrap();
                tokio::time::sleep(LEAVE_SLACK).await;
                assert_eq!(journal.begun().len(), $begun);
                let paths: Vec<&str> =
                    requests.iter().map(|text| text.split(' ').nth(1).unwrap()).collect();
                assert_eq!(read_answers(&mut stream, requests.len()).await, paths);
                assert_eq!(*journal.most_running.lock().unwrap(), $running);
            }
        )*
    };
}

pipelining_cases! {
    requests_run_side_by_side: (0..3).map(|number| get(&format!("/{number}"), 600)) => begun 3, running 3;
    later_answers_wait_for_earlier_ones: [get("/1", 800), get("/2", 20), get("/3", 200)] => begun 3, running 3;
    at_most_the_bound_runs_at_once: (0..12).map(|number| get(&format!("/{number}"), 600)) => begun 4, running 4;
    answered_requests_count_until_their_turn: [get("/1", 600), get("/2", 10), get("/3", 10), get("/4", 10), get("/5", 10)] => begun 4, running 4;
    requests_that_are_not_idempotent_run_alone: [get("/1", 500), get("/once/2", 100), get("/3", 100)] => begun 1, running 1;
    requests_with_a_body_run_alone: [post("/1", 500), get("/2", 100), get("/3", 100)] => begun 1, running 2;
    requests_behind_a_body_wait: [get("/1", 500), post("/2", 100), get("/3", 100)] => begun 1, running 1;
    equal_requests_are_all_answered: [get("/1", 500), get("/1", 500), get("/1", 500)] => begun 3, running 3;
    large_answers_are_whole: [get("/1", 900), get("/large/2", 10), get("/3", 600), get("/4", 10), get("/5", 10)] => begun 4, running 4;
    requests_behind_a_chunked_body_run_alone: [CHUNKED_1.to_owned(), get("/2", 10), get("/3", 10)] => begun 1, running 1;
}

/// Guards against requests that start although large answers wait for their turn.
#[tokio::test]
async fn no_request_starts_while_answers_of_the_largest_size_wait() {
    let (phase, journal) = (watch::Sender::new(ServerPhase::Serving), Journal::default());
    let address = start_server(&phase, &journal, true).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all((get("/1", 800) + &get("/large/2", 10)).as_bytes()).await.unwrap();
    tokio::time::sleep(LEAVE_SLACK / 2).await;
    stream.write_all(get("/3", 10).as_bytes()).await.unwrap();
    tokio::time::sleep(LEAVE_SLACK / 2).await;
    assert_eq!(journal.begun(), ["/1", "/large/2"]);
    assert_eq!(read_answers(&mut stream, 3).await, ["/1", "/large/2", "/3"]);
}
