//! An entry of another writer that cannot be read, and a server that drains after it.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::send;
use crate::server::BodyReading;
use crate::server::Server;
use crate::server::ServerPlan;
use crate::Stage;

/// `drain_ms` of the deployment.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time for which the server serves beyond that.
const STAY_TIME: Duration = Duration::from_millis(1_500);
const TIME_BUDGET: Duration = Duration::from_millis(2_500);
const CLIENTS: usize = 6;

/// Entry of another writer: a label that was cut inside a character of two code units, as JSON text may hold it.
const UNREADABLE: &str = r#"{"address":"127.0.0.1:1","info":{"backend_service":"ledger","version":"v1 \ud83d","zone":"heredia-a","slots":3},"status":{"state":"ready","sequence":1,"cold_remaining_ms":0}}"#;
/// The same entry with the whole character, of a service that no route goes to.
const READABLE: &str = r#"{"address":"127.0.0.1:1","info":{"backend_service":"other","version":"v1 \ud83d\udd6f","zone":"heredia-a","slots":3},"status":{"state":"ready","sequence":1,"cold_remaining_ms":0}}"#;

pub fn play(stage: &Stage) -> bool {
    let plan = ServerPlan { slots: 16, work: Duration::from_millis(400), answer_bytes: 500, reading: BodyReading::Fast };
    let servers: Vec<Arc<Server>> = (0..4)
        .map(|number| {
            let id = format!("i-{number}");
            Server::start(&id, stage.network.server(number), plan.clone(), &stage.record).expect("a server does not start")
        })
        .collect();
    for server in &servers {
        stage.store.put("servers", &server.id, server.entry("ledger", "heredia-a", "ready", 1).as_bytes());
    }
    let hosts = stage.start_hosts(2);
    thread::sleep(Duration::from_secs(4));

    let is_over = AtomicBool::new(false);
    let lost = AtomicUsize::new(0);
    let late = thread::scope(|scope| {
        for client in 0..CLIENTS {
            let host = hosts[client % hosts.len()].callers;
            let (is_over, lost) = (&is_over, &lost);
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let attempt = format!("c{client}-{number}");
                    stage.record.note(format!("client sends {attempt}"));
                    let answer = send(host, "POST", "/orders/1", &attempt, TIME_BUDGET, b"one order");
                    let text = match &answer {
                        Ok(answer) if answer.is_success(&attempt) => "success".to_owned(),
                        Ok(answer) => {
                            lost.fetch_add(1, Ordering::Relaxed);
                            format!("status {} {}", answer.status, String::from_utf8_lossy(&answer.body))
                        }
                        Err(error) => {
                            lost.fetch_add(1, Ordering::Relaxed);
                            format!("no answer: {error}")
                        }
                    };
                    stage.record.note(format!("client gets {attempt}: {text}"));
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
        thread::sleep(Duration::from_secs(2));
        let entry = if stage.has_trouble { UNREADABLE } else { READABLE };
        stage.store.put("servers", "x-other", entry.as_bytes());
        stage.record.note("another writer has written the entry x-other");
        thread::sleep(Duration::from_secs(1));
        let leaving = &servers[0];
        stage.store.put("servers", &leaving.id, leaving.entry("ledger", "heredia-a", "draining", 2).as_bytes());
        let acknowledged_at = stage.record.now();
        stage.record.note(format!("the store has acknowledged that server {} drains", leaving.id));
        thread::sleep(DRAIN_TIME + STAY_TIME);
        leaving.end();
        stage.store.remove("servers", &leaving.id);
        thread::sleep(Duration::from_secs(1));
        is_over.store(true, Ordering::Relaxed);

        let bound = acknowledged_at + DRAIN_TIME.as_secs_f64();
        let late = leaving.runs().iter().filter(|run| run.at > bound).count();
        let cut = leaving.runs().iter().filter(|run| run.end == Some("the server ended")).count();
        stage.record.note(format!(
            "requests that reached server {} later than drain_ms after the ack: {late}; of them cut by its end: {cut}",
            leaving.id
        ));
        late
    });
    stage.record.note(format!("requests without success: {}", lost.load(Ordering::Relaxed)));
    drop(hosts);
    late == 0
}
