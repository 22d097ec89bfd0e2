//! Planned stops of a server while requests run that were sent ahead.

use buckthornturn::callers::ServerPhase;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::pipelining_server::GIVEN_UP;
use crate::pipelining_server::Journal;
use crate::pipelining_server::LEAVE_SLACK;
use crate::pipelining_server::ReadAnswer;
use crate::pipelining_server::SEND_PAUSE;
use crate::pipelining_server::get;
use crate::pipelining_server::post;
use crate::pipelining_server::read_answers;
use crate::pipelining_server::read_whole_answers;
use crate::pipelining_server::start_server;

/// Sends requests, moves the server to `last_phase` while they run, and checks that `answered` get their answers before the
/// connection ends. No other may have begun.
async fn check_planned_stop(requests: &[String], last_phase: ServerPhase, answered: &[&str]) {
    let (phase, journal) = (watch::Sender::new(ServerPhase::Serving), Journal::default());
    let address = start_server(&phase, &journal, true).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(requests.concat().as_bytes()).await.unwrap();
    tokio::time::sleep(SEND_PAUSE).await;
    phase.send_replace(last_phase);
    let answers = read_whole_answers(&mut stream, requests.len() + 1).await;
    let expected = answered.iter().enumerate().map(|(index, path)| ReadAnswer {
        body: (*path).into(),
        closes: index + 1 == answered.len(),
    });
    assert_eq!(answers, expected.collect::<Vec<_>>());
    assert_eq!(journal.begun(), answered);
    let mut ended = answered.to_vec();
    ended.sort_unstable();
    assert_eq!(journal.ended(), ended);
}

macro_rules! planned_stop_cases {
    ($($name:ident: $requests:expr, $last_phase:ident => $answered:expr;)*) => {
        $(
            /// Guards against a planned stop that cuts requests which run behind another one of their connection.
            #[tokio::test]
            async fn $name() {
                check_planned_stop(&$requests, ServerPhase::$last_phase, &$answered).await;
            }
        )*
    };
}

planned_stop_cases! {
    requests_that_run_are_answered_before_a_leaving_server_closes: [get("/1", 300), get("/2", 900), get("/3", 20)], Leaving => ["/1", "/2", "/3"];
    requests_that_run_are_answered_before_a_closing_server_ends: [get("/1", 500), get("/2", 900), get("/3", 20)], Closing => ["/1", "/2", "/3"];
    the_latest_of_the_requests_that_run_may_be_the_slowest: [get("/1", 100), get("/2", 20), get("/3", 900)], Closing => ["/1", "/2", "/3"];
    large_answers_of_a_server_that_stops_are_whole: [get("/1", 300), get("/large/2", 20), get("/3", 600)], Leaving => ["/1", "/large/2", "/3"];
    requests_beyond_the_bound_are_not_begun_by_a_leaving_server: [get("/1", 300), get("/2", 20), get("/3", 20), get("/4", 20), get("/5", 20)], Leaving => ["/1", "/2", "/3", "/4"];
    a_request_that_runs_alone_is_not_begun_by_a_leaving_server: [get("/1", 300), get("/2", 600), get("/once/3", 20), get("/4", 20)], Leaving => ["/1", "/2"];
    a_request_behind_a_body_is_not_begun_by_a_leaving_server: [post("/1", 300), get("/2", 20)], Leaving => ["/1"];
}

/// Guards against requests that run on after their caller has left a server that stops.
#[tokio::test]
async fn requests_of_a_caller_that_leaves_a_leaving_server_are_cancelled() {
    let (phase, journal) = (watch::Sender::new(ServerPhase::Serving), Journal::default());
    let address = start_server(&phase, &journal, true).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let requests = get("/1", 100) + &get("/2", 3_000) + &get("/3", 3_000);
    stream.write_all(requests.as_bytes()).await.unwrap();
    tokio::time::sleep(SEND_PAUSE).await;
    phase.send_replace(ServerPhase::Leaving);
    assert_eq!(read_answers(&mut stream, 1).await, ["/1"]);
    drop(stream);
    tokio::time::sleep(LEAVE_SLACK).await;
    assert_eq!(journal.ended(), ["/1", "/2", "/3"]);
}

macro_rules! ending_cases {
    ($($name:ident: $requests:expr => $answers:expr;)*) => {
        $(
            /// Guards against answers that a server has, and cuts at its end behind a request that still runs.
            #[tokio::test]
            async fn $name() {
                let (phase, journal) = (watch::Sender::new(ServerPhase::Serving), Journal::default());
                let address = start_server(&phase, &journal, true).await;
                let mut stream = TcpStream::connect(address).await.unwrap();
                stream.write_all($requests.concat().as_bytes()).await.unwrap();
                tokio::time::sleep(SEND_PAUSE).await;
                phase.send_replace(ServerPhase::Closing);
                tokio::time::sleep(LEAVE_SLACK).await;
                phase.send_replace(ServerPhase::Ending);
                let read = read_answers(&mut stream, $answers.len());
                let answers = tokio::time::timeout(LEAVE_SLACK, read).await.unwrap();
                assert_eq!(answers, $answers);
            }
        )*
    };
}

ending_cases! {
    an_answer_behind_a_slow_request_is_given_before_the_end: [get("/1", 5_000), get("/2", 20)] => [GIVEN_UP, "/2"];
    an_answer_behind_two_slow_requests_is_given_before_the_end: [get("/1", 5_000), get("/2", 5_000), get("/3", 20)] => [GIVEN_UP, GIVEN_UP, "/3"];
    a_slow_request_behind_the_last_answer_may_run_on: [get("/1", 5_000), get("/2", 20), get("/3", 600)] => [GIVEN_UP, "/2", "/3"];
    a_slow_request_that_holds_up_no_answer_may_run_on: [get("/1", 600), get("/2", 700)] => ["/1", "/2"];
}
