//! What a target with a stated limit counts: requests by the hosts that it told, in a sliding window.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Length of the sliding window, and its tolerance: one and a half times what the limit allows, and five requests more.
const WINDOW: Duration = Duration::from_secs(4);
const TOLERANCE_FACTOR: f64 = 1.5;
const TOLERANCE_REQUESTS: f64 = 5.0;
/// Time after the first answer that tells a host of the limit from which its requests count.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Requests that a target received, by sender, and the senders that it told of its limit.
#[derive(Clone, Debug, Default)]
pub struct LimitLedger {
    named_at: Option<Instant>,
    told_at: IndexMap<Box<str>, Instant>,
    arrivals: Vec<(Instant, Box<str>)>,
}

/// The busiest window of a target with a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitWindow {
    /// Requests of hosts that knew of the limit.
    pub requests: usize,
    /// Most requests that the rule allows.
    pub allowed: f64,
    /// Number of windows that were checked.
    pub checks: usize,
}

impl LimitLedger {
    /// Forgets everything, and starts with a limit that is named from `now` on.
    pub fn start(&mut self, now: Instant) {
        *self = Self { named_at: Some(now), ..Self::default() };
    }

    /// Records a request of a host.
    pub fn record_arrival(&mut self, sender: &str, now: Instant) {
        self.arrivals.push((now, sender.into()));
    }

    /// Records that a host got an answer that states the limit.
    pub fn record_answer(&mut self, sender: &str, now: Instant) {
        self.told_at.entry(sender.into()).or_insert(now);
    }

    /// Returns the busiest window that lies later than `settle_time` after the limit was first named. `per_second` is the
    /// limit.
    pub fn busiest_window(&self, per_second: f64, settle_time: Duration) -> LimitWindow {
        let start = self.named_at.map(|at| at + settle_time);
        let counts = |(at, sender): &&(Instant, Box<str>)| {
            let told_at = self.told_at.get(sender);
            start.is_some_and(|start| *at >= start)
                && told_at.is_some_and(|told_at| *at >= *told_at + NOTICE_TIME)
        };
        let counted: Vec<Instant> =
            self.arrivals.iter().filter(counts).map(|(at, _)| *at).collect();
        let in_window = |end: Instant| {
            let window = counted.iter().filter(|at| **at <= end && end - **at < WINDOW);
            window.count()
        };
        let requests = counted.iter().map(|end| in_window(*end)).max().unwrap_or(0);
        let allowed = per_second * WINDOW.as_secs_f64() * TOLERANCE_FACTOR + TOLERANCE_REQUESTS;
        LimitWindow { requests, allowed, checks: counted.len() }
    }
}
