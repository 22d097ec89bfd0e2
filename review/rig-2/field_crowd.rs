//! A crowd of clients sends requests ahead that are legal in size and made of very many short fields.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Case;
use crate::Outcome;
use crate::parts::*;
use crate::server::Server;

/// Machine of the sheets: 260 MB, 4,100 descriptors.
const MEMORY_MB: u64 = 260;
/// "On a tenth of the machines in use (two at least) processes end by themselves three times."
const MACHINES: usize = 2;
const ROUNDS: usize = 3;
const MAX_FDS: u64 = 4_100;
/// Services of `velorio-vivo`; each server has the slots and the queue of `memoriales` and `grabaciones`.
const SERVICES: [&str; 3] = ["memoriales", "reservas", "grabaciones"];
const SERVERS: usize = 12;
const SLOTS: usize = 6;
const QUEUE: usize = 18;
/// Time that a server works on a request, and the clients' time budget (`archivo-familiar` of the grown sheet).
const WORK: Duration = Duration::from_millis(3_760);
const BUDGET_MS: u64 = 20_000;
const CONNECTIONS: usize = 600;
const REQUESTS_AHEAD: usize = 8;
const FIELDS: usize = 500;
/// Pause between the requests that a client sends ahead.
const PAUSE: Duration = Duration::from_millis(300);

/// Fields of a request sent ahead: many short ones, or without the disruption a few of the same size together.
fn fields(are_short: bool) -> String {
    let short: String = (0..FIELDS)
        .map(|field| {
            let name = [b'a' + (field / 26) as u8, b'a' + (field % 26) as u8].map(char::from);
            format!("{}{}:\r\n", name[0], name[1])
        })
        .collect();
    match are_short {
        true => short,
        false => (0..5)
            .map(|field| format!("f{field}: {}\r\n", "x".repeat(short.len() / 5 - 6)))
            .collect(),
    }
}

pub fn run(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::start();
    let names: Vec<(String, String)> =
        SERVICES.iter().map(|name| (format!("r-{name}"), format!("/{name}/"))).collect();
    let routes: Vec<Route<'_>> = names
        .iter()
        .zip(SERVICES)
        .map(|((name, prefix), service)| Route {
            name,
            prefix,
            kind: "idempotent",
            service,
            timeout_ms: BUDGET_MS,
            max_attempts: 2,
        })
        .collect();
    store.put("config", "main", &config_text("00000001", &routes, 16_384));
    let begun = Arc::new(AtomicUsize::new(0));
    for service in SERVICES {
        for place in 0..SERVERS {
            let (begun, server) = (Arc::clone(&begun), Arc::new(Server::new(SLOTS, QUEUE)));
            let work = move |_: &Head| {
                begun.fetch_add(1, Ordering::Relaxed);
                WORK
            };
            let address = listen(move |stream| server.serve(stream, &work, true));
            let entry = server_entry(address, service, "asan", SLOTS as u32);
            store.put("servers", &format!("i-{service}-{place}"), &entry);
        }
    }
    let ports = [Ports::free(), Ports::free()];
    let mut hosts: Vec<Host> =
        (0..MACHINES).map(|number| start_host(case, &store, &ports, number)).collect();
    let mut ends = [0; MACHINES];
    for round in 0..ROUNDS {
        for number in 0..MACHINES {
            if !wait_until(Duration::from_secs(20), || hosts.iter().all(Host::is_ready)) {
                record.line("the hosts are not ready");
                return Outcome::NotRun;
            }
            record.line(format!(
                "crowd {round} at host {number}, resident {} MB of {MEMORY_MB}",
                hosts[number].resident_bytes() >> 20
            ));
            let crowd = || send_crowd(case, &hosts[number], ports[number], &begun);
            let ((), is_killed) = watch_memory(record, &hosts[number], MEMORY_MB, crowd);
            if is_killed {
                ends[number] += 1;
                hosts[number] = start_host(case, &store, &ports, number);
            }
        }
    }
    record.line(format!("ends over the limit by host: {ends:?}"));
    match (
        ends.iter().all(|count| *count >= ROUNDS),
        begun.load(Ordering::Relaxed) >= SERVERS * SLOTS,
    ) {
        (true, _) => Outcome::Broken,
        (false, true) => Outcome::Held,
        (false, false) => Outcome::NotRun,
    }
}

fn start_host(case: &Case, store: &Store, ports: &[Ports; MACHINES], number: usize) -> Host {
    let machine = Machine {
        name: format!("edge-asan-{number}"),
        zone: "asan",
        region: "bagmati",
        ports: ports[number],
        store: store.address,
        seeds: ports.iter().map(|ports| ports.mesh).collect(),
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
    };
    Host::start(&machine, &case.folder)
}

fn send_crowd(case: &Case, host: &Host, ports: Ports, begun: &AtomicUsize) {
    let record = &case.record;
    let mut streams = Vec::new();
    for number in 0..CONNECTIONS {
        let Ok(mut stream) = TcpStream::connect(ports.callers) else { continue };
        let path = format!("/{}/{number}", SERVICES[number % SERVICES.len()]);
        let text = request_text("GET", &path, &format!("c{number}"), BUDGET_MS) + "\r\n";
        let _ = stream.set_nodelay(true);
        if stream.write_all(text.as_bytes()).is_ok() {
            streams.push(stream);
        }
    }
    std::thread::sleep(PAUSE);
    record.line(format!(
        "sent {} ordinary requests, one a connection; servers have begun {}; resident {} MB",
        streams.len(),
        begun.load(Ordering::Relaxed),
        host.resident_bytes() >> 20
    ));
    let fields = fields(case.has_trouble);
    let mut size = 0;
    for ahead in 0..REQUESTS_AHEAD {
        let mut sent = 0;
        for (number, stream) in streams.iter_mut().enumerate() {
            let path = format!("/{}/{number}", SERVICES[number % SERVICES.len()]);
            let head = request_text("GET", &path, &format!("c{number}-{ahead}"), BUDGET_MS);
            let text = format!("{head}{fields}\r\n");
            size = text.len();
            let _ = stream.set_nonblocking(true);
            sent += usize::from(stream.write_all(text.as_bytes()).is_ok());
        }
        std::thread::sleep(PAUSE);
        record.line(format!(
            "sent request {} ahead on {sent} connections, {size} bytes each; resident {} MB",
            ahead + 1,
            host.resident_bytes() >> 20
        ));
    }
    drop(streams);
    record.line("the crowd has left");
}
