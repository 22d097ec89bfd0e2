//! All hosts are killed and start again between two batches of requests.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Outcome;
use crate::parts::*;
use crate::server::Server;

/// `receipt-history` and `kagaz` of the sheet of shrestha-gold: 1,440 ms of work with a spread of 15 in 100, 8,000 ms time budget, one
/// retry, 12 servers of 4 slots.
const WORK_MS: u64 = 1_440;
const BUDGET: Duration = Duration::from_millis(8_000);
const RETRIES: usize = 1;
const SERVERS: usize = 12;
const SLOTS: usize = 4;
const QUEUE: usize = 12;
const MACHINES: usize = 2;
/// Clients that ask at the same moment, of the sheet's 180, and the time between two batches: 13 requests a second on average, where
/// the sheet has 38.2.
const BATCH: u64 = 160;
const PERIOD: Duration = Duration::from_secs(12);
/// Single requests, one a second to each host, with which the traffic begins.
const FIRST_REQUESTS: u32 = 6;
const BATCHES: u32 = 6;
/// Batches before the fault.
const CALM_BATCHES: u32 = 2;
/// Time from a batch to the kill; its last answer comes after 5 s.
const KILL_DELAY: Duration = Duration::from_millis(7_500);
/// `down_s` of a final fault (`kill_all`, `down_s` = 1.3 in the site file).
const DOWN_TIME: Duration = Duration::from_millis(1_300);
/// `recovery_s`.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Last status that a client got for a request, 0 without an answer.
struct End {
    sent_at: Instant,
    status: u16,
}

struct Client {
    hosts: Vec<SocketAddr>,
    attempts: AtomicU64,
    ends: Mutex<Vec<End>>,
}

impl Client {
    /// Sends a request, and once more on a new connection if it fails, after `Retry-After` up to one third of the time left.
    fn request(&self, number: u64) {
        let sent_at = Instant::now();
        let end = sent_at + BUDGET;
        let mut status = 0;
        for attempt in 0..=RETRIES {
            let host = self.hosts[(number as usize + attempt) % self.hosts.len()];
            let left = end.saturating_duration_since(Instant::now());
            let head = self.try_once(host, number, left);
            status = head.as_ref().map_or(0, Head::status);
            if status == 200 {
                break;
            }
            let told = head.as_ref().and_then(|head| head.header("retry-after")?.parse().ok());
            let left = end.saturating_duration_since(Instant::now());
            std::thread::sleep(Duration::from_secs_f64(told.unwrap_or(0.0)).min(left / 3));
        }
        self.ends.lock().unwrap().push(End { sent_at, status });
    }

    fn try_once(&self, host: SocketAddr, number: u64, left: Duration) -> Option<Head> {
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let (path, id) = (format!("/receipts/{number}"), format!("{attempt:016x}"));
        let text = request_text("GET", &path, &id, left.as_millis() as u64) + "\r\n";
        let mut stream = TcpStream::connect_timeout(&host, Duration::from_secs(1)).ok()?;
        stream.write_all(text.as_bytes()).ok()?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        Reader::new(stream).read_answer().ok().map(|(head, _)| head)
    }
}

fn start_servers(store: &Store) -> Arc<AtomicUsize> {
    let begun = Arc::new(AtomicUsize::new(0));
    for place in 0..SERVERS {
        let (begun, server) = (Arc::clone(&begun), Arc::new(Server::new(SLOTS, QUEUE)));
        let work = move |_: &Head| {
            let number = begun.fetch_add(1, Ordering::Relaxed) as u64;
            Duration::from_millis(WORK_MS * (85 + number * 11 % 31) / 100)
        };
        let address = listen(move |stream| server.serve(stream, &work, true));
        let entry = server_entry(address, "kagaz", "asan", SLOTS as u32);
        store.put("servers", &format!("i-{place}"), &entry);
    }
    begun
}

