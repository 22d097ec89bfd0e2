//! Load of a target as reported by the target and as tracked by one host.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::FailureEstimate;
use crate::fleet::TargetLimit;
use crate::fleet::TargetPause;
use crate::fleet::WarmKeys;
use crate::fleet::WorkPace;
use crate::fleet::queue_limit::QueueLimit;
use crate::token_bucket::TokenBucket;

/// Time constant with which a report of other hosts' requests loses weight: most of them are done after two service
/// times.
const REPORT_DECAY_TIME: Duration = Duration::from_millis(800);
/// Weight of the latest report in the estimate of other hosts' requests.
const REPORT_WEIGHT: f64 = 0.5;
/// Weight of the latest measurement in the slowdown of a target.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Share by which each measurement pulls the slowdown back to 1, so that the slowdowns of all targets do not drift
/// together.
const SLOWDOWN_REVERSION: f64 = 0.02;
/// Lower and upper bound of a single slowdown measurement.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.25, 12.0);
/// Time for which a target counts as full after it shed a request.
const SHED_FULL_TIME: Duration = Duration::from_millis(150);

/// Time for which a target gets no requests after another one answered on its address. The platform removes the entry of a
/// target that is gone within five seconds.
const REPLACED_TIME: Duration = Duration::from_secs(10);

/// Load of a target over the requests of all hosts, as reported by the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetLoad {
    /// Requests that the target works on, the one with this report included.
    pub running: u32,
    /// Requests that wait in the target's queue.
    pub waiting: u32,
    /// Requests that the target can work on at the same time.
    pub slots: u32,
}

impl TargetLoad {
    /// Returns the requests of other hosts in the report, given this host's own `in_flight` requests.
    pub fn other_requests(&self, in_flight: u32) -> f64 {
        f64::from((self.running + self.waiting).saturating_sub(in_flight))
    }
}

/// Outcome of an attempt to run a request on a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The target answered completely.
    Answered {
        /// Time from the dispatch to the end of the answer.
        time: Duration,
    },
    /// The target failed the request, or its answer was lost.
    Failed,
    /// The target refused the request without running it.
    Shed,
    /// No connection could be opened.
    Unreachable,
    /// Another target answered on the address.
    Replaced,
    /// The caller left, or the deadline passed.
    Abandoned {
        /// Time from the dispatch until then.
        time: Duration,
    },
}

/// Load, failures and slowdown of one target, as tracked by one host.
#[derive(Clone, Debug)]
pub struct TargetTracker {
    /// Requests of this host that are in flight on the target.
    pub in_flight: u32,
    /// Whether this host ever sent the target a request.
    pub is_tried: bool,
    /// Objects that the target handled recently for this host.
    pub warm_keys: WarmKeys,
    /// Estimate of the probability that the next request fails, from this host's requests.
    pub failures: FailureEstimate,
    /// The same from the requests of all hosts. One failure of one host weighs little here, as it may be due to that host.
    pub fleet_failures: FailureEstimate,
    /// When another target answered on the target's address, so that this one is gone; `None` if none did.
    pub replaced_at: Option<Instant>,
    /// Service time as a multiple of the service's average; above 1 is slower.
    pub slowdown: f64,
    /// How long work takes on the target's machine at the moment. Kept apart from `slowdown`, which is the target's own.
    pub pace: WorkPace,
    /// End of the target's cold time; `None` if it was never cold.
    pub cold_until: Option<Instant>,
    /// Rate limit of this host's requests to the target while it is cold.
    pub cold_bucket: TokenBucket,
    /// Time until which the target counts as full because it shed a request; `None` if it never did.
    pub full_until: Option<Instant>,
    /// Requests from which the target turns further ones away.
    pub queue_limit: QueueLimit,
    /// Limit that the target stated over the requests of all hosts.
    pub limit: TargetLimit,
    /// Whether the target said that it leaves.
    pub is_leaving: bool,
    /// Time until which the target gets no requests because an older copy of the store brought it back; `None` if none did.
    pub held_until: Option<Instant>,
    /// Pauses that the target asked for.
    pub pause: TargetPause,
    other_requests: f64,
    reported_at: Option<Instant>,
}

