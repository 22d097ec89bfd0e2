//! Circuit breaker: stops calls to a service that fails, and tries it again after a jittered backoff.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngExt;

/// When the breaker opens, and for how long.
#[derive(Clone, Debug)]
pub struct BreakerSettings {
    /// Failures in a row that open it.
    pub failures_to_open: u32,
    /// Shortest backoff.
    pub min_backoff: Duration,
    /// Longest backoff.
    pub max_backoff: Duration,
}

/// Circuit breaker around one service.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    settings: BreakerSettings,
    consecutive_failures: u32,
    retry_at: Option<Instant>,
    failing_since: Option<Instant>,
}

impl CircuitBreaker {
    /// A closed breaker.
    pub fn new(settings: BreakerSettings) -> Self {
        Self { settings, consecutive_failures: 0, retry_at: None, failing_since: None }
    }

    /// Asks for leave to call. While the breaker is open, one call is let through after each backoff.
    ///
    /// # Errors
    ///
    /// Fails with the time after which a call may be made.
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

    /// A call was answered.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.retry_at = None;
        self.failing_since = None;
    }

    /// A call was not answered.
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

    /// Time since the first of the failures in a row; `None` if the last call was answered.
    pub fn failing_for(&self, now: Instant) -> Option<Duration> {
        self.failing_since.map(|since| now.saturating_duration_since(since))
    }
}
