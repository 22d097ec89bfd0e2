//! Circuit breaker that stops calls to a failing service and probes it again after a jittered backoff.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;

/// Threshold and backoff of a circuit breaker.
#[derive(Clone, Debug)]
pub struct BreakerSettings {
    /// Consecutive failures after which the breaker opens.
    pub failures_to_open: u32,
    /// Backoff when the breaker opens, before jitter; it doubles with each further failure.
    pub min_backoff: Duration,
    /// Upper bound of the backoff, before jitter.
    pub max_backoff: Duration,
}

/// Circuit breaker for the calls to one service.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    settings: BreakerSettings,
    consecutive_failures: u32,
    retry_at: Option<Instant>,
    failing_since: Option<Instant>,
}

impl CircuitBreaker {
    /// Creates a closed breaker, which admits every call.
    pub fn new(settings: BreakerSettings) -> Self {
        Self { settings, consecutive_failures: 0, retry_at: None, failing_since: None }
    }

    /// Admits a call if the breaker is closed. While it is open, one probe call is admitted after each backoff.
    ///
    /// # Errors
    ///
    /// Returns the remaining backoff if the call is not admitted.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        match self.retry_at {
            Some(retry_at) if retry_at > now => Err(retry_at - now),
            Some(_) => {
                self.retry_at = Some(now + self.settings.min_backoff);
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Records an answered call and closes the breaker.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.retry_at = None;
        self.failing_since = None;
    }

    /// Records an unanswered call. Opens the breaker, or extends its backoff, once there are enough in a row. The backoff
    /// is multiplied by a random factor between 0.5 and 1, so that hosts do not retry at the same time.
    pub fn record_failure(&mut self, now: Instant, random: &mut impl Rng) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failing_since.get_or_insert(now);
        if self.consecutive_failures < self.settings.failures_to_open {
            return;
        }
        let doublings = (self.consecutive_failures - self.settings.failures_to_open).min(16);
        let backoff = self.settings.min_backoff.saturating_mul(1 << doublings);
        let backoff = backoff.min(self.settings.max_backoff);
        self.retry_at = Some(now + backoff.mul_f64(random.random_range(0.5..1.0)));
    }

    /// Time since the first of the consecutive failures; `None` if the last call was answered.
    pub fn failing_for(&self, now: Instant) -> Option<Duration> {
        self.failing_since.map(|since| now.saturating_duration_since(since))
    }
}
