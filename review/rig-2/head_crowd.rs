//! A crowd of clients sends the larger part of a head that is legal in size, and stops.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::Case;
use crate::Outcome;
use crate::parts::*;
use crate::server::Server;

/// Smallest machine of the sheet of jhoda-dispatch-grown: 112 MB, 2,870 descriptors.
const MEMORY_MB: u64 = 112;
/// "On a tenth of the machines in use (two at least) processes end by themselves three times."
const MACHINES: usize = 2;
const ROUNDS: usize = 3;
const MAX_FDS: u64 = 2_870;
const CONNECTIONS: usize = 2_000;
/// Four parts of a head, just under the 16,384 bytes of `max_header_bytes`.
const PARTS: usize = 4;
const PART_BYTES: usize = 4_000;
const PAUSE: Duration = Duration::from_millis(400);

pub fn run(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::start();
    let route = Route {
        name: "r-levels",
        prefix: "/levels/",
        kind: "idempotent",
        service: "tank-levels",
        timeout_ms: 10_000,
        max_attempts: 2,
    };
    store.put("config", "main", &config_text("00000001", &[route], 16_384));
    for place in 0..4 {
        let server = Arc::new(Server::new(9, 27));
        let work = |_: &Head| Duration::from_millis(5);
        let address = listen(move |stream| server.serve(stream, work, true));
        store.put(
            "servers",
            &format!("i-{place}"),
            &server_entry(address, "tank-levels", "asan", 9),
        );
    }
    let ports = [Ports::free(), Ports::free()];
    let mut hosts: Vec<Host> =
        (0..MACHINES).map(|number| start_host(case, &store, &ports, number)).collect();
    let mut ends = [0; MACHINES];
    let mut fewest = CONNECTIONS;
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
            let crowd = || send_crowd(case, &hosts[number], ports[number]);
            let (connected, is_killed) = watch_memory(record, &hosts[number], MEMORY_MB, crowd);
            fewest = fewest.min(connected);
            if is_killed {
                ends[number] += 1;
                hosts[number] = start_host(case, &store, &ports, number);
            }
        }
    }
    record.line(format!("ends over the limit by host: {ends:?}"));
    match (ends.iter().all(|count| *count >= ROUNDS), fewest >= CONNECTIONS) {
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

fn send_crowd(case: &Case, host: &Host, ports: Ports) -> usize {
    let record = &case.record;
    let mut streams: Vec<TcpStream> = Vec::new();
    for _ in 0..CONNECTIONS {
        streams.extend(TcpStream::connect(ports.callers));
    }
    let connected = streams.len();
    record.line(format!("{connected} connections, resident {} MB", host.resident_bytes() >> 20));
    for part in 0..PARTS {
        let mut sent = 0;
        for (number, stream) in streams.iter_mut().enumerate() {
            let start = match part {
                0 => request_text("GET", "/levels/1", &format!("c{number}"), 5_000),
                _ => String::new(),
            };
            let field = format!("f{part}: {}\r\n", "x".repeat(PART_BYTES - start.len() - 6));
            // Without the disruption the head ends with its first part, and the request is served.
            let text = match (case.has_trouble, part) {
                (true, _) => start + &field,
                (false, 0) => start + &field + "\r\n",
                (false, _) => String::new(),
            };
            let _ = stream.set_nonblocking(true);
            sent += usize::from(stream.write_all(text.as_bytes()).is_ok());
        }
        std::thread::sleep(PAUSE);
        record.line(format!(
            "part {} of the head sent on {sent} connections, resident {} MB",
            part + 1,
            host.resident_bytes() >> 20
        ));
    }
    std::thread::sleep(Duration::from_secs(1));
    drop(streams);
    record.line("the crowd has left");
    connected
}
