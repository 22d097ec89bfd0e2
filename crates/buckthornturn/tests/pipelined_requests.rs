//! Connections on which callers send further requests before the first one is answered.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use buckthornturn::callers::AnswerDue;
use buckthornturn::callers::ConnectionServer;
use buckthornturn::callers::ServerPhase;
use buckthornturn::settings::CallerBounds;
use bytes::Bytes;
use coordination::pipeline_window::PipelineBounds;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

const SEND_PAUSE: Duration = Duration::from_millis(30);
const WORK_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a caller that has left must be noticed.
const LEAVE_SLACK: Duration = Duration::from_millis(400);

/// Largest number of requests of a connection that run side by side.
const SIDE_BY_SIDE: usize = 4;
/// Answers of which one is held at a time while the ones ahead are in progress.
const LARGE_ANSWER_BYTES: usize = 100_000;
const MAX_HELD_BYTES: u64 = 100_000;
/// Body of the answer of a request that is asked for it before it is done.
const GIVEN_UP: &str = "given up";
const WORK_HEADER: &str = "work-ms";

/// Paths of the requests that the server has begun, and of those that it has dropped or answered.
#[derive(Clone, Default)]
struct Journal {
    begun: Arc<Mutex<Vec<String>>>,
    ended: Arc<Mutex<Vec<String>>>,
    most_running: Arc<Mutex<usize>>,
}

/// Records the end of a request when it is dropped.
struct EndRecord {
    path: String,
    journal: Journal,
}

impl Journal {
    fn begin(&self, path: &str) -> EndRecord {
        let mut begun = self.begun.lock().unwrap();
        begun.push(path.to_owned());
        let running = begun.len() - self.ended.lock().unwrap().len();
        let mut most = self.most_running.lock().unwrap();
        *most = running.max(*most);
        EndRecord { path: path.to_owned(), journal: self.clone() }
    }

    fn begun(&self) -> Vec<String> {
        self.begun.lock().unwrap().clone()
    }

    fn ended(&self) -> Vec<String> {
        let mut ended = self.ended.lock().unwrap().clone();
        ended.sort();
        ended
    }
}

impl Drop for EndRecord {
    fn drop(&mut self) {
        self.journal.ended.lock().unwrap().push(self.path.clone());
    }
}

/// Starts a server whose requests run one after another, or side by side where that is allowed. Paths below `/once` are not
/// idempotent; those below `/large` have large answers.
async fn start_server(
    phase: &watch::Sender<ServerPhase>,
    journal: &Journal,
    is_pipelining: bool,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut server = ConnectionServer::new(listener, CallerBounds::default(), phase.subscribe());
    if is_pipelining {
        let bounds =
            PipelineBounds { max_side_by_side: SIDE_BY_SIDE, max_held_bytes: MAX_HELD_BYTES };
        let check = Arc::new(|head: &Request<()>| !head.uri().path().starts_with("/once"));
        server = server.with_pipelining(bounds, check);
    }
    let journal = journal.clone();
    tokio::spawn(server.run(move |request, _| {
        let journal = journal.clone();
        async move {
            let path = request.uri().path().to_owned();
            let _end = journal.begin(&path);
            let work = request.headers().get(WORK_HEADER).map(|value| value.to_str().unwrap());
            let work = work.map(|text| Duration::from_millis(text.parse().unwrap()));
            let due = request.extensions().get::<AnswerDue>().cloned().unwrap_or_default();
            let _ = request.into_body().collect().await;
            tokio::select! {
                () = tokio::time::sleep(work.unwrap_or(WORK_TIME)) => {}
                () = due.wait() => return Response::new(Full::new(GIVEN_UP.into())),
            }
            let text = match path.starts_with("/large") {
                true => path + &" ".repeat(LARGE_ANSWER_BYTES),
                false => path,
            };
            Response::new(Full::new(Bytes::from(text)))
        }
    }));
    address
}

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

/// Request that takes `work_ms`.
fn get(path: &str, work_ms: u64) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: s\r\n{WORK_HEADER}: {work_ms}\r\n\r\n")
}

fn post(path: &str, work_ms: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: s\r\n{WORK_HEADER}: {work_ms}\r\ncontent-length: 4\r\n\r\nbody"
    )
}

/// Answer without the padding of its body.
#[derive(Debug, Eq, PartialEq)]
struct ReadAnswer {
    body: String,
    closes: bool,
}

