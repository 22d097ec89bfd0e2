//! A host gets SIGTERM while servers work on requests that clients sent ahead on their connections.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Outcome;
use crate::parts::*;

/// Time that a server works on each request.
const WORK: Duration = Duration::from_millis(1_500);
const SERVERS: usize = 4;
const SLOTS: u32 = 4;
const CONNECTIONS: usize = 3;
const REQUESTS_AHEAD: usize = 4;
const BUDGET_MS: u64 = 5_000;

/// What servers have seen of a request: how often it began, and how often its whole answer was written.
type Runs = Arc<Mutex<BTreeMap<String, (u32, u32)>>>;

fn serve(stream: TcpStream, runs: &Runs) {
    let mut reader = Reader::new(stream);
    while let Ok(Some(head)) = reader.read_head() {
        if reader.read_body(&head).is_err() {
            return;
        }
        let attempt = head.attempt().to_owned();
        runs.lock().unwrap().entry(attempt.clone()).or_default().0 += 1;
        std::thread::sleep(WORK);
        let body = format!("page of {attempt}");
        let answer =
            format!("{}Content-Length: {}\r\n\r\n{body}", answer_head(&head, "200 OK"), body.len());
        if reader.stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        runs.lock().unwrap().entry(attempt).or_default().1 += 1;
    }
}

pub fn run(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::start();
    let route = Route {
        name: "r-pages",
        prefix: "/pages/",
        kind: "idempotent",
        service: "pages",
        timeout_ms: 5_000,
        max_attempts: 2,
    };
    store.put("config", "main", &config_text("00000001", &[route], 16_384));
    let runs = Runs::default();
    for number in 0..SERVERS {
        let runs = Arc::clone(&runs);
        let address = listen(move |stream| serve(stream, &runs));
        store.put(
            "servers",
            &format!("i-{number}"),
            &server_entry(address, "pages", "asan", SLOTS),
        );
    }
    let ports = [Ports::free(), Ports::free()];
    let seeds: Vec<_> = ports.iter().map(|ports| ports.mesh).collect();
    let mut hosts: Vec<Host> = ports
        .iter()
        .enumerate()
        .map(|(number, ports)| {
            let machine = Machine {
                name: format!("edge-asan-{number}"),
                zone: "asan",
                region: "bagmati",
                ports: *ports,
                store: store.address,
                seeds: seeds.clone(),
                memory_mb: 260,
                max_fds: 4_100,
            };
            Host::start(&machine, &case.folder)
        })
        .collect();
    let is_ready = wait_until(Duration::from_secs(20), || hosts.iter().all(Host::is_ready));
    if !is_ready {
        record.line("the hosts are not ready");
        return Outcome::NotRun;
    }
    // Calm time before the planned stop: no impairment from `stable_window_ms` (3 s) on.
    std::thread::sleep(Duration::from_secs(4));
    record.line("hosts ready, calm for 4 s");

    let sent_at = Instant::now();
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|connection| {
            let record = record.clone();
            let mut stream = TcpStream::connect(ports[0].callers).expect("the host accepts");
            let attempts: Vec<String> = (0..REQUESTS_AHEAD)
                .map(|request| format!("c{connection}-r{request}"))
                .collect();
            let text: String = attempts
                .iter()
                .map(|attempt| {
                    request_text("GET", &format!("/pages/{attempt}"), attempt, BUDGET_MS) + "\r\n"
                })
                .collect();
            stream.write_all(text.as_bytes()).expect("the requests can be written");
            for attempt in &attempts {
                record.line(format!("sent {attempt}"));
            }
            stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
            std::thread::spawn(move || {
                let mut reader = Reader::new(stream);
                let mut answered = Vec::new();
                loop {
                    match reader.read_answer() {
                        Ok((head, body)) => {
                            let attempt = head.attempt().to_owned();
                            let is_signed = head.header("x-server-signature").is_some();
                            record.line(format!(
                                "answered {attempt}: {} signed {is_signed}, {} bytes, connection {:?}",
                                head.status(), body.len(), head.header("connection")
                            ));
                            answered.push(attempt);
                            if answered.len() == REQUESTS_AHEAD {
                                return answered;
                            }
                        }
                        Err(error) => {
                            record.line(format!("connection {connection} ended: {:?}", error.kind()));
                            return answered;
                        }
                    }
                }
            })
        })
        .collect();
    let total = CONNECTIONS * REQUESTS_AHEAD;
    let all_begun = wait_until(Duration::from_secs(1), || runs.lock().unwrap().len() == total);
    record.line(format!("servers work on {} of {total}", runs.lock().unwrap().len()));
    if !all_begun {
        record.line("not all requests were passed on at once");
    }
    std::thread::sleep(Duration::from_millis(300).saturating_sub(sent_at.elapsed()));
    if case.has_trouble {
        hosts[0].signal("TERM");
        record.line("SIGTERM to edge-asan-0");
    }
    let answered: Vec<String> =
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    record.line(format!(
        "all connections ended {:.2} s after the requests were sent",
        sent_at.elapsed().as_secs_f64()
    ));
    if case.has_trouble {
        let has_ended = wait_until(GRACE_PERIOD, || hosts[0].has_ended());
        record.line(format!("edge-asan-0 ended by itself: {has_ended}"));
    }
    let passed_on: Vec<String> = runs.lock().unwrap().keys().cloned().collect();
    let lost: Vec<&String> =
        passed_on.iter().filter(|attempt| !answered.contains(attempt)).collect();
    for (attempt, (begun, done)) in runs.lock().unwrap().iter() {
        record.line(format!("server: {attempt} begun {begun}, answer written {done}"));
    }
    record.line(format!(
        "passed on {}, answered {}, lost {}",
        passed_on.len(),
        answered.len(),
        lost.len()
    ));
    match (passed_on.is_empty(), lost.is_empty()) {
        (true, _) => Outcome::NotRun,
        (_, true) => Outcome::Held,
        _ => Outcome::Broken,
    }
}
