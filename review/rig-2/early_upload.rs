//! Servers answer uploads with success before the body is in, keep the connection and read on.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Case;
use crate::Outcome;
use crate::parts::*;

/// Servers, and how many of them answer an upload early: a share of 0.6.
const SERVERS: usize = 5;
const EARLY_SERVERS: usize = 3;
/// Upload of each of these servers that it answers early; all together 3 of 200, a share of 0.015.
const EARLY_UPLOAD: usize = 3;
const CLIENTS: usize = 10;
const UPLOADS_PER_CLIENT: usize = 20;
/// Size of an upload, the largest of `assay-upload` in the sheet's site file, and the time that a client takes to send it.
const BODY_BYTES: usize = 360_000;
const PARTS: usize = 20;
const PART_PAUSE: Duration = Duration::from_millis(50);
const BUDGET_MS: u64 = 5_000;

/// What a server has read of an upload.
#[derive(Clone, Copy, Debug, Default)]
struct Upload {
    answered_early: bool,
    received_bytes: usize,
    is_same: bool,
    is_whole: bool,
}

type Uploads = Arc<Mutex<BTreeMap<String, Upload>>>;

/// Content of an upload, which differs for each.
fn content(attempt: &str) -> Vec<u8> {
    let name = attempt.as_bytes();
    (0..BODY_BYTES)
        .map(|place| name[place % name.len()].wrapping_add((place / 251) as u8))
        .collect()
}

fn serve(stream: TcpStream, uploads: &Uploads, count: &AtomicUsize, early_left: &AtomicUsize) {
    let mut reader = Reader::new(stream);
    while let Ok(Some(head)) = reader.read_head() {
        let attempt = head.attempt().to_owned();
        let number = count.fetch_add(1, Ordering::Relaxed) + 1;
        let take_early = |left: usize| left.checked_sub(1);
        let answers_early = number == EARLY_UPLOAD
            && early_left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take_early).is_ok();
        let answer = format!("{}Content-Length: 5\r\n\r\nstore", answer_head(&head, "200 OK"));
        if answers_early && reader.stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        let mut upload = Upload { answered_early: answers_early, ..Upload::default() };
        let mut body = Vec::new();
        while body.len() < BODY_BYTES {
            match reader.read_some(BODY_BYTES - body.len()) {
                Ok(part) if !part.is_empty() => body.extend(part),
                _ => break,
            }
        }
        upload.received_bytes = body.len();
        upload.is_whole = body.len() == BODY_BYTES;
        upload.is_same = content(&attempt).starts_with(&body);
        uploads.lock().unwrap().insert(attempt, upload);
        if !upload.is_whole || !answers_early && reader.stream.write_all(answer.as_bytes()).is_err()
        {
            return;
        }
    }
}

/// Sends an upload in parts, and reads the answer once all is sent. Returns the status, 0 without an answer, and the bytes sent.
fn upload(host: SocketAddr, attempt: &str) -> (u16, usize) {
    let Ok(mut stream) = TcpStream::connect(host) else { return (0, 0) };
    let head = request_text("POST", &format!("/assays/{attempt}"), attempt, BUDGET_MS);
    let text = format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n");
    let body = content(attempt);
    let mut sent = 0;
    let mut is_open = stream.write_all(text.as_bytes()).is_ok();
    for part in body.chunks(BODY_BYTES / PARTS) {
        is_open = is_open && stream.write_all(part).is_ok();
        sent += if is_open { part.len() } else { 0 };
        std::thread::sleep(PART_PAUSE);
    }
    let _ = stream.set_read_timeout(Some(Duration::from_millis(BUDGET_MS)));
    let answer = Reader::new(stream).read_answer();
    (answer.map_or(0, |(head, _)| head.status()), sent)
}

pub fn run(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::start();
    let route = Route {
        name: "r-assays",
        prefix: "/assays/",
        kind: "upload",
        service: "kagaz",
        timeout_ms: BUDGET_MS,
        max_attempts: 2,
    };
    store.put("config", "main", &config_text("00000001", &[route], 16_384));
    let uploads = Uploads::default();
    let early_left = AtomicUsize::new(if case.has_trouble { EARLY_SERVERS } else { 0 });
    let early_left = Arc::new(early_left);
    for place in 0..SERVERS {
        let (uploads, count) = (Arc::clone(&uploads), AtomicUsize::new(0));
        let early_left = Arc::clone(&early_left);
        let address = listen(move |stream| serve(stream, &uploads, &count, &early_left));
        store.put("servers", &format!("i-{place}"), &server_entry(address, "kagaz", "asan", 4));
    }
    let ports = Ports::free();
    let machine = Machine {
        name: "edge-asan-0".to_owned(),
        zone: "asan",
        region: "bagmati",
        ports,
        store: store.address,
        seeds: vec![ports.mesh],
        memory_mb: 260,
        max_fds: 4_100,
    };
    let host = Host::start(&machine, &case.folder);
    if !wait_until(Duration::from_secs(20), || host.is_ready()) {
        record.line("the host is not ready");
        return Outcome::NotRun;
    }
    record.line("host ready");
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let answers = Arc::clone(&answers);
            std::thread::spawn(move || {
                for number in 0..UPLOADS_PER_CLIENT {
                    let attempt = format!("upload-{client:02}-{number:02}");
                    let answer = upload(ports.callers, &attempt);
                    answers.lock().unwrap().insert(attempt, answer);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    std::thread::sleep(Duration::from_secs(2));
    let (answers, uploads) = (answers.lock().unwrap(), uploads.lock().unwrap());
    let (mut successes, mut lost) = (0, 0);
    for (attempt, (status, sent)) in answers.iter() {
        let seen = uploads.get(attempt).copied().unwrap_or_default();
        let is_lost = *status == 200 && !(seen.is_whole && seen.is_same);
        let mark = if is_lost { "LOST" } else { "" };
        let Upload { answered_early, received_bytes, .. } = seen;
        record.line(format!(
            "{attempt}: client sent {sent} of {BODY_BYTES} bytes, status {status}; server read {received_bytes}, answered early: {answered_early} {mark}"
        ));
        successes += usize::from(*status == 200);
        lost += usize::from(is_lost);
    }
    record.line(format!(
        "{successes} of {} uploads were answered with success, {lost} of them are not whole at their server",
        answers.len()
    ));
    match (successes, lost) {
        (0, _) => Outcome::NotRun,
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}
