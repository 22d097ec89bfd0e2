//! What a host knows of one target's load.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::FailureEstimate;
use crate::fleet::WarmKeys;
use crate::token_bucket::TokenBucket;

/// Time in which what a target reported of other hosts' requests loses its weight: most of them are done after two service
/// times.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(800);
/// Weight of the latest report.
const REPORT_WEIGHT: f64 = 0.5;
/// Weight of the latest measurement in the speed of a target.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// How far each measurement draws the speed back to the usual, so that the speeds of all targets do not drift together.
const SLOWDOWN_REVERSION: f64 = 0.02;
/// Bounds of the speed of a target against the usual; a measurement beyond them is cut.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.25, 12.0);
/// Time for which a target that shed a request counts as full.
const SHED_FULL_TIME: Duration = Duration::from_millis(150);

/// Requests of all hosts on a target as it reported them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}

impl TargetLoad {
    /// Requests of other hosts among them, where this host has `in_flight`.
    pub fn other_requests(&self, in_flight: u32) -> f64 {
        f64::from((self.running + self.waiting).saturating_sub(in_flight))
    }
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// It answered whole, in the time given.
    Answered {
        /// Time from the dispatch to the end of the answer.
        time: Duration,
    },
    /// It failed the request or lost its answer.
    Failed,
    /// It shed the request without running it.
    Shed,
    /// No connection could be opened.
    Unreachable,
    /// Another target has the address now.
    Replaced,
    /// The caller left, or the deadline passed.
    Abandoned {
        /// Time from the dispatch until then.
        time: Duration,
    },
}

/// What a host knows of one target's load.
#[derive(Clone, Debug)]
pub struct TargetTracker {
    /// Requests of this host in flight.
    pub in_flight: u32,
    /// Whether this host ever sent it a request.
    pub is_tried: bool,
    /// Objects that it handled lately for this host.
    pub warm_keys: WarmKeys,
    /// Likelihood of a failure.
    pub failures: FailureEstimate,
    /// Service time against the usual of its service.
    pub slowdown: f64,
    /// End of its cold time.
    pub cold_until: Option<Instant>,
    /// Requests that this host may send while the target is cold.
    pub cold_bucket: TokenBucket,
    /// Time until which it counts as full, as it shed a request.
    pub full_until: Option<Instant>,
    other_requests: f64,
    reported_at: Option<Instant>,
}

impl TargetTracker {
    /// The track of a target that is new here.
    pub fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            is_tried: false,
            warm_keys: WarmKeys::default(),
            failures: FailureEstimate::new(now),
            slowdown: 1.0,
            cold_until: None,
            cold_bucket: TokenBucket::new(now),
            full_until: None,
            other_requests: 0.0,
            reported_at: None,
        }
    }

    /// Takes a report; `in_flight` is this host's part in it.
    pub fn record_load(&mut self, load: TargetLoad, in_flight: u32, average: f64, now: Instant) {
        let other_requests = load.other_requests(in_flight);
        let known = self.other_requests(average, now);
        self.other_requests = known + REPORT_WEIGHT * (other_requests - known);
        self.reported_at = Some(now);
    }

    /// Requests of other hosts there. What the target reported counts the less the older it is, and what is `average` for
    /// such targets the more.
    pub fn other_requests(&self, average: f64, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else { return average };
        let age = now.saturating_duration_since(reported_at).as_secs_f64();
        average + (self.other_requests - average) * (-age / REPORT_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Requests of all hosts there, where `average` is what others usually have there.
    pub fn estimated_load(&self, slots: u32, average: f64, now: Instant) -> f64 {
        let known = f64::from(self.in_flight) + self.other_requests(average, now);
        match self.full_until {
            Some(until) if now < until => known.max(f64::from(slots) * 2.0),
            _ => known,
        }
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Takes note of a measured time against the one that was expected at the speed known so far.
    pub fn record_time(&mut self, time: Duration, expected: f64) {
        let ratio = self.slowdown * time.as_secs_f64() / expected.max(f64::MIN_POSITIVE);
        let ratio = ratio.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.slowdown +=
            SLOWDOWN_WEIGHT * (ratio - self.slowdown) + SLOWDOWN_REVERSION * (1.0 - self.slowdown);
    }

    /// It shed a request.
    pub fn record_shed(&mut self, now: Instant) {
        self.full_until = Some(now + SHED_FULL_TIME);
    }
}