/// Reads answers until the connection ends or `count` are whole.
async fn read_whole_answers(
    stream: &mut (impl AsyncRead + Unpin),
    count: usize,
) -> Vec<ReadAnswer> {
    let (mut input, mut answers) = (Vec::new(), Vec::new());
    while answers.len() < count {
        let Some(end) = input.windows(4).position(|part| part == b"\r\n\r\n") else {
            match stream.read_buf(&mut input).await.unwrap() {
                0 => break,
                _ => continue,
            }
        };
        let head = String::from_utf8(input[..end].to_vec()).unwrap();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap();
        let whole = end + 4 + length.parse::<usize>().unwrap();
        while input.len() < whole {
            assert_ne!(stream.read_buf(&mut input).await.unwrap(), 0, "an answer is cut");
        }
        let body = String::from_utf8(input[end + 4..whole].to_vec()).unwrap().trim().to_owned();
        let closes = head.lines().any(|line| line == "connection: close");
        answers.push(ReadAnswer { body, closes });
        input.drain(..whole);
    }
    assert!(input.is_empty() || answers.len() == count, "an answer is cut");
    answers
}

/// Reads answers until the connection ends or `count` are whole; returns their bodies without padding.
async fn read_answers(stream: &mut TcpStream, count: usize) -> Vec<String> {
    read_whole_answers(stream, count).await.into_iter().map(|answer| answer.body).collect()
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
        body: (*path).to_owned(),
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

/// Connections that are open while the server of one seed stops.
const STOPPED_CONNECTIONS: usize = 12;
const SHORT_SOAK_SEEDS: u64 = 6;
const LONG_SOAK_SEEDS: u64 = 200;

/// Request of a caller that sends several ahead, on a path of its own.
fn draw_request(rng: &mut StdRng, connection: usize, number: usize) -> String {
    let (work_ms, name) = (rng.random_range(0..500), format!("{connection}/{number}"));
    match rng.random_range(0..10) {
        0 => post(&format!("/{name}"), work_ms),
        1 => get(&format!("/once/{name}"), work_ms),
        2 => get(&format!("/large/{name}"), work_ms),
        _ => get(&format!("/{name}"), work_ms),
    }
}

/// Sends requests with pauses between some of them, and checks that the server answers all that it begins, in order.
async fn check_connection(address: SocketAddr, journal: Journal, seed: u64, connection: usize) {
    let mut rng = StdRng::seed_from_u64(seed * STOPPED_CONNECTIONS as u64 + connection as u64);
    let count = rng.random_range(1..=8);
    let requests: Vec<String> =
        (0..count).map(|number| draw_request(&mut rng, connection, number)).collect();
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let texts = requests.clone();
    let sender = tokio::spawn(async move {
        for text in texts {
            if rng.random_bool(0.3) {
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..200))).await;
            }
            if writer.write_all(text.as_bytes()).await.is_err() {
                break;
            }
        }
        writer
    });
    let answers = read_whole_answers(&mut reader, count + 1).await;
    let _writer = sender.await.unwrap();
    let paths: Vec<String> =
        requests.iter().map(|text| text.split(' ').nth(1).unwrap().to_owned()).collect();
    let answered: Vec<String> = answers.iter().map(|answer| answer.body.clone()).collect();
    assert_eq!(answered, paths[..answered.len()], "seed {seed}");
    let begun = journal.begun().into_iter().filter(|path| paths.contains(path)).count();
    assert_eq!(begun, answered.len(), "seed {seed}: begun of {paths:?}, {answers:?}");
    let closing = answers.iter().position(|answer| answer.closes);
    assert!(closing.is_none_or(|place| place + 1 == answers.len()), "seed {seed}: {answers:?}");
}

async fn check_stop(seed: u64) {
    let (phase, journal) = (watch::Sender::new(ServerPhase::Serving), Journal::default());
    let address = start_server(&phase, &journal, true).await;
    let mut rng = StdRng::seed_from_u64(seed);
    let connections = (0..STOPPED_CONNECTIONS)
        .map(|connection| check_connection(address, journal.clone(), seed, connection));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..600))).await;
        phase.send_replace(ServerPhase::Leaving);
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
        phase.send_replace(ServerPhase::Closing);
    };
    futures::join!(futures::future::join_all(connections), stop);
}

/// Guards against a stop that cuts requests which run, at whatever moment of their connections it comes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stop_at_any_moment_answers_all_that_runs() {
    for seed in 0..SHORT_SOAK_SEEDS {
        check_stop(seed).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "200 seeds, to be run by hand"]
async fn a_stop_at_any_moment_of_many_seeds_answers_all_that_runs() {
    for seed in 0..LONG_SOAK_SEEDS {
        check_stop(seed).await;
    }
}
