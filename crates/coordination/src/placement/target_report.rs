//! Target report.

use std::time::Duration;
use std::time::Instant;

/// What a target said about itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetReport {
    /// When it was asked.
    pub requested_at: Instant,
    /// Whether it says that it can serve.
    pub is_healthy: bool,
    /// Whether it says that it is leaving.
    pub is_draining: bool,
    /// Requests in flight there, of all hosts.
    pub in_flight: u32,
    /// Slots there.
    pub slots: u32,
}

impl TargetReport {
    /// In-flight requests per slot.
    pub fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots.max(1))
    }

    /// Age at a time.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.requested_at)
    }
}
