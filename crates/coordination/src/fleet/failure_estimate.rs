//! Estimate of how likely a target is to fail the next request.

use std::time::Duration;
use std::time::Instant;

/// Half-life of the estimate, so that a target that recovered is used again within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of the latest failure in the estimate.
const FAILURE_WEIGHT: f64 = 0.35;
/// Factor by which a success reduces the estimate.
const SUCCESS_FACTOR: f64 = 0.75;
/// Estimate after a connection could not be opened.
const UNREACHABLE_PROBABILITY: f64 = 0.95;

/// Probability that a target fails the next request; decays over time.
#[derive(Clone, Copy, Debug)]
pub struct FailureEstimate {
    probability: f64,
    updated_at: Instant,
}

impl FailureEstimate {
    /// Creates the estimate of a target without failures.
    pub fn new(now: Instant) -> Self {
        Self { probability: 0.0, updated_at: now }
    }

    /// Returns the current probability of a failure, 0 to 1.
    pub fn probability(&self, now: Instant) -> f64 {
        if self.probability == 0.0 {
            return 0.0;
        }
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.probability * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Reduces the estimate after a request that the target answered.
    pub fn record_success(&mut self, now: Instant) {
        *self = Self { probability: self.probability(now) * SUCCESS_FACTOR, updated_at: now };
    }

    /// Raises the estimate after a failed or shed request.
    pub fn record_failure(&mut self, now: Instant) {
        let probability = self.probability(now);
        *self = Self {
            probability: probability + (1.0 - probability) * FAILURE_WEIGHT,
            updated_at: now,
        };
    }

    /// Raises the estimate to one that another host reported, if that is higher.
    pub fn merge_report(&mut self, reported: f64, now: Instant) {
        let reported = reported.clamp(0.0, 1.0);
        if reported > self.probability(now) {
            *self = Self { probability: reported, updated_at: now };
        }
    }

    /// Sets the estimate to nearly 1 after a connection could not be opened or reached another target.
    pub fn record_unreachable(&mut self, now: Instant) {
        *self = Self { probability: UNREACHABLE_PROBABILITY, updated_at: now };
    }
}
