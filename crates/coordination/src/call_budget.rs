//! Client-side rate limit for calls, in calls a second.

use std::time::Duration;
use std::time::Instant;

/// Token bucket for calls; it starts full.
#[derive(Clone, Debug)]
pub struct CallBudget {
    calls_per_second: f64,
    burst: f64,
    available: f64,
    filled_at: Instant,
}

impl CallBudget {
    /// Creates a full bucket that refills at `calls_per_second` and holds at most `burst` calls.
    pub fn new(calls_per_second: f64, burst: f64, now: Instant) -> Self {
        Self { calls_per_second, burst, available: burst, filled_at: now }
    }

    /// Takes one call from the budget.
    ///
    /// # Errors
    ///
    /// Returns the time until a call is available if the budget is used up.
    pub fn take_call(&mut self, now: Instant) -> Result<(), Duration> {
        let gained =
            now.saturating_duration_since(self.filled_at).as_secs_f64() * self.calls_per_second;
        self.available = (self.available + gained).min(self.burst);
        self.filled_at = self.filled_at.max(now);
        if self.available >= 1.0 {
            self.available -= 1.0;
            return Ok(());
        }
        let wait = (1.0 - self.available) / self.calls_per_second.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}
