//! A tenant sends many times its usual, and all machines are killed and start again while the store is silent.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::Deployment;
use crate::deployment::Quota;
use crate::deployment::request_head;
use crate::host::Host;
use crate::http::Head;
use crate::record::Record;
use crate::server::Next;
use crate::server::Work;

const MACHINES: usize = 10;
const QUOTA: Quota = Quota { rate_per_s: 400, burst: 125 };
/// `quota_window_s`, `quota_overage` and `quota_slack` of the sheet.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Requests of a client in a second. The usual traffic of a tenant is its quota divided by `quota_x`.
const CLIENT_RATE: usize = 10;
const USUAL_CLIENTS: usize = 25;
/// `hot_tenant`: `x` 7.5 for 6.5 s.
const HOT_CLIENTS: usize = USUAL_CLIENTS * 15 / 2;
const HOT_TIME: Duration = Duration::from_millis(6_500);
/// `herd_kill`: all machines for 1 s; `platform_down`: silent for 4.2 s, 4.5 at most.
const DOWN_TIME: Duration = Duration::from_secs(1);
const SILENT_TIME: Duration = Duration::from_millis(4_200);
/// Time before the hot time that is left of the silence.
const LEAD_TIME: Duration = Duration::from_millis(500);
const CALM_TIME: Duration = Duration::from_secs(8);
const WORK_TIME: Duration = Duration::from_millis(5);
const TIME_BUDGET_MS: u32 = 2_000;

/// When requests were sent, and when servers ran them, by attempt.
#[derive(Default)]
struct Traffic {
    sent: Mutex<HashMap<String, Instant>>,
    ran: Mutex<HashMap<String, Instant>>,
}

pub fn play(record: &Record, files: &Path, has_trouble: bool) -> Result<bool, String> {
    let traffic = Arc::<Traffic>::default();
    let seen = Arc::clone(&traffic);
    let work: Work = Arc::new(move |server, head, input, output| {
        let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
        if head.path().starts_with("/pagina/") {
            seen.ran.lock().unwrap().insert(id, Instant::now());
        }
        std::thread::sleep(WORK_TIME);
        match head.read_body(input) {
            Ok(_) => server.answer(output, head, "200 OK", "", b"memorial"),
            Err(_) => Next::Close,
        }
    });
    let mut deployment = Deployment::start_large(files, MACHINES, QUOTA, &work)?;
    std::thread::sleep(Duration::from_secs(4));
    let hosts: Vec<_> = deployment.hosts.iter().map(Host::callers).collect();
    let (active, is_over) = (AtomicUsize::new(USUAL_CLIENTS), AtomicBool::new(false));
    let started_at = Instant::now();
    let result = std::thread::scope(|scope| {
        for client in 0..HOT_CLIENTS {
            let host = hosts[client % hosts.len()];
            let (active, is_over, traffic) = (&active, &is_over, &traffic);
            let is_active = move || client < active.load(Ordering::SeqCst);
            scope.spawn(move || send(host, &is_active, is_over, traffic));
        }
        let result = disturb(record, &mut deployment, &active, has_trouble);
        is_over.store(true, Ordering::SeqCst);
        result
    });
    result?;
    let (sent, ran) = (traffic.sent.lock().unwrap(), traffic.ran.lock().unwrap());
    Ok(judge(record, started_at, &sent, &ran))
}

fn disturb(
    record: &Record,
    deployment: &mut Deployment,
    active: &AtomicUsize,
    has_trouble: bool,
) -> Result<(), String> {
    std::thread::sleep(CALM_TIME);
    if has_trouble {
        deployment.hosts.iter_mut().for_each(Host::kill);
        record.tell("all machines killed");
        std::thread::sleep(DOWN_TIME);
        deployment.store.is_silent.store(true, Ordering::SeqCst);
        let silent_until = Instant::now() + SILENT_TIME;
        deployment.hosts.iter_mut().try_for_each(Host::spawn)?;
        record.tell("all machines started again, the store is silent");
        std::thread::sleep((silent_until - LEAD_TIME).saturating_duration_since(Instant::now()));
        active.store(HOT_CLIENTS, Ordering::SeqCst);
        record.tell("the tenant sends 7.5 times its usual");
        std::thread::sleep(silent_until.saturating_duration_since(Instant::now()));
        deployment.store.is_silent.store(false, Ordering::SeqCst);
        record.tell("the store answers");
        std::thread::sleep(HOT_TIME - LEAD_TIME);
    } else {
        std::thread::sleep(DOWN_TIME + SILENT_TIME - LEAD_TIME);
        active.store(HOT_CLIENTS, Ordering::SeqCst);
        record.tell("the tenant sends 7.5 times its usual");
        std::thread::sleep(HOT_TIME);
    }
    active.store(USUAL_CLIENTS, Ordering::SeqCst);
    record.tell("the tenant sends its usual again");
    std::thread::sleep(CALM_TIME);
    Ok(())
}

