//! Connections on which callers send further requests before the first one is answered.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use buckthornturn::callers::ConnectionServer;
use buckthornturn::callers::ServerPhase;
use buckthornturn::settings::CallerBounds;
use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

const SEND_PAUSE: Duration = Duration::from_millis(30);
const WORK_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a caller that has left must be noticed.
const LEAVE_SLACK: Duration = Duration::from_millis(400);

/// Paths of the requests that the server has begun, and of those that it has dropped or answered.
#[derive(Clone, Default)]
struct Journal {
    begun: Arc<Mutex<Vec<String>>>,
    ended: Arc<Mutex<Vec<String>>>,
}

/// Records the end of a request when it is dropped.
struct EndRecord {
    path: String,
    journal: Journal,
}

impl Drop for EndRecord {
    fn drop(&mut self) {
        self.journal.ended.lock().unwrap().push(self.path.clone());
    }
}

async fn start_server(phase: &watch::Sender<ServerPhase>, journal: &Journal) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = ConnectionServer::new(listener, CallerBounds::default(), phase.subscribe());
    let journal = journal.clone();
    tokio::spawn(server.run(move |request, _| {
        let journal = journal.clone();
        async move {
            let path = request.uri().path().to_owned();
            journal.begun.lock().unwrap().push(path.clone());
            let _end = EndRecord { path: path.clone(), journal };
            let _ = request.into_body().collect().await;
            tokio::time::sleep(WORK_TIME).await;
            Response::new(Full::new(Bytes::from(path)))
        }
    }));
    address
}

macro_rules! leaving_caller_cases {
    ($($name:ident: [$($text:expr),*], begun $begun:expr;)*) => {
        $(
            /// Guards against requests that run after their caller has left, behind input that the HTTP library holds.
            #[tokio::test]
            async fn $name() {
                let (phase, journal) = (watch::Sender::new(ServerPhase::Serving), Journal::default());
                let address = start_server(&phase, &journal).await;
                let mut stream = TcpStream::connect(address).await.unwrap();
                for text in [$($text),*] {
                    stream.write_all(text.as_bytes()).await.unwrap();
                    tokio::time::sleep(SEND_PAUSE).await;
                }
                drop(stream);
                tokio::time::sleep(LEAVE_SLACK).await;
                let begun: &[&str] = &$begun;
                assert_eq!(*journal.begun.lock().unwrap(), begun);
                assert_eq!(*journal.ended.lock().unwrap(), begun);
                tokio::time::sleep(WORK_TIME).await;
                assert_eq!(*journal.begun.lock().unwrap(), begun);
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
    caller_with_one_request: [GET_1], begun ["/1"];
    caller_with_a_second_request: [GET_1, GET_2], begun ["/1"];
    caller_with_a_third_request: [GET_1, GET_2, GET_3], begun ["/1"];
    caller_with_a_request_behind_a_body: [POST_1, GET_2, GET_3], begun ["/1"];
    caller_with_a_request_behind_a_chunked_body: [CHUNKED_1, GET_2, GET_3], begun ["/1"];
    caller_with_a_part_of_a_request: [GET_1, "GET /2"], begun ["/1"];
}
