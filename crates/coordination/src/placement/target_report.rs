//! Health report of a target.

use std::time::Duration;
use std::time::Instant;

/// State that a target reported about itself when it was polled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetReport {
    /// Time at which the report was requested.
    pub requested_at: Instant,
    /// Whether the target says that it can serve requests.
    pub is_healthy: bool,
    /// Whether the target says that it is shutting down and wants no new requests.
    pub is_draining: bool,
    /// Requests in flight on the target, from all hosts.
    pub in_flight: u32,
    /// Requests that the target can run at the same time.
    pub slots: u32,
}

impl TargetReport {
    /// Requests in flight per slot; above 1 if the target is overloaded.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots.max(1))
    }

    /// Time since the report was requested; zero if that is after `now`.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.requested_at)
    }
}
