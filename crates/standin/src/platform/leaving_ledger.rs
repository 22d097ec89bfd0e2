//! What a target that leaves counts: requests of hosts that it told so.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Requests that a target received, by sender, and the senders that it told that it leaves.
#[derive(Clone, Debug, Default)]
pub struct LeavingLedger {
    told_at: IndexMap<Box<str>, Instant>,
    arrivals: Vec<(Instant, Box<str>)>,
}

/// Requests that came after a target had told hosts that it leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LateRequests {
    /// Requests of hosts that were told earlier than the drain time before.
    pub requests: usize,
    /// Number of hosts that were told.
    pub checks: usize,
    /// Time of the last request of any host, since the first host was told.
    pub last: Duration,
}

impl LeavingLedger {
    /// Records a request of a host.
    pub fn record_arrival(&mut self, sender: &str, now: Instant) {
        self.arrivals.push((now, sender.into()));
    }

    /// Records that a host got an answer that says that the target leaves.
    pub fn record_answer(&mut self, sender: &str, now: Instant) {
        self.told_at.entry(sender.into()).or_insert(now);
    }

    /// Returns the requests of hosts that came later than `drain_time` after they were told.
    pub fn late_requests(&self, drain_time: Duration) -> LateRequests {
        let is_late = |(at, sender): &&(Instant, Box<str>)| {
            self.told_at.get(sender).is_some_and(|told_at| *at > *told_at + drain_time)
        };
        let first = self.told_at.values().min().copied();
        let last = self.arrivals.iter().map(|(at, _)| *at).max();
        let since = last.zip(first).map(|(last, first)| last.saturating_duration_since(first));
        LateRequests {
            requests: self.arrivals.iter().filter(is_late).count(),
            checks: self.told_at.len(),
            last: since.unwrap_or_default(),
        }
    }
}
