//! All hosts are killed and start again while the store is away, beside a tenant that sends more than its quota.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Outcome;
use crate::parts::*;

const MACHINES: usize = 10;
const ZONES: [(&str, &str); 3] =
    [("asan", "bagmati"), ("lakeside", "gandaki"), ("biratnagar", "koshi")];
const SERVERS: usize = 12;
/// Quota of the tenant.
const RATE: u64 = 400;
const BURST: u64 = 40;
/// Clients of the tenant, each of which sends at most ten requests a second: five times the quota. The usual traffic of a tenant is its
/// quota divided by `quota_x`, 1.6, so that this is eight times the usual.
const CLIENTS: usize = 200;
const CLIENT_PAUSE: Duration = Duration::from_millis(100);
/// `quota_window_s`, `quota_overage` and `quota_slack`.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Times without hosts and without the store (`herd_kill`, share 1.0, for_s 1.0; `platform_down`, silent, for_s 4.5).
const DOWN_TIME: Duration = Duration::from_secs(1);
const SILENT_TIME: Duration = Duration::from_millis(4_500);
const CALM_TIME: Duration = Duration::from_secs(10);

/// When requests were sent, and when servers ran them, by attempt.
#[derive(Default)]
struct Traffic {
    sent: Mutex<HashMap<String, Instant>>,
    ran: Mutex<HashMap<String, Instant>>,
}

fn serve(stream: TcpStream, traffic: &Traffic) {
    let mut reader = Reader::new(stream);
    while let Ok(Some(head)) = reader.read_head() {
        traffic.ran.lock().unwrap().insert(head.attempt().to_owned(), Instant::now());
        std::thread::sleep(Duration::from_millis(3));
        let answer = format!("{}Content-Length: 4\r\n\r\npage", answer_head(&head, "200 OK"));
        if reader.stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends requests on a kept connection until the end, and opens another one when that is lost.
fn send(host: SocketAddr, next: &AtomicU64, is_over: &AtomicBool, traffic: &Traffic) {
    while !is_over.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect_timeout(&host, Duration::from_secs(1)) else {
            std::thread::sleep(CLIENT_PAUSE);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let mut reader = Reader::new(stream);
        while !is_over.load(Ordering::Relaxed) {
            let attempt = format!("{:016x}", next.fetch_add(1, Ordering::Relaxed));
            let text = request_text("GET", &format!("/rates/{attempt}"), &attempt, 2_000) + "\r\n";
            let sent_at = Instant::now();
            traffic.sent.lock().unwrap().insert(attempt, sent_at);
            if reader.stream.write_all(text.as_bytes()).is_err() || reader.read_answer().is_err() {
                break;
            }
            std::thread::sleep(CLIENT_PAUSE.saturating_sub(sent_at.elapsed()));
        }
    }
}

pub fn run(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::start();
    let route = Route {
        name: "r-rates",
        prefix: "/rates/",
        kind: "idempotent",
        service: "ratebook",
        timeout_ms: 2_000,
        max_attempts: 2,
    };
    let quota = format!(r#""rate_per_s":{RATE},"burst":{BURST}"#);
    let config = config_text("00000001", &[route], 16_384);
    store.put("config", "main", &config.replace(r#""rate_per_s":0,"burst":0"#, &quota));
    let traffic = Arc::<Traffic>::default();
    for place in 0..SERVERS {
        let traffic = Arc::clone(&traffic);
        let address = listen(move |stream| serve(stream, &traffic));
        let entry = server_entry(address, "ratebook", ZONES[place % ZONES.len()].0, 64);
        store.put("servers", &format!("i-{place}"), &entry);
    }
    let ports: Vec<Ports> = (0..MACHINES).map(|_| Ports::free()).collect();
    let seeds: Vec<_> = ports.iter().take(3).map(|ports| ports.mesh).collect();
    let start_hosts = || -> Vec<Host> {
        let machine = |(number, ports): (usize, &Ports)| Machine {
            name: format!("edge-{}-{number}", ZONES[number % ZONES.len()].0),
            zone: ZONES[number % ZONES.len()].0,
            region: ZONES[number % ZONES.len()].1,
            ports: *ports,
            store: store.address,
            seeds: seeds.clone(),
            memory_mb: 260,
            max_fds: 4_100,
        };
        ports.iter().enumerate().map(|host| Host::start(&machine(host), &case.folder)).collect()
    };
    let mut hosts = start_hosts();
    if !wait_until(Duration::from_secs(20), || hosts.iter().all(Host::is_ready)) {
        record.line("the hosts are not ready");
        return Outcome::NotRun;
    }
    record.line(format!("{MACHINES} hosts ready; quota of {RATE} a second and a burst of {BURST}"));
    let (is_over, next) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (is_over, next, traffic) =
                (Arc::clone(&is_over), Arc::clone(&next), Arc::clone(&traffic));
            let host = ports[client % MACHINES].callers;
            std::thread::spawn(move || send(host, &next, &is_over, &traffic))
        })
        .collect();
    let started_at = Instant::now();
    std::thread::sleep(CALM_TIME);
    if case.has_trouble {
        hosts.iter().for_each(|host| host.signal("KILL"));
        record.line("all hosts killed");
        std::thread::sleep(DOWN_TIME);
        store.is_silent.store(true, Ordering::Relaxed);
        drop(std::mem::take(&mut hosts));
        hosts = start_hosts();
        record.line("all hosts started again, the store is silent");
        std::thread::sleep(SILENT_TIME);
        store.is_silent.store(false, Ordering::Relaxed);
        record.line("the store answers");
        let are_ready = wait_until(Duration::from_secs(10), || hosts.iter().all(Host::is_ready));
        record.line(format!("all hosts ready: {are_ready}"));
    }
    std::thread::sleep(CALM_TIME);
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let (sent, ran) = (traffic.sent.lock().unwrap(), traffic.ran.lock().unwrap());
    let mut runs: Vec<(Instant, Instant)> =
        ran.iter().filter_map(|(attempt, ran_at)| Some((*sent.get(attempt)?, *ran_at))).collect();
    runs.sort();
    let mut seconds = std::collections::BTreeMap::<u64, u32>::new();
    for (_, ran_at) in &runs {
        *seconds.entry((*ran_at - started_at).as_secs()).or_default() += 1;
    }
    for (second, count) in seconds {
        record.line(format!("second {second}: {count} requests ran"));
    }
    // Requests that were both sent and ran in a window.
    let count_from = |first: usize| {
        let end = runs[first].0 + WINDOW;
        let sent_within = runs[first..].iter().take_while(|(sent_at, _)| *sent_at <= end);
        sent_within.filter(|(_, ran_at)| *ran_at <= end).count()
    };
    let Some((count, first)) = (0..runs.len()).map(|first| (count_from(first), first)).max() else {
        return Outcome::NotRun;
    };
    let allowed = (RATE as f64 * WINDOW.as_secs_f64() + BURST as f64) * (1.0 + OVERAGE) + SLACK;
    let from = (runs[first].0 - started_at).as_secs_f64();
    record.line(format!(
        "{} of {} requests ran; most in 5 s: {count}, from {from:.2} s on; allowed {allowed:.0}",
        runs.len(),
        sent.len()
    ));
    match (runs.len() as u64 >= RATE * 5, count as f64 > allowed) {
        (false, _) => Outcome::NotRun,
        (true, true) => Outcome::Broken,
        (true, false) => Outcome::Held,
    }
}
