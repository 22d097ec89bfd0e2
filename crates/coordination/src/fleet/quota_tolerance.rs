//! What customers' limits allow beyond their figures, as hosts admit requests without asking all others, and how hosts use it.

use std::time::Duration;

/// Largest part of the hosts that stands in one failure domain.
const MAX_DOMAIN_PART: f64 = 1.0 / 6.0;
/// Share of the slack that pools hold. The rest is for tokens that were granted before a window and are spent in it.
const POOL_SHARE: f64 = 0.75;

/// Requests of a customer that may run beyond its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// Span over which requests are counted against the limit.
    pub window: Duration,
    /// Requests beyond the limit in any window, as a share of it, 0 to 1.
    pub overage: f64,
    /// Further requests beyond the limit in any window.
    pub slack: f64,
}

impl QuotaTolerance {
    /// Tokens that the pools of all regions together may hold beyond a customer's burst, so that a small burst can be split.
    pub(super) fn spare_tokens(&self) -> f64 {
        self.slack * POOL_SHARE
    }

    /// Share of the limit, 0 to 1, that is split evenly over all hosts as a reserve for when no keeper answers. A failure domain
    /// that is cut off then admits no more than the overage.
    pub(super) fn reserve_share(&self) -> f64 {
        (self.overage / MAX_DOMAIN_PART).min(1.0)
    }

    /// Time's worth of tokens that a new keeper starts with. The keeper before it granted none for at least as long if it failed;
    /// if it did not, the extra tokens are the overage of a window.
    pub(super) fn initial_pool_time(&self) -> Duration {
        self.window.mul_f64(self.overage)
    }

    /// Time for which a former keeper gets no initial tokens again, so that two hosts that alternate as keeper bring them once
    /// in any window.
    pub(super) fn former_keeper_time(&self) -> Duration {
        self.window.saturating_mul(2)
    }
}

impl Default for QuotaTolerance {
    /// A tenth of the limit and 20 requests more in five seconds.
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 }
    }
}
