//! Outlier detection: ejects a target whose requests fail and probes it afterwards.

use std::time::Duration;
use std::time::Instant;

const PREVIOUS_ERROR_RATE_WEIGHT: f64 = 0.9;
const EJECT_ERROR_RATE: f64 = 0.5;
const EJECT_MIN_RESULTS: u32 = 10;
const EJECT_CONSECUTIVE_FAILURES: u32 = 5;
const BASE_EJECTION_DURATION: Duration = Duration::from_secs(2);
const MAX_EJECTION_DOUBLINGS: u32 = 5;
const SUCCESSES_TO_READMIT: u32 = 2;
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Whether a target gets requests, as in a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthState {
    /// The target gets requests without restriction.
    Admitted,
    /// The target gets no requests until the ejection ends.
    Ejected {
        /// Time at which the ejection ends and probing starts.
        until: Instant,
    },
    /// The target gets one probe request at a time until enough of them succeed.
    HalfOpen {
        /// Start of the probe_start in flight; `None` if the next probe_start may be sent.
        probe_start: Option<Instant>,
        /// Successful probes since the ejection ended.
        successes: u32,
    },
}

/// Error rate and ejection state of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthTrack {
    state: HealthState,
    error_rate: f64,
    result_count: u32,
    consecutive_failures: u32,
    ejection_count: u32,
}

impl Default for HealthTrack {
    fn default() -> Self {
        Self {
            state: HealthState::Admitted,
            error_rate: 0.0,
            result_count: 0,
            consecutive_failures: 0,
            ejection_count: 0,
        }
    }
}

impl HealthTrack {
    /// State at `now`: an ejection that has ended counts as half-open, and a probe_start that timed out as not sent.
    pub fn state(&self, now: Instant) -> HealthState {
        match self.state {
            HealthState::Ejected { until } if now >= until => {
                HealthState::HalfOpen { probe_start: None, successes: 0 }
            }
            HealthState::HalfOpen { probe_start: Some(start), successes }
                if now >= start + PROBE_TIMEOUT =>
            {
                HealthState::HalfOpen { probe_start: None, successes }
            }
            state => state,
        }
    }

    /// Whether a request may be sent at `now`: the target is admitted, or half-open without a probe_start in flight.
    pub fn admits(&self, now: Instant) -> bool {
        match self.state(now) {
            HealthState::Admitted | HealthState::HalfOpen { probe_start: None, .. } => true,
            HealthState::Ejected { .. } | HealthState::HalfOpen { .. } => false,
        }
    }

    /// Whether the target is ejected or half-open.
    pub fn is_restricted(&self) -> bool {
        self.state != HealthState::Admitted
    }

    /// Moving average of the share of requests that failed, 0 to 1.
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Whether most of this host's requests succeed; `None` before `EJECT_MIN_RESULTS` results.
    pub fn is_succeeding(&self) -> Option<bool> {
        (self.result_count >= EJECT_MIN_RESULTS).then_some(self.error_rate < EJECT_ERROR_RATE)
    }

    /// Records that a request was sent; in the half-open state it is the probe.
    pub fn record_start(&mut self, now: Instant) {
        if let HealthState::HalfOpen { successes, .. } = self.state(now) {
            self.state = HealthState::HalfOpen { probe_start: Some(now), successes };
        }
    }

    /// Records a success. Returns `true` if it was the last probe_start needed to readmit the target.
    pub fn record_success(&mut self, now: Instant) -> bool {
        self.update_error_rate(0.0);
        self.consecutive_failures = 0;
        match self.state(now) {
            HealthState::HalfOpen { successes, .. } if successes + 1 >= SUCCESSES_TO_READMIT => {
                *self = Self { ejection_count: self.ejection_count, ..Self::default() };
                true
            }
            HealthState::HalfOpen { successes, .. } => {
                self.state = HealthState::HalfOpen { probe_start: None, successes: successes + 1 };
                false
            }
            HealthState::Admitted if self.error_rate < 1.0 - PREVIOUS_ERROR_RATE_WEIGHT => {
                self.ejection_count = 0;
                false
            }
            _ => false,
        }
    }

    /// Records a failure. Returns `true` if the target should be ejected; the caller calls `eject`.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        self.update_error_rate(1.0);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        match self.state(now) {
            HealthState::HalfOpen { .. } => true,
            HealthState::Ejected { .. } => false,
            HealthState::Admitted => {
                let exceeds_rate =
                    self.result_count >= EJECT_MIN_RESULTS && self.error_rate > EJECT_ERROR_RATE;
                exceeds_rate || self.consecutive_failures >= EJECT_CONSECUTIVE_FAILURES
            }
        }
    }

    /// Ejects the target. Each further ejection lasts twice as long, up to `MAX_EJECTION_DOUBLINGS` doublings.
    pub fn eject(&mut self, now: Instant) {
        let doublings = self.ejection_count.min(MAX_EJECTION_DOUBLINGS);
        self.ejection_count = self.ejection_count.saturating_add(1);
        self.state =
            HealthState::Ejected { until: now + BASE_EJECTION_DURATION * 2_u32.pow(doublings) };
    }

    /// Readmits the target without a successful probe, because too many targets of its group are out.
    pub fn readmit(&mut self) {
        self.state = HealthState::Admitted;
    }

    fn update_error_rate(&mut self, failure: f64) {
        self.result_count = self.result_count.saturating_add(1);
        self.error_rate = PREVIOUS_ERROR_RATE_WEIGHT * self.error_rate
            + (1.0 - PREVIOUS_ERROR_RATE_WEIGHT) * failure;
    }
}
