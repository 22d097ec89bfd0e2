//! A crowd of clients that don't behave, against machines with the memory of the small sites.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::request_head;
use crate::host::MEMORY_MB;
use crate::record::Record;
use crate::server::Next;
use crate::server::Work;

/// Clients of the crowd for each machine, in threads of which each drives many.
const CALLERS: usize = 3_000;
const THREADS: usize = 8;
/// Short fields of one request; its head takes about 4 KB of the 16 KB that the config allows.
const FIELDS: usize = 480;
/// Body of legal size, of which the last byte is not sent.
const BODY_BYTES: usize = 24_000;
const TIME_BUDGET_MS: u32 = 2_000;
/// Pause of a client whose connection was closed, or whose request was refused, before it comes again.
const RETURN_PAUSE: Duration = Duration::from_millis(300);
/// Time a server works on a request.
const WORK_TIME: Duration = Duration::from_millis(400);
/// Ends of one machine's processes, and machines on which they happen, from which the rule is broken.
const MAX_ENDS: usize = 3;
const MACHINES: usize = 2;
const PLAY_TIME: Duration = Duration::from_secs(85);
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// What happened to the requests of the crowd.
#[derive(Default)]
struct Tally {
    sent: AtomicU64,
    refused: AtomicU64,
    answered: AtomicU64,
    closed: AtomicU64,
}

enum Stage {
    Away(Instant),
    Sending(TcpStream, Vec<u8>, usize),
    Waiting(TcpStream),
}

pub fn play(record: &Record, files: &Path, has_trouble: bool) -> Result<bool, String> {
    let work: Work = Arc::new(move |server, head, input, output| {
        if !server.take_place() {
            return server.answer(
                output,
                head,
                "503 Service Unavailable",
                "x-not-executed: 1\r\nconnection: close\r\n",
                b"",
            );
        }
        let is_read = head.read_body(input).is_ok();
        if is_read {
            std::thread::sleep(WORK_TIME);
        }
        server.leave_place();
        match is_read {
            true => server.answer(output, head, "200 OK", "", b"recorded"),
            false => Next::Close,
        }
    });
    let mut deployment = Deployment::start(files, MACHINES, &work)?;
    let addresses: Vec<SocketAddr> = deployment.hosts.iter().map(|host| host.callers()).collect();
    let (is_over, tally) = (AtomicBool::new(false), Tally::default());
    let mut ends = vec![0; MACHINES];
    let mut peaks = vec![0; MACHINES];
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let (address, is_over, tally) = (addresses[thread % MACHINES], &is_over, &tally);
            let count = CALLERS * MACHINES / THREADS;
            scope.spawn(move || drive(address, count, has_trouble, is_over, tally));
        }
        let end = Instant::now() + PLAY_TIME;
        while Instant::now() < end && ends.iter().any(|ends| *ends < MAX_ENDS) {
            std::thread::sleep(Duration::from_millis(50));
            for (index, host) in deployment.hosts.iter_mut().enumerate() {
                let memory = host.memory_mb().unwrap_or(0);
                peaks[index] = peaks[index].max(memory);
                // The platform kills a process that exceeds its memory, and starts it again.
                if memory > MEMORY_MB || host.has_ended() {
                    ends[index] += 1;
                    record.tell(format!(
                        "{}: {memory} MB of {MEMORY_MB}, killed by the platform ({} times)",
                        host.name, ends[index]
                    ));
                    host.kill();
                    std::thread::sleep(RESTART_PAUSE);
                    if let Err(reason) = host.start() {
                        record.tell(reason);
                    }
                }
            }
        }
        is_over.store(true, Ordering::SeqCst);
    });
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    record.tell(format!(
        "requests {}, answered {}, refused {}, connections closed without an answer {}; peaks {peaks:?} MB",
        count(&tally.sent),
        count(&tally.answered),
        count(&tally.refused),
        count(&tally.closed)
    ));
    record.tell(format!(
        "ends by memory: {ends:?}; the rule is broken from {MAX_ENDS} on each of {MACHINES}"
    ));
    if !has_trouble && count(&tally.answered) == 0 {
        return Err("no request was answered without trouble".into());
    }
    Ok(ends.iter().any(|ends| *ends < MAX_ENDS))
}

/// Drives `count` clients of one machine until the case is over.
fn drive(
    address: SocketAddr,
    count: usize,
    has_trouble: bool,
    is_over: &AtomicBool,
    tally: &Tally,
) {
    let start = Instant::now();
    // Clients come one after the other, as the queue of new connections is short.
    let mut clients: Vec<Stage> = (0..count)
        .map(|number| Stage::Away(start + Duration::from_millis(3) * number as u32))
        .collect();
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        for client in &mut clients {
            let stage = std::mem::replace(client, Stage::Away(Instant::now() + RETURN_PAUSE));
            *client = match stage {
                Stage::Away(until) if Instant::now() < until => Stage::Away(until),
                Stage::Away(_) => match TcpStream::connect(address) {
                    Ok(stream) if stream.set_nonblocking(true).is_ok() => {
                        number += 1;
                        tally.sent.fetch_add(1, Ordering::Relaxed);
                        Stage::Sending(stream, request(number, has_trouble), 0)
                    }
                    _ => continue,
                },
                Stage::Sending(mut stream, text, sent) => match stream.write(&text[sent..]) {
                    Ok(bytes) if sent + bytes < text.len() => {
                        Stage::Sending(stream, text, sent + bytes)
                    }
                    Ok(_) => Stage::Waiting(stream),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        Stage::Sending(stream, text, sent)
                    }
                    Err(_) => {
                        tally.closed.fetch_add(1, Ordering::Relaxed);
                        continue;
                    }
                },
                Stage::Waiting(mut stream) => {
                    let mut start = [0; 64];
                    match stream.read(&mut start) {
                        Err(error) if error.kind() == ErrorKind::WouldBlock => {
                            Stage::Waiting(stream)
                        }
                        Ok(bytes) if bytes >= 12 => {
                            let counter = match &start[9..12] {
                                b"200" => &tally.answered,
                                _ => &tally.refused,
                            };
                            counter.fetch_add(1, Ordering::Relaxed);
                            continue;
                        }
                        _ => {
                            tally.closed.fetch_add(1, Ordering::Relaxed);
                            continue;
                        }
                    }
                }
            };
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// An upload. With trouble it has very many short fields, and its body stops short of its end.
fn request(number: usize, has_trouble: bool) -> Vec<u8> {
    let path = ["/subida/", "/pago/"][number % 2];
    let (_, mut head) = request_head("POST", &format!("{path}{number}"), TIME_BUDGET_MS);
    head.push_str(&format!("Content-Length: {BODY_BYTES}\r\n"));
    if has_trouble {
        for field in 0..FIELDS {
            head.push_str(&format!("f{field}: b\r\n"));
        }
    }
    head.push_str("\r\n");
    let mut text = head.into_bytes();
    text.resize(text.len() + BODY_BYTES - usize::from(has_trouble), b'b');
    text
}
