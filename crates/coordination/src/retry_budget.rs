//! Limits retries to a share of first attempts, and computes the backoff before a retry.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

const MICRO_RETRIES: u64 = 1_000_000;
/// Retries that a budget can accumulate, and that it starts with.
const MAX_SAVED_RETRIES: u64 = 10;
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// Budget of retries. Each first attempt adds a fraction of a retry, up to a small maximum.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved_micro_retries: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self { saved_micro_retries: MAX_SAVED_RETRIES * MICRO_RETRIES }
    }

    /// Records a first attempt, which adds `percent` hundredths of a retry to the budget.
    pub fn record_first_attempt(&mut self, percent: f64) {
        let share = (percent.clamp(0.0, 100.0) * MICRO_RETRIES as f64 / 100.0) as u64;
        self.saved_micro_retries =
            (self.saved_micro_retries + share).min(MAX_SAVED_RETRIES * MICRO_RETRIES);
    }

    /// Takes one retry from the budget; returns `false` if it holds less than one.
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

/// Backoff before a retry with full jitter: uniform between zero and a bound that is `base` for attempt 0 and doubles with
/// each further attempt, up to `longest`.
pub fn full_jitter(
    attempt: u32,
    base: Duration,
    longest: Duration,
    rng: &mut impl Rng,
) -> Duration {
    let bound = base.saturating_mul(2u32.pow(attempt.min(MAX_BACKOFF_DOUBLINGS))).min(longest);
    bound.mul_f64(rng.random_range(0.0..=1.0))
}
