//! Targets whose answers have a status that HTTP does not define.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::entry_fleet::CallerRequest;
use crate::entry_fleet::EntryFleet;

/// Time in which a host applies the entry of a target.
const APPLY_TIME: Duration = Duration::from_millis(500);

/// Starts a target that answers each request with a status line and signs the answer.
async fn start_target(status: &'static str) -> (SocketAddr, JoinSet<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            connections.spawn(serve(stream, status));
        }
    });
    (address, tasks)
}

async fn serve(mut stream: TcpStream, status: &'static str) -> Option<()> {
    loop {
        let mut input = Vec::new();
        while !input.ends_with(b"\r\n\r\n") {
            input.push(stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8(input).ok()?;
        let field = |name| head.lines().find_map(|line| line.strip_prefix(name));
        let length = field("content-length: ").map_or(0, |length| length.parse().unwrap());
        stream.read_exact(&mut vec![0; length]).await.ok()?;
        let answer = format!(
            "HTTP/1.1 {status}\r\nx-attempt-id: {}\r\nx-server-signature: s\r\ncontent-length: 2\r\n\r\nok",
            field("x-attempt-id: ")?
        );
        stream.write_all(answer.as_bytes()).await.ok()?;
    }
}

macro_rules! statuses {
    ($($name:ident: $status:literal;)*) => {
        $(
            /// Guards against bytes that a caller gets as an answer though they are none in the protocol.
            #[tokio::test]
            async fn $name() {
                let fleet = EntryFleet::start(1, 1).await;
                let (address, _tasks) = start_target($status).await;
                fleet.replace_target(0, address);
                tokio::time::sleep(APPLY_TIME).await;
                for call in [CallerRequest::payment(), CallerRequest::page()] {
                    let answer = fleet.send_request(0, call).await;
                    assert_eq!(answer.status(), 502);
                    assert!(!answer.headers().contains_key("x-server-signature"));
                }
            }
        )*
    };
}

statuses! {
    an_answer_of_status_zero_is_not_passed_on: "000 Trouble";
    an_answer_without_a_reason_and_of_status_zero_is_not_passed_on: "000";
    an_answer_below_the_first_class_is_not_passed_on: "099 Early";
    an_answer_above_the_last_class_is_not_passed_on: "600 Late";
    an_answer_of_the_largest_status_is_not_passed_on: "999 Last";
    an_answer_of_two_digits_is_not_passed_on: "20 OK";
    an_answer_of_four_digits_is_not_passed_on: "2000 OK";
}
