//! How likely a target is to fail the next request.

use std::time::Duration;
use std::time::Instant;

/// Time in which half of an estimate is forgotten, so that a target that recovered is tried again within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of the latest failure.
const FAILURE_WEIGHT: f64 = 0.35;
/// Part of the estimate that stays after a success.
const SUCCESS_KEEPS: f64 = 0.75;
/// Estimate after a connection that could not be opened.
const UNREACHABLE: f64 = 0.95;

/// How likely a target is to fail the next request, 0 to 1; forgotten with time.
#[derive(Clone, Copy, Debug)]
pub struct FaultEstimate {
    share: f64,
    at: Instant,
}

impl FaultEstimate {
    /// An estimate of a target that has not failed.
    pub fn new(now: Instant) -> Self {
        Self { share: 0.0, at: now }
    }

    /// Estimate now.
    pub fn share(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.share * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// A request succeeded.
    pub fn succeeded(&mut self, now: Instant) {
        *self = Self { share: self.share(now) * SUCCESS_KEEPS, at: now };
    }

    /// A request failed.
    pub fn failed(&mut self, now: Instant) {
        let share = self.share(now);
        *self = Self { share: share + (1.0 - share) * FAILURE_WEIGHT, at: now };
    }

    /// No connection could be opened.
    pub fn unreachable(&mut self, now: Instant) {
        *self = Self { share: UNREACHABLE, at: now };
    }
}
