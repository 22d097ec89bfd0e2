//! Clients that send further requests before the first is answered, and a server that breaks its answer off.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::deployment::connect;
use crate::deployment::request_head;
use crate::host::Host;
use crate::http::Head;
use crate::record::Record;
use crate::server::Next;
use crate::server::Work;

/// Size of a recording that is fetched.
const RECORDING_BYTES: usize = 400_000;
/// Half of the servers of the recordings break off one answer in this many.
const BROKEN_DIVISOR: usize = 50;
const CLIENTS: usize = 6;
const ROUNDS: usize = 120;
/// Pages that are asked for behind the recording.
const PAGES: usize = 3;
const RECORDING_BUDGET_MS: u32 = 8_000;
const PAGE_BUDGET_MS: u32 = 2_000;
/// Requests that the rule lets a connection lose.
const MAX_LOST: usize = 3;

/// What a server did with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Run {
    Whole,
    BrokenOff,
}

pub fn play(record: &Record, files: &Path, has_trouble: bool) -> Result<bool, String> {
    let runs = Arc::new(Mutex::new(HashMap::<String, (String, Run)>::new()));
    let (seen, recordings) = (Arc::clone(&runs), AtomicUsize::new(0));
    let work: Work = Arc::new(move |server, head, input, output| {
        if head.read_body(input).is_err() {
            return Next::Close;
        }
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let is_recording = head.path().starts_with("/archivo/");
        let is_broken = is_recording
            && has_trouble
            && server.number % 2 == 0
            && recordings.fetch_add(1, Ordering::SeqCst) % BROKEN_DIVISOR == BROKEN_DIVISOR - 1;
        let run = if is_broken { Run::BrokenOff } else { Run::Whole };
        seen.lock().unwrap().insert(id.clone(), (server.id(), run));
        std::thread::sleep(Duration::from_millis(5));
        let body = vec![b'z'; if is_recording { RECORDING_BYTES } else { 400 }];
        if is_broken {
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: {}.{id}\r\n\
                 content-length: {}\r\n\r\n",
                server.id(),
                body.len()
            );
            let _ = output.write_all(head.as_bytes());
            let _ = output.write_all(&body[..body.len() - 1_000]);
            return Next::Close;
        }
        server.answer(output, head, "200 OK", "", &body)
    });
    let deployment = Deployment::start(files, 2, &work)?;
    std::thread::sleep(Duration::from_secs(4));
    let (runs, answered) = (&runs, AtomicUsize::new(0));
    let lost = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let host = &deployment.hosts[number % deployment.hosts.len()];
                let answered = &answered;
                scope.spawn(move || {
                    let mut lost = 0;
                    let mut kept = None;
                    for _ in 0..ROUNDS {
                        lost += play_round(record, host, runs, answered, &mut kept);
                    }
                    lost
                })
            })
            .collect();
        clients.into_iter().filter_map(|client| client.join().ok()).sum::<usize>()
    });
    let broken = runs.lock().unwrap().values().filter(|(_, run)| *run == Run::BrokenOff).count();
    record.tell(format!(
        "requests {}, answered whole {}, recordings that their servers broke off {broken}",
        CLIENTS * ROUNDS * (PAGES + 1),
        answered.load(Ordering::SeqCst)
    ));
    record.tell(format!(
        "pages that sound servers answered and whose connection was closed without an answer: {lost}, \
         allowed {MAX_LOST}"
    ));
    match has_trouble {
        false if answered.load(Ordering::SeqCst) * 10 < CLIENTS * ROUNDS * (PAGES + 1) * 9 => {
            Err("requests failed without trouble".into())
        }
        _ => Ok(lost <= MAX_LOST),
    }
}

/// Asks for a recording and pages behind it on a kept connection. Returns how many pages a sound server answered whole whose
/// connection ended without their answer.
fn play_round(
    record: &Record,
    host: &Host,
    runs: &Mutex<HashMap<String, (String, Run)>>,
    answered: &AtomicUsize,
    kept: &mut Option<BufReader<std::net::TcpStream>>,
) -> usize {
    if kept.is_none() {
        let Ok(stream) = connect(host) else { return 0 };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        *kept = Some(BufReader::new(stream));
        // The connection is a kept one from its first answer on.
        let (_, head) = request_head("GET", "/pagina/inicio", PAGE_BUDGET_MS);
        if exchange(kept, &format!("{head}\r\n")).is_none() {
            *kept = None;
            return 0;
        }
    }
    let (first, head) = request_head("GET", "/archivo/17", RECORDING_BUDGET_MS);
    let mut ids = vec![first];
    let mut text = format!("{head}\r\n");
    for page in 0..PAGES {
        let (id, head) = request_head("GET", &format!("/pagina/{page}"), PAGE_BUDGET_MS);
        ids.push(id);
        text.push_str(&format!("{head}\r\n"));
    }
    let Some(input) = kept.as_mut() else { return 0 };
    if input.get_mut().write_all(text.as_bytes()).is_err() {
        *kept = None;
        return 0;
    }
    let mut got = 0;
    for id in &ids {
        let head = match Head::read(input) {
            Ok(Some(head)) => head,
            _ => break,
        };
        if head.read_body(input).is_err() {
            break;
        }
        got += 1;
        answered.fetch_add(1, Ordering::SeqCst);
        if head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            // What was sent behind this answer counts as not read.
            *kept = None;
            record.write(format!("{} closes behind {id}", host.name));
            return 0;
        }
    }
    if got == ids.len() {
        return 0;
    }
    *kept = None;
    // Time for servers to answer what they were sent.
    std::thread::sleep(Duration::from_millis(100));
    let runs = runs.lock().unwrap();
    let mut lost = 0;
    for (place, id) in ids.iter().enumerate().skip(got) {
        let run = runs.get(id);
        record.write(format!("{} ends the connection, request {place} {id}: {run:?}", host.name));
        lost += usize::from(place > 0 && matches!(run, Some((_, Run::Whole))));
    }
    lost
}

/// Sends a request and reads its answer; `None` if there is none.
fn exchange(kept: &mut Option<BufReader<std::net::TcpStream>>, text: &str) -> Option<()> {
    let input = kept.as_mut()?;
    input.get_mut().write_all(text.as_bytes()).ok()?;
    let head = Head::read(input).ok()??;
    head.read_body(input).ok()?;
    Some(())
}
