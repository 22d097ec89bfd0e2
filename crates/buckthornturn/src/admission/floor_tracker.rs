//! Background task that applies floor plans, detects pauses and drops requests that waited too long.

use std::sync::Arc;
use std::time::Duration;

use spdlog::info;

use crate::admission::gate_shared::GateShared;
use crate::admission::gate_shared::runtime_now;

/// Longest time between two updates; a new plan causes one at once.
const TRACK_INTERVAL: Duration = Duration::from_millis(100);

/// Applies new floor plans, opens settled floors, detects pauses and drops overdue requests from the queues.
pub(crate) async fn track_floors(shared: Arc<GateShared>) {
    let mut plans = shared.plans.subscribe();
    let mut was_paused = false;
    loop {
        let is_paused = update_floors(&shared);
        if is_paused != was_paused {
            info!("floor use paused or resumed", kv: { paused = is_paused });
            was_paused = is_paused;
        }
        let _ = tokio::time::timeout(TRACK_INTERVAL, plans.changed()).await;
    }
}

/// Runs one update. Returns whether floors are unused because the process was paused.
fn update_floors(shared: &GateShared) -> bool {
    let now = runtime_now();
    let members = shared.peers.members();
    let table = shared.plans.load();
    let state = shared.configuration.load();
    let mut core = shared.lock_core();
    let shrunk = core.apply_plans(&table, &members, &state, now);
    shared.plans.report_shrunk_epoch(shrunk);
    let services: Vec<_> = core.services.keys().cloned().collect();
    let mut expired = Vec::new();
    for service_state in core.services.values_mut() {
        expired.extend(service_state.queue.remove_expired(now));
    }
    let is_paused = core.pause.check(now);
    drop(core);
    drop(expired);
    shared.dispatch_waiting(services.iter().map(|service| &**service));
    is_paused
}
