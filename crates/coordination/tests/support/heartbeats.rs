//! Heartbeats for tests of the roster and of quotas.

use coordination::fleet::HostHeartbeat;
use coordination::fleet::HostPhase;
use indexmap::IndexMap;

/// Returns a heartbeat of a serving host in region r1 without demand.
pub fn heartbeat(host: &str, incarnation: u64, beat: u64) -> HostHeartbeat {
    HostHeartbeat {
        host: host.into(),
        incarnation,
        beat,
        phase: HostPhase::Serving,
        failure_domain: "d1".into(),
        region: "r1".into(),
        callers: ([127, 0, 0, 1], 1).into(),
        mesh: ([127, 0, 0, 1], 2).into(),
        capacity: 0.2,
        applied: [0; 3],
        eras: [0; 3],
        configuration_number: 0,
        reaches_store: true,
        follows_store: true,
        store_seen: None,
        reaches_targets: true,
        fleet: 1,
        demand: IndexMap::new(),
        spill: IndexMap::new(),
        loads: IndexMap::new(),
    }
}