pub fn run(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::start();
    let route = Route {
        name: "r-receipts",
        prefix: "/receipts/",
        kind: "idempotent",
        service: "kagaz",
        timeout_ms: BUDGET.as_millis() as u64,
        max_attempts: 2,
    };
    store.put("config", "main", &config_text("00000001", &[route], 16_384));
    let begun = start_servers(&store);
    let ports: Vec<Ports> = (0..MACHINES).map(|_| Ports::free()).collect();
    let seeds: Vec<_> = ports.iter().map(|ports| ports.mesh).collect();
    let start_hosts = || -> Vec<Host> {
        let machine = |(number, ports): (usize, &Ports)| Machine {
            name: format!("edge-asan-{number}"),
            zone: "asan",
            region: "bagmati",
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
    record.line(format!("{MACHINES} hosts ready"));
    let hosts_of_clients = ports.iter().map(|ports| ports.callers).collect();
    let client = Arc::new(Client {
        hosts: hosts_of_clients,
        attempts: AtomicU64::new(1),
        ends: Mutex::default(),
    });
    let send = |count: u64| {
        for number in 0..count {
            let client = Arc::clone(&client);
            let send = move || client.request(number);
            let _ = std::thread::Builder::new().stack_size(128 << 10).spawn(send);
        }
    };
    for _ in 0..FIRST_REQUESTS {
        send(MACHINES as u64);
        std::thread::sleep(Duration::from_secs(1));
    }
    std::thread::sleep(Duration::from_secs(2));
    let batches_at = Instant::now();
    let (mut fault_at, mut back_at) =
        (batches_at + PERIOD * CALM_BATCHES, batches_at + PERIOD * CALM_BATCHES);
    for batch in 0..BATCHES {
        std::thread::sleep((batches_at + PERIOD * batch).saturating_duration_since(Instant::now()));
        record.line(format!(
            "batch {batch}: {BATCH} requests; servers have begun {}",
            begun.load(Ordering::Relaxed)
        ));
        send(BATCH);
        if case.has_trouble && batch + 1 == CALM_BATCHES {
            std::thread::sleep(KILL_DELAY);
            fault_at = Instant::now();
            hosts.iter().for_each(|host| host.signal("KILL"));
            record.line("all hosts killed");
            std::thread::sleep(DOWN_TIME);
            drop(std::mem::take(&mut hosts));
            hosts = start_hosts();
            back_at = Instant::now();
            let is_ready = wait_until(Duration::from_secs(10), || hosts.iter().all(Host::is_ready));
            record.line(format!("all hosts started again, ready: {is_ready}"));
        }
    }
    std::thread::sleep(BUDGET + Duration::from_secs(1));
    record.line(format!("servers began {} requests in all", begun.load(Ordering::Relaxed)));
    let ready = hosts.iter().filter(|host| host.is_ready()).count();
    record.line(format!("{ready} of {MACHINES} hosts say that they are ready"));
    let ends = client.ends.lock().unwrap();
    let mut batches = BTreeMap::<u64, BTreeMap<u16, u32>>::new();
    for end in ends.iter().filter(|end| end.sent_at >= batches_at) {
        let batch = (end.sent_at - batches_at).as_secs() / PERIOD.as_secs();
        *batches.entry(batch).or_default().entry(end.status).or_default() += 1;
    }
    for (batch, statuses) in batches {
        record.line(format!("batch {batch}: last statuses {statuses:?}"));
    }
    let share = |ends: Vec<&End>| {
        let served = ends.iter().filter(|end| end.status == 200).count();
        served as f64 / ends.len().max(1) as f64
    };
    let before = share(ends.iter().filter(|end| end.sent_at < fault_at).collect());
    let after = share(ends.iter().filter(|end| end.sent_at > back_at + RECOVERY_TIME).collect());
    record.line(format!(
        "served before the fault {before:.2}, later than 15 s after the return {after:.2}"
    ));
    match (before >= 0.25, after < 0.25) {
        (false, _) => Outcome::NotRun,
        (true, true) => Outcome::Broken,
        (true, false) => Outcome::Held,
    }
}
