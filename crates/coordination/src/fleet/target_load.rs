//! What a host knows of one target's load.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::FaultEstimate;
use crate::fleet::WarmKeys;
use crate::token_bucket::TokenBucket;

/// Time in which what a target reported of other hosts' requests loses its weight: most of them are done after two service
/// times.
const REPORT_MEMORY: Duration = Duration::from_millis(800);
/// Weight of the latest report.
const LATEST_REPORT: f64 = 0.5;
/// Weight of the latest measurement in the speed of a target.
const LATEST_SPEED: f64 = 0.15;
/// How far each measurement draws the speed back to the usual, so that the speeds of all targets do not drift together.
const USUAL_SPEED_PULL: f64 = 0.02;
/// Bounds of the speed of a target against the usual; a measurement beyond them is cut.
const SPEED_BOUNDS: (f64, f64) = (0.25, 12.0);
/// Time for which a target that shed a request counts as full.
const FULL_FOR: Duration = Duration::from_millis(150);

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
    pub fn others(&self, in_flight: u32) -> f64 {
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
pub struct TargetTrack {
    /// Requests of this host in flight.
    pub in_flight: u32,
    /// Whether this host ever sent it a request.
    pub is_tried: bool,
    /// Objects that it handled lately for this host.
    pub warm_keys: WarmKeys,
    /// Likelihood of a failure.
    pub faults: FaultEstimate,
    /// Service time against the usual of its service.
    pub speed: f64,
    /// End of its cold time.
    pub cold_until: Option<Instant>,
    /// Requests that this host may send while the target is cold.
    pub cold_pass: TokenBucket,
    /// Time until which it counts as full, as it shed a request.
    pub full_until: Option<Instant>,
    others: f64,
    reported_at: Option<Instant>,
}

impl TargetTrack {
    /// The track of a target that is new here.
    pub fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            is_tried: false,
            warm_keys: WarmKeys::default(),
            faults: FaultEstimate::new(now),
            speed: 1.0,
            cold_until: None,
            cold_pass: TokenBucket::new(now),
            full_until: None,
            others: 0.0,
            reported_at: None,
        }
    }

    /// Takes a report; `in_flight` is this host's part in it.
    pub fn reported(&mut self, load: TargetLoad, in_flight: u32, usual: f64, now: Instant) {
        let others = load.others(in_flight);
        let known = self.others(usual, now);
        self.others = known + LATEST_REPORT * (others - known);
        self.reported_at = Some(now);
    }

    /// Requests of other hosts there. What the target reported counts the less the older it is, and what is `usual` for
    /// such targets the more.
    pub fn others(&self, usual: f64, now: Instant) -> f64 {
        let Some(reported_at) = self.reported_at else { return usual };
        let age = now.saturating_duration_since(reported_at).as_secs_f64();
        usual + (self.others - usual) * (-age / REPORT_MEMORY.as_secs_f64()).exp()
    }

    /// Requests of all hosts there, where `usual` is what others usually have there.
    pub fn load(&self, slots: u32, usual: f64, now: Instant) -> f64 {
        let known = f64::from(self.in_flight) + self.others(usual, now);
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
    pub fn measured(&mut self, time: Duration, expected: f64) {
        let ratio = self.speed * time.as_secs_f64() / expected.max(f64::MIN_POSITIVE);
        let ratio = ratio.clamp(SPEED_BOUNDS.0, SPEED_BOUNDS.1);
        self.speed += LATEST_SPEED * (ratio - self.speed) + USUAL_SPEED_PULL * (1.0 - self.speed);
    }

    /// It shed a request.
    pub fn shed(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_FOR);
    }
}
