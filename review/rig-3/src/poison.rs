//! A request that crashes each server which begins to run it, and comes again at any machine.

use std::collections::HashSet;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::connect;
use crate::deployment::request_head;
use crate::host::Host;
use crate::http::Head;
use crate::record::Record;
use crate::server::Next;
use crate::server::Work;

const UPLOAD_PATH: &str = "/subida/ceremonia-417";
const PAGE_PATH: &str = "/pagina/memorial-417";
/// `stable_window_ms` of the sites, and the retries that the rule allows later than that after the third crash.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
const MAX_LATE_RETRIES: usize = 3;
const TIME_BUDGET_MS: u32 = 2_000;
/// Pieces in which the client sends its recording, and the time between two of them.
const PIECE_BYTES: usize = 4_000;
const PIECE_PAUSE: Duration = Duration::from_millis(25);
/// Length of a page, and what a server has sent of it when it crashes.
const PAGE_BYTES: usize = 60_000;
const SENT_PAGE_BYTES: usize = 20_000;

/// How the client sends the upload each time that it comes again.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Sending {
    /// With a length, in pieces.
    Pieces,
    /// As a page, without a body.
    Page,
}

impl Sending {
    fn path(self) -> &'static str {
        match self {
            Self::Page => PAGE_PATH,
            Self::Pieces => UPLOAD_PATH,
        }
    }
}

/// The upload is sent in pieces, and the server crashes on the first of them.
pub fn play_pieces(record: &Record, files: &Path, has_trouble: bool) -> Result<bool, String> {
    play(record, files, has_trouble, Sending::Pieces, Duration::from_millis(1_300), 15)
}

/// A page is asked for, and the server crashes while it sends the answer.
pub fn play_answers(record: &Record, files: &Path, has_trouble: bool) -> Result<bool, String> {
    play(record, files, has_trouble, Sending::Page, Duration::from_millis(1_000), 20)
}

fn play(
    record: &Record,
    files: &Path,
    has_trouble: bool,
    sending: Sending,
    pause: Duration,
    count: usize,
) -> Result<bool, String> {
    // Times at which the request reached a server with its attempt id, and at which a server crashed under it.
    let arrivals = Arc::new(Mutex::new(Vec::<(Instant, String)>::new()));
    let crashes = Arc::new(Mutex::new(Vec::<Instant>::new()));
    let (seen_arrivals, seen_crashes) = (Arc::clone(&arrivals), Arc::clone(&crashes));
    let work: Work = Arc::new(move |server, head, input, output| {
        let is_it = head.path() == sending.path();
        if is_it {
            let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
            seen_arrivals.lock().unwrap().push((Instant::now(), id));
        }
        if is_it && has_trouble {
            // The server begins with the first bytes of a long body.
            let begun = match sending {
                Sending::Pieces => input.read_exact(&mut [0; 1_000]).is_ok(),
                Sending::Page => server.answer_part(output, head, PAGE_BYTES, SENT_PAGE_BYTES),
            };
            if begun {
                seen_crashes.lock().unwrap().push(Instant::now());
                return Next::Crash;
            }
            return Next::Close;
        }
        match head.read_body(input) {
            Ok(_) if sending == Sending::Page => {
                server.answer(output, head, "200 OK", "", &[b'p'; PAGE_BYTES])
            }
            Ok(_) => server.answer(output, head, "200 OK", "", b"recorded"),
            Err(_) => Next::Close,
        }
    });
    let deployment = Deployment::start(files, 3, &work)?;
    // Machines are in touch once they have run for the stable window.
    std::thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    let body: Vec<u8> = match sending {
        Sending::Pieces => vec![b'r'; 60_000],
        Sending::Page => Vec::new(),
    };
    let statuses = std::thread::scope(|scope| {
        let mut sent = Vec::new();
        for number in 0..count {
            let host = &deployment.hosts[number % deployment.hosts.len()];
            let body = &body;
            sent.push(scope.spawn(move || {
                let status = send(host, body, sending);
                record.write(format!("request {number} to {}: {status:?}", host.name));
                status
            }));
            std::thread::sleep(pause);
        }
        sent.into_iter().filter_map(|thread| thread.join().ok()).collect::<Vec<_>>()
    });
    let (arrivals, crashes) = (arrivals.lock().unwrap(), crashes.lock().unwrap());
    let answered = statuses.iter().filter(|status| **status == Some(200)).count();
    record.tell(format!(
        "requests {count}, answered with success {answered}, arrivals at servers {}, servers crashed {}",
        arrivals.len(),
        crashes.len()
    ));
    if !has_trouble {
        return if answered == count {
            Ok(true)
        } else {
            Err("requests failed without trouble".into())
        };
    }
    let Some(third) = crashes.get(2) else { return Ok(true) };
    let is_late = |at: Instant| at > *third + STABLE_WINDOW;
    let late: HashSet<&str> =
        arrivals.iter().filter(|(at, _)| is_late(*at)).map(|(_, id)| &**id).collect();
    record.tell(format!(
        "retries that reached servers later than {STABLE_WINDOW:?} after the third crash: {}, allowed {MAX_LATE_RETRIES}",
        late.len()
    ));
    Ok(late.len() <= MAX_LATE_RETRIES)
}

/// Sends the request once on a new connection, and returns the status of the answer.
fn send(host: &Host, body: &[u8], sending: Sending) -> Option<u16> {
    let method = if sending == Sending::Page { "GET" } else { "POST" };
    let (_, head) = request_head(method, sending.path(), TIME_BUDGET_MS);
    let mut stream = connect(host).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let mut input = BufReader::new(stream.try_clone().ok()?);
    let written = (|| {
        if sending == Sending::Page {
            return stream.write_all(format!("{head}\r\n").as_bytes());
        }
        let start = format!("{head}Content-Length: {}\r\n\r\n", body.len());
        stream.write_all(start.as_bytes())?;
        for piece in body.chunks(PIECE_BYTES) {
            stream.write_all(piece)?;
            std::thread::sleep(PIECE_PAUSE);
        }
        Ok(())
    })();
    let _ = written;
    let head = Head::read(&mut input).ok()??;
    let mut rest = Vec::new();
    let _ = input.by_ref().take(head.length() as u64).read_to_end(&mut rest);
    Some(head.status())
}
