//! Bounds retries to a share of requests.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

const MICRO_RETRIES: u64 = 1_000_000;
const MAX_SAVED_RETRIES: u64 = 10;
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// Retries that may be made: each first attempt adds a share of one, up to a few that are saved.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved_micro_retries: u64,
}

impl RetryBudget {
    /// A budget with its savings whole.
    pub fn new() -> Self {
        Self { saved_micro_retries: MAX_SAVED_RETRIES * MICRO_RETRIES }
    }

    /// Counts a first attempt that may be followed by `percent` of a retry.
    pub fn record_first_attempt(&mut self, percent: f64) {
        let share = (percent.clamp(0.0, 100.0) * MICRO_RETRIES as f64 / 100.0) as u64;
        self.saved_micro_retries =
            (self.saved_micro_retries + share).min(MAX_SAVED_RETRIES * MICRO_RETRIES);
    }

    /// Takes a retry if there is one.
    pub fn take_retry(&mut self) -> bool {
        match self.saved_micro_retries.checked_sub(MICRO_RETRIES) {
            Some(left) => {
                self.saved_micro_retries = left;
                true
            }
            None => false,
        }
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Pause before a retry, drawn evenly between nothing and a bound that doubles with each attempt.
pub fn full_jitter(
    attempt: u32,
    base: Duration,
    longest: Duration,
    rng: &mut impl Rng,
) -> Duration {
    let bound = base.saturating_mul(2u32.pow(attempt.min(MAX_BACKOFF_DOUBLINGS))).min(longest);
    bound.mul_f64(rng.random_range(0.0..=1.0))
}
