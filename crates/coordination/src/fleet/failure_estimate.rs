//! How likely a target is to fail the next request.

use std::time::Duration;
use std::time::Instant;

/// Time in which half of an estimate is forgotten, so that a target that recovered is tried again within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of the latest failure.
const FAILURE_WEIGHT: f64 = 0.35;
/// Part of the estimate that stays after a success.
const SUCCESS_FACTOR: f64 = 0.75;
/// Estimate after a connection that could not be opened.
const UNREACHABLE_PROBABILITY: f64 = 0.95;

/// How likely a target is to fail the next request, 0 to 1; forgotten with time.
#[derive(Clone, Copy, Debug)]
pub struct FailureEstimate {
    probability: f64,
    updated_at: Instant,
}

impl FailureEstimate {
    /// An estimate of a target that has not failed.
    pub fn new(now: Instant) -> Self {
        Self { probability: 0.0, updated_at: now }
    }

    /// Estimate now.
    pub fn probability(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.probability * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// A request succeeded.
    pub fn record_success(&mut self, now: Instant) {
        *self = Self { probability: self.probability(now) * SUCCESS_FACTOR, updated_at: now };
    }

    /// A request failed.
    pub fn record_failure(&mut self, now: Instant) {
        let probability = self.probability(now);
        *self = Self {
            probability: probability + (1.0 - probability) * FAILURE_WEIGHT,
            updated_at: now,
        };
    }

    /// No connection could be opened.
    pub fn record_unreachable(&mut self, now: Instant) {
        *self = Self { probability: UNREACHABLE_PROBABILITY, updated_at: now };
    }
}
