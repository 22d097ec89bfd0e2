//! A crowd of clients sends the larger part of a head that is legal in size, and stops.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Case;
use crate::Outcome;
use crate::parts::*;
use crate::server::Server;

/// Smallest machine of the sheet of jhoda-dispatch-grown: 112 MB, 2,870 descriptors.
const MEMORY_MB: u64 = 112;
const MAX_FDS: u64 = 2_870;
const CONNECTIONS: usize = 2_000;
/// Four parts of a head, just under the 16,384 bytes of `max_header_bytes`.
const PARTS: usize = 4;
const PART_BYTES: usize = 4_000;
const PAUSE: Duration = Duration::from_millis(600);

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
    let ports = Ports::free();
    let machine = Machine {
        name: "edge-asan-0".to_owned(),
        zone: "asan",
        region: "bagmati",
        ports,
        store: store.address,
        seeds: vec![ports.mesh],
        memory_mb: MEMORY_MB,
        max_fds: MAX_FDS,
    };
    let host = Host::start(&machine, &case.folder);
    if !wait_until(Duration::from_secs(20), || host.is_ready()) {
        record.line("the host is not ready");
        return Outcome::NotRun;
    }
    record.line(format!("host ready, resident {} MB of {MEMORY_MB}", host.resident_bytes() >> 20));
    let (largest, is_over, is_killed) =
        (AtomicU64::new(0), AtomicBool::new(false), AtomicBool::new(false));
    let mut connected = 0;
    std::thread::scope(|scope| {
        // The platform: a process that exceeds `memory_mb` is killed.
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                let bytes = host.resident_bytes();
                largest.fetch_max(bytes, Ordering::Relaxed);
                if bytes > MEMORY_MB << 20 && !is_killed.swap(true, Ordering::Relaxed) {
                    record.line(format!(
                        "resident {} MB, over the limit: the platform kills the host",
                        bytes >> 20
                    ));
                    host.signal("KILL");
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        let mut streams: Vec<TcpStream> = Vec::new();
        for _ in 0..CONNECTIONS {
            streams.extend(TcpStream::connect(ports.callers));
        }
        connected = streams.len();
        record
            .line(format!("{connected} connections, resident {} MB", host.resident_bytes() >> 20));
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
        record.line(format!(
            "the crowd has left; largest resident size {} MB",
            largest.load(Ordering::Relaxed) >> 20
        ));
        let ordinary = request_text("GET", "/levels/1", "ordinary", 5_000) + "\r\n";
        let answer = ask(ports.callers, &ordinary).map(|head| head.first_line);
        record.line(format!("an ordinary request afterwards: {answer:?}"));
        is_over.store(true, Ordering::Relaxed);
    });
    match (is_killed.load(Ordering::Relaxed), connected >= CONNECTIONS) {
        (true, _) => Outcome::Broken,
        (false, true) => Outcome::Held,
        (false, false) => Outcome::NotRun,
    }
}
