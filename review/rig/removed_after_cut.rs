//! Servers that leave without reporting that they drain, soon after the zone of the hosts was cut off from the store.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::send;
use crate::proxy::Proxy;
use crate::server::BodyReading;
use crate::server::Server;
use crate::server::ServerPlan;
use crate::Stage;

/// Length of the cut, as `fleetbench kinds` has it.
const CUT_TIME: Duration = Duration::from_secs(5);
/// Time from the end of the cut until the first entry is removed.
const LEAVE_DELAY: Duration = Duration::from_millis(1_500);
/// `drain_ms` and `stable_window_ms` of shrestha-gold.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Time for which the servers serve beyond `drain_ms`.
const STAY_TIME: Duration = Duration::from_millis(2_000);
const TIME_BUDGET: Duration = Duration::from_millis(2_000);
const CLIENTS: usize = 60;
/// Servers, and those that leave: a fifth, one after the other.
const SERVERS: u8 = 15;
const LEAVING: usize = 3;
const LEAVE_INTERVAL: Duration = Duration::from_millis(80);

pub fn play(stage: &Stage) -> bool {
    let link = Proxy::start(stage.network.store_link(), stage.network.store()).expect("the link does not start");
    let plan = ServerPlan { slots: 3, work: Duration::from_millis(80), answer_bytes: 400, reading: BodyReading::Fast };
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|number| {
            let id = format!("i-{number}");
            Server::start(&id, stage.network.server(number), plan.clone(), &stage.record).expect("a server does not start")
        })
        .collect();
    for server in &servers {
        stage.store.put("servers", &server.id, server.entry("records", "heredia-a", "ready", 1).as_bytes());
    }
    let hosts = stage.start_hosts_of_zone(2, stage.network.store_link());
    thread::sleep(Duration::from_secs(4));
    if stage.has_trouble {
        link.cut();
        stage.record.note("the zone of the hosts and servers is cut off from the store");
    }
    thread::sleep(CUT_TIME);
    link.heal();
    let in_touch_at = match stage.has_trouble {
        true => stage.record.now() + STABLE_WINDOW.as_secs_f64(),
        false => 0.0,
    };
    stage.record.note(format!("no cut from now; the hosts are in touch from {in_touch_at:.3} s on"));

    let is_over = AtomicBool::new(false);
    let late = thread::scope(|scope| {
        for client in 0..CLIENTS {
            let host = hosts[client % hosts.len()].callers;
            let is_over = &is_over;
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let attempt = format!("c{client}-{number}");
                    match send(host, "GET", "/archive/1", &attempt, TIME_BUDGET, b"") {
                        Ok(answer) => stage.record.note(format!("client gets {attempt}: status {}", answer.status)),
                        Err(error) => stage.record.note(format!("client gets {attempt}: {error}")),
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
        thread::sleep(LEAVE_DELAY);
        let mut left = Vec::new();
        for leaving in &servers[..LEAVING] {
            stage.store.remove("servers", &leaving.id);
            left.push((leaving, stage.record.now()));
            stage.record.note(format!("the store has acknowledged that the entry of server {} is gone", leaving.id));
            thread::sleep(LEAVE_INTERVAL);
        }
        thread::sleep(DRAIN_TIME + STAY_TIME);
        is_over.store(true, Ordering::Relaxed);
        let count_late = |(leaving, acknowledged_at): (&Arc<Server>, f64)| {
            let bound = (acknowledged_at + DRAIN_TIME.as_secs_f64()).max(in_touch_at);
            let late = leaving.runs().iter().filter(|run| run.at > bound).count();
            stage.record.note(format!("requests that reached server {} later than drain_ms after that: {late}", leaving.id));
            late
        };
        left.into_iter().map(count_late).sum::<usize>()
    });
    late == 0
}
