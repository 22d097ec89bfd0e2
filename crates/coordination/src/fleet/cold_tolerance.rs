//! How many requests each host may send to a target while it is cold.

/// Number of hosts that may send requests to the same cold target.
pub(super) const COLD_SENDERS: usize = 2;
/// Groups of `COLD_SENDERS` hosts that may each take themselves for the senders, as hosts that are cut off from others select
/// their own.
const SENDER_GROUPS: usize = 2;

/// Requests that a target may get beyond its rate while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Requests in any second, as a multiple of the target's rate.
    pub overage: f64,
    /// Further requests in any second.
    pub slack: f64,
}

impl ColdTolerance {
    /// Requests a second that one sender may add to a target with the given rate for cold targets. Each sender may send one
    /// request more at once; where the slack doesn't cover these, the rate does.
    pub(super) fn sender_rate(&self, rate: f64) -> f64 {
        let senders = (COLD_SENDERS * SENDER_GROUPS) as f64;
        let all_rate = rate * self.overage + (self.slack - senders).min(0.0);
        (all_rate / senders).clamp(0.0, rate / COLD_SENDERS as f64)
    }
}

impl Default for ColdTolerance {
    /// One and a half times the rate and five requests more.
    fn default() -> Self {
        Self { overage: 1.5, slack: 5.0 }
    }
}
