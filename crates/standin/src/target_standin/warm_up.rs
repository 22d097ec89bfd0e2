//! Duration of requests while a target warms up after its start.

use std::time::Duration;

use crate::target_standin::TargetBehaviour;

/// Duration of a request by the requests executed and the time since the target's start. The factor falls linearly
/// from `cold_factor` to 1.
pub fn work_time(behaviour: &TargetBehaviour, requests_done: u64, uptime: Duration) -> Duration {
    let progress = |done: f64, needed: u64| match needed {
        0 => 1.0,
        _ => (done / needed as f64).min(1.0),
    };
    let by_requests = progress(requests_done as f64, behaviour.cold_requests);
    let by_time = progress(uptime.as_secs_f64(), behaviour.cold_seconds);
    let remaining = 1.0 - by_requests.min(by_time);
    let factor = 1.0 + (behaviour.cold_factor.max(1.0) - 1.0) * remaining;
    behaviour.work_duration().mul_f64(factor)
}
