//! Clients that send further requests before the first one is answered and read slowly, at a host that gets SIGTERM.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::client::request_head;
use crate::deployment::SIGTERM;
use crate::http::Head;
use crate::server::BodyReading;
use crate::server::Server;
use crate::server::ServerPlan;
use crate::socket::connect_with_window;
use crate::Stage;

const CLIENTS: usize = 8;
const REQUESTS: usize = 4;
const TIME_BUDGET: Duration = Duration::from_secs(8);
/// Longest answer in the site files.
const ANSWER_BYTES: usize = 30_000;
/// Bytes that a client reads at a time, and the pause before each: an answer takes 0.3 s.
const READ_BYTES: usize = 2_000;
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Receive buffer of a client.
const WINDOW_BYTES: i32 = 4 << 10;

/// Reads a few bytes at a time.
struct SlowReader(TcpStream);

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        thread::sleep(READ_PAUSE);
        let size = buffer.len().min(READ_BYTES);
        self.0.read(&mut buffer[..size])
    }
}

pub fn play(stage: &Stage) -> bool {
    let plan = ServerPlan { slots: 16, work: Duration::from_millis(1_000), answer_bytes: ANSWER_BYTES, reading: BodyReading::Fast };
    let servers: Vec<_> = (0..3)
        .map(|number| {
            let id = format!("i-{number}");
            Server::start(&id, stage.network.server(number), plan.clone(), &stage.record).expect("a server does not start")
        })
        .collect();
    for server in &servers {
        stage.store.put("servers", &server.id, server.entry("records", "heredia-a", "ready", 1).as_bytes());
    }
    let hosts = stage.start_hosts(2);
    thread::sleep(Duration::from_secs(4));

    let callers = hosts[0].callers;
    let cut: usize = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|client| scope.spawn(move || run_client(stage, callers, client))).collect();
        thread::sleep(Duration::from_millis(500));
        if stage.has_trouble {
            stage.record.note("SIGTERM to the first host");
            hosts[0].signal(SIGTERM);
        }
        clients.into_iter().map(|client| client.join().unwrap()).sum()
    });
    stage.record.note(format!("requests that were passed on to a server and whose answer was cut: {cut}"));
    cut == 0
}

/// Sends requests on one connection, each before the one ahead is answered, and reads the answers. Returns the number of requests
/// that a server ran and whose answer is not whole; those that were not passed on do not count.
fn run_client(stage: &Stage, host: SocketAddr, client: usize) -> usize {
    let stream = connect(host).expect("the host takes no connection");
    let mut writer = stream.try_clone().unwrap();
    let attempts: Vec<String> = (0..REQUESTS).map(|number| format!("c{client}-{number}")).collect();
    for attempt in &attempts {
        stage.record.note(format!("client sends {attempt}"));
        let head = request_head("GET", "/archive/7", attempt, TIME_BUDGET, 0);
        writer.write_all(head.as_bytes()).expect("the request cannot be sent");
        thread::sleep(Duration::from_millis(60));
    }
    let mut reader = BufReader::with_capacity(READ_BYTES, SlowReader(stream));
    for attempt in &attempts {
        match read_answer(&mut reader) {
            Ok(Some((head, bytes, None))) => {
                stage.record.note(format!("client gets {attempt}: status {}, whole body of {bytes} bytes", head.status()));
                if head.header("connection").is_some_and(|value| value == "close") {
                    stage.record.note(format!("client {client} sends what is left elsewhere: the answer closes the connection"));
                    return 0;
                }
            }
            Ok(Some((head, bytes, Some(error)))) => {
                stage.record.note(format!(
                    "client gets {attempt}: status {}, {bytes} bytes of {}, then {error}",
                    head.status(),
                    head.length().unwrap_or(0)
                ));
                return 1;
            }
            Ok(None) => {
                stage.record.note(format!("client gets {attempt}: the connection ends without an answer"));
                return 0;
            }
            Err(error) => {
                stage.record.note(format!("client gets {attempt}: {error} within or before the head"));
                return 0;
            }
        }
    }
    0
}

fn connect(host: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = host else { return Err(io::ErrorKind::Unsupported.into()) };
    let stream = connect_with_window(address, WINDOW_BYTES)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TIME_BUDGET))?;
    Ok(stream)
}

/// Reads an answer: its head, the length of the body that came, and the error that cut it; `None` at the end of the stream.
fn read_answer(reader: &mut BufReader<SlowReader>) -> io::Result<Option<(Head, usize, Option<io::Error>)>> {
    let Some(head) = Head::read(reader)? else { return Ok(None) };
    let (length, mut received) = (head.length().unwrap_or(0), 0);
    let mut part = vec![0; READ_BYTES];
    while received < length {
        let wanted = part.len().min(length - received);
        match reader.read(&mut part[..wanted]) {
            Ok(0) => return Ok(Some((head, received, Some(io::ErrorKind::UnexpectedEof.into())))),
            Ok(bytes) => received += bytes,
            Err(error) => return Ok(Some((head, received, Some(error)))),
        }
    }
    Ok(Some((head, received, None)))
}
