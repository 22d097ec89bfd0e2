//! Stand-in for a server of a service.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::read_body;
use crate::http::Head;
use crate::record::Record;
use crate::socket::set_window;

/// How a server behaves.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    /// Requests at the same time that the server's entry names.
    pub slots: u32,
    /// Time that a request takes.
    pub work: Duration,
    /// Length of an answer's body.
    pub answer_bytes: usize,
    /// How the server reads a request body.
    pub reading: BodyReading,
}

/// How a server reads a request body.
#[derive(Clone, Copy, Debug)]
pub enum BodyReading {
    /// As it comes.
    Fast,
    /// The start as it comes, then nothing for a time, then the rest as it comes.
    Paused(Duration),
}

/// Bytes that are read before a pause.
const BYTES_BEFORE_PAUSE: usize = 60_000;
/// Receive buffer of a server's connection.
const WINDOW_BYTES: i32 = 32 << 10;

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    /// Seconds since the start of the rig.
    pub at: f64,
    /// Seconds since the start of the rig; `None` while it lasts.
    pub ended_at: Option<f64>,
    /// How the run ended; `None` while it lasts.
    pub end: Option<&'static str>,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    plan: ServerPlan,
    record: Arc<Record>,
    runs: Mutex<Vec<Run>>,
    has_ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Server {
    pub fn start(id: &str, address: SocketAddr, plan: ServerPlan, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let server = Arc::new(Self {
            id: id.into(),
            address,
            plan,
            record: Arc::clone(record),
            runs: Mutex::default(),
            has_ended: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let shared = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.has_ended.load(Ordering::Relaxed) {
                    return;
                }
                shared.streams.lock().unwrap().extend(stream.try_clone());
                let server = Arc::clone(&shared);
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// Entry of the server in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str, sequence: u64) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":1700000000000,\"info\":{{\"backend_service\":\"{service}\",\
             \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{sequence},\"cold_remaining_ms\":0}}}}",
            self.address, self.plan.slots
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Ends the server: it takes no connection any more, and the open ones are closed.
    pub fn end(&self) {
        self.record.note(format!("server {} ends", self.id));
        self.has_ended.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections, so that the listener is closed.
        let _ = TcpStream::connect(self.address);
        for run in self.runs.lock().unwrap().iter_mut().filter(|run| run.end.is_none()) {
            (run.end, run.ended_at) = (Some("the server ended"), Some(self.record.now()));
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        set_window(&stream, WINDOW_BYTES);
        let Ok(writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            if self.answer(&head, &mut reader, &writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, reader: &mut BufReader<TcpStream>, mut writer: &TcpStream) -> io::Result<()> {
        if head.word(1) == "/health" {
            let text = format!("HTTP/1.1 200 OK\r\nx-instance-id: {}\r\ncontent-length: 0\r\n\r\n", self.id);
            return writer.write_all(text.as_bytes());
        }
        let attempt = head.header("x-attempt-id").unwrap_or_default().to_owned();
        let wanted = head.header("x-target-instance");
        if wanted.is_some_and(|wanted| wanted != self.id) {
            read_body(reader, head)?;
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-instance-id: {}\r\nx-attempt-id: {attempt}\r\n\
                 content-length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(text.as_bytes());
        }
        let place = self.begin(&attempt, head);
        let end = match self.run(head, reader, writer) {
            Ok(body_bytes) => {
                self.record.note(format!("server {} has run {attempt}, body of {body_bytes} bytes", self.id));
                let text = format!(
                    "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-signature: 3e1b.{attempt}\r\n\
                     x-server-load: 1,0,16\r\nkeep-alive: timeout=10\r\ncontent-length: {}\r\n\r\n",
                    self.plan.answer_bytes
                );
                let body = vec![b'a'; self.plan.answer_bytes];
                writer.write_all(&[text.as_bytes(), &body].concat()).map(|()| "answered")
            }
            Err(error) => Err(error),
        };
        self.finish(place, *end.as_ref().unwrap_or(&"the connection was closed"));
        if let Err(error) = &end {
            self.record.note(format!("server {} breaks {attempt} off: {error}", self.id));
        }
        end.map(|_| ())
    }

    fn begin(&self, attempt: &str, head: &Head) -> usize {
        self.record.note(format!("server {} begins {attempt} ({})", self.id, head.start));
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run { attempt: attempt.into(), at: self.record.now(), ended_at: None, end: None });
        runs.len() - 1
    }

    fn finish(&self, place: usize, end: &'static str) {
        let mut runs = self.runs.lock().unwrap();
        let run = &mut runs[place];
        run.end.get_or_insert(end);
        run.ended_at.get_or_insert(self.record.now());
    }

    /// Reads the body and works, until the connection is closed. Returns the length of the body.
    fn run(&self, head: &Head, reader: &mut BufReader<TcpStream>, stream: &TcpStream) -> io::Result<usize> {
        let body_bytes = match (self.plan.reading, head.length()) {
            (BodyReading::Paused(time), Some(length)) if length > BYTES_BEFORE_PAUSE => {
                let mut body = vec![0; length];
                reader.read_exact(&mut body[..BYTES_BEFORE_PAUSE])?;
                self.record.note(format!("server {} reads nothing for {time:?}", self.id));
                thread::sleep(time);
                self.record.note(format!("server {} reads on", self.id));
                reader.read_exact(&mut body[BYTES_BEFORE_PAUSE..])?;
                length
            }
            _ => read_body(reader, head)?.len(),
        };
        let mut left = self.plan.work;
        while !left.is_zero() {
            let step = left.min(Duration::from_millis(20));
            thread::sleep(step);
            left -= step;
            check_open(stream)?;
        }
        Ok(body_bytes)
    }
}

/// Fails if the other end has closed the connection.
fn check_open(stream: &TcpStream) -> io::Result<()> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Ok(0) => Err(io::ErrorKind::ConnectionAborted.into()),
        Err(error) if error.kind() != io::ErrorKind::WouldBlock => Err(error),
        _ => Ok(()),
    }
}
