//! Server whose requests may run side by side, and a caller that sends several ahead.

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
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

pub const SEND_PAUSE: Duration = Duration::from_millis(30);
pub const WORK_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a caller that has left must be noticed.
pub const LEAVE_SLACK: Duration = Duration::from_millis(400);

/// Largest number of requests of a connection that run side by side.
pub const SIDE_BY_SIDE: usize = 4;
/// Answers of which one is held at a time while the ones ahead are in progress.
pub const LARGE_ANSWER_BYTES: usize = 100_000;
pub const MAX_HELD_BYTES: u64 = 100_000;
/// Body of the answer of a request that is asked for it before it is done.
pub const GIVEN_UP: &str = "given up";
pub const WORK_HEADER: &str = "work-ms";

/// Paths of the requests that the server has begun, and of those that it has dropped or answered.
#[derive(Clone, Default)]
pub struct Journal {
    begun: Arc<Mutex<Vec<String>>>,
    ended: Arc<Mutex<Vec<String>>>,
    pub most_running: Arc<Mutex<usize>>,
}

/// Records the end of a request when it is dropped.
pub struct EndRecord {
    path: String,
    journal: Journal,
}

impl Journal {
    pub fn begin(&self, path: &str) -> EndRecord {
        let mut begun = self.begun.lock().unwrap();
        begun.push(path.to_owned());
        let running = begun.len() - self.ended.lock().unwrap().len();
        let mut most = self.most_running.lock().unwrap();
        *most = running.max(*most);
        EndRecord { path: path.to_owned(), journal: self.clone() }
    }

    pub fn begun(&self) -> Vec<String> {
        self.begun.lock().unwrap().clone()
    }

    pub fn ended(&self) -> Vec<String> {
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
pub async fn start_server(
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

/// Request that takes `work_ms`.
pub fn get(path: &str, work_ms: u64) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: s\r\n{WORK_HEADER}: {work_ms}\r\n\r\n")
}

pub fn post(path: &str, work_ms: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: s\r\n{WORK_HEADER}: {work_ms}\r\ncontent-length: 4\r\n\r\nbody"
    )
}

/// Answer without the padding of its body.
#[derive(Debug, Eq, PartialEq)]
pub struct ReadAnswer {
    pub body: Box<str>,
    pub closes: bool,
}

/// Reads answers until the connection ends or `count` are whole.
pub async fn read_whole_answers(
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
        let body = String::from_utf8(input[end + 4..whole].to_vec()).unwrap().trim().into();
        let closes = head.lines().any(|line| line == "connection: close");
        answers.push(ReadAnswer { body, closes });
        input.drain(..whole);
    }
    assert!(input.is_empty() || answers.len() == count, "an answer is cut");
    answers
}

/// Reads answers until the connection ends or `count` are whole; returns their bodies without padding.
pub async fn read_answers(stream: &mut TcpStream, count: usize) -> Vec<String> {
    read_whole_answers(stream, count).await.into_iter().map(|answer| answer.body.into()).collect()
}