impl TargetTracker {
    /// Creates the tracker of a target that this host has not used yet.
    pub fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            is_tried: false,
            warm_keys: WarmKeys::default(),
            failures: FailureEstimate::new(now),
            fleet_failures: FailureEstimate::new(now),
            replaced_at: None,
            slowdown: 1.0,
            pace: WorkPace::default(),
            cold_until: None,
            cold_bucket: TokenBucket::new(now),
            full_until: None,
            queue_limit: QueueLimit::default(),
            limit: TargetLimit::new(now),
            is_leaving: false,
            held_until: None,
            pause: TargetPause::default(),
            other_requests: 0.0,
            reported_at: None,
        }
    }

    /// Records a load report that includes `in_flight` requests of this host. `average` is the average number of other
    /// hosts' requests on such a target.
    pub fn record_load(&mut self, load: TargetLoad, in_flight: u32, average: f64, now: Instant) {
        let other_requests = load.other_requests(in_flight);
        let known = self.other_requests(average, now);
        self.other_requests = known + REPORT_WEIGHT * (other_requests - known);
        self.reported_at = Some(now);
        self.queue_limit.record_load(f64::from(load.running + load.waiting));
    }

    /// Estimates the requests of other hosts on the target. With the age of the last report the estimate moves from it
    /// to `average`, the number that is usual on such a target.
    pub fn other_requests(&self, average: f64, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else { return average };
        let age = now.saturating_duration_since(reported_at).as_secs_f64();
        average + (self.other_requests - average) * (-age / REPORT_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Estimates the requests of all hosts on the target, where `average` is the average number of other hosts'
    /// requests. A target that shed a request recently counts as having at least twice its slots.
    pub fn estimated_load(&self, slots: u32, average: f64, now: Instant) -> f64 {
        let known = f64::from(self.in_flight) + self.other_requests(average, now);
        match self.full_until {
            Some(until) if now < until => known.max(f64::from(slots) * 2.0),
            _ => known,
        }
    }

    /// Records that a request failed; with `is_unreachable` no connection could be opened.
    pub fn record_failure(&mut self, is_unreachable: bool, now: Instant) {
        self.fleet_failures.record_failure(now);
        match is_unreachable {
            true => self.failures.record_unreachable(now),
            false => self.failures.record_failure(now),
        }
    }

    /// Returns whether another target answered on the target's address within `REPLACED_TIME`.
    pub fn is_replaced(&self, now: Instant) -> bool {
        self.replaced_at.is_some_and(|at| now.saturating_duration_since(at) < REPLACED_TIME)
    }

    /// Records that the target answered a request.
    pub fn record_success(&mut self, now: Instant) {
        self.failures.record_success(now);
        self.fleet_failures.record_success(now);
    }

    /// Returns the expected service time as a multiple of the service's average.
    pub fn expected_slowdown(&self, now: Instant) -> f64 {
        self.slowdown * self.pace.expected(now)
    }

    /// Returns the probability that the next request fails, 0 to 1.
    pub fn failure_probability(&self, now: Instant) -> f64 {
        self.failures.probability(now).max(self.fleet_failures.probability(now))
    }

    /// Returns whether the target is within its cold time.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Updates the slowdown by a measured time and the time in seconds that was expected with the slowdown so far.
    pub fn record_time(&mut self, time: Duration, expected: f64) {
        let ratio = self.slowdown * time.as_secs_f64() / expected.max(f64::MIN_POSITIVE);
        let ratio = ratio.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.slowdown +=
            SLOWDOWN_WEIGHT * (ratio - self.slowdown) + SLOWDOWN_REVERSION * (1.0 - self.slowdown);
    }

    /// Marks the target as full for `SHED_FULL_TIME`.
    pub fn record_shed(&mut self, now: Instant) {
        self.full_until = Some(now + SHED_FULL_TIME);
    }

    /// Returns the largest number of requests that the target takes, infinite while none is known.
    pub fn places(&self, now: Instant) -> f64 {
        self.queue_limit.places(now).unwrap_or(f64::INFINITY)
    }
}
