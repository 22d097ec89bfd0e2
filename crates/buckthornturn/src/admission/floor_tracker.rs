//! Follows floor plans and the clock, and removes requests that waited too long.

use std::sync::Arc;
use std::time::Duration;

use spdlog::info;

use crate::admission::gate_shared::GateShared;
use crate::admission::gate_shared::clock;

const TICK: Duration = Duration::from_millis(100);

/// Follows floor plans and the clock.
pub(crate) async fn track_floors(shared: Arc<GateShared>) {
    let mut plans = shared.plans.subscribe();
    let mut was_paused = false;
    loop {
        let is_paused = tick(&shared);
        if is_paused != was_paused {
            info!("use of floors", kv: { paused = is_paused });
            was_paused = is_paused;
        }
        let _ = tokio::time::timeout(TICK, plans.changed()).await;
    }
}

fn tick(shared: &GateShared) -> bool {
    let now = clock();
    let members = shared.peers.members();
    let table = shared.plans.load();
    let state = shared.cell.load();
    let mut core = shared.lock();
    let shrunk = core.follow_plans(&table, &members, &state, now);
    shared.plans.report_shrunk(shrunk);
    let services: Vec<_> = core.services.keys().cloned().collect();
    let mut expired = Vec::new();
    for line in core.services.values_mut() {
        expired.extend(line.queue.remove_expired(now));
    }
    let is_paused = core.pause.check(now);
    drop(core);
    drop(expired);
    shared.dispatch(services.iter().map(|service| &**service));
    is_paused
}