/// Sends requests at the pace of a client while it is active.
fn send(
    host: std::net::SocketAddr,
    is_active: &dyn Fn() -> bool,
    is_over: &AtomicBool,
    traffic: &Traffic,
) {
    let pause = Duration::from_secs(1) / CLIENT_RATE as u32;
    let mut kept = None;
    while !is_over.load(Ordering::SeqCst) {
        if !is_active() {
            std::thread::sleep(Duration::from_millis(10));
            continue;
        }
        let began_at = Instant::now();
        let connection = kept.take().or_else(|| {
            let stream =
                std::net::TcpStream::connect_timeout(&host, Duration::from_secs(1)).ok()?;
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
            Some(BufReader::new(stream))
        });
        if let Some(mut connection) = connection {
            let (id, head) = request_head("GET", "/pagina/memorial", TIME_BUDGET_MS);
            traffic.sent.lock().unwrap().insert(id, Instant::now());
            let written = connection.get_mut().write_all(format!("{head}\r\n").as_bytes());
            if let (Ok(()), Ok(Some(answer))) = (written, Head::read(&mut connection)) {
                let mut body = Vec::new();
                let length = answer.length() as u64;
                let is_whole = connection.by_ref().take(length).read_to_end(&mut body).is_ok();
                let is_closing = answer.get("connection") == Some("close");
                kept = (is_whole && !is_closing).then_some(connection);
            }
        }
        std::thread::sleep(pause.saturating_sub(began_at.elapsed()));
    }
}

/// Counts the requests that were both sent and ran within a window.
fn judge(
    record: &Record,
    started_at: Instant,
    sent: &HashMap<String, Instant>,
    ran: &HashMap<String, Instant>,
) -> bool {
    let mut runs: Vec<(Instant, Instant)> =
        ran.iter().filter_map(|(id, ran_at)| Some((*sent.get(id)?, *ran_at))).collect();
    runs.sort();
    let mut seconds = std::collections::BTreeMap::<u64, (u32, u32)>::new();
    for sent_at in sent.values() {
        seconds.entry((*sent_at - started_at).as_secs()).or_default().0 += 1;
    }
    for (_, ran_at) in &runs {
        seconds.entry((*ran_at - started_at).as_secs()).or_default().1 += 1;
    }
    for (second, (sent, ran)) in seconds {
        record.write(format!("second {second}: {sent} requests sent, {ran} ran"));
    }
    let count_from = |first: usize| {
        let end = runs[first].0 + WINDOW;
        let within = runs[first..].iter().take_while(|(sent_at, _)| *sent_at <= end);
        within.filter(|(_, ran_at)| *ran_at <= end).count()
    };
    let (count, first) =
        (0..runs.len()).map(|first| (count_from(first), first)).max().unwrap_or_default();
    let Quota { rate_per_s, burst } = QUOTA;
    let allowed =
        (rate_per_s as f64 * WINDOW.as_secs_f64() + burst as f64) * (1.0 + OVERAGE) + SLACK;
    let from = runs.get(first).map_or(0.0, |(sent_at, _)| (*sent_at - started_at).as_secs_f64());
    record.tell(format!(
        "{} of {} requests ran; most that were sent and ran within {WINDOW:?}: {count}, from second {from:.2} on; \
         allowed {allowed:.0}",
        runs.len(),
        sent.len()
    ));
    count as f64 <= allowed
}
