//! Observations of one target and the cost estimate derived from them.

use std::time::Duration;
use std::time::Instant;

use crate::placement::HealthTrack;
use crate::placement::ReportTrack;
use crate::placement::TargetReport;
use crate::placement::WarmRamp;

const PREVIOUS_LATENCY_WEIGHT: f64 = 0.8;
const MIN_LATENCY_SECONDS: f64 = 0.001;
const STALL_LATENCY_FACTOR: f64 = 4.0;
const MIN_STALL_SECONDS: f64 = 0.25;
const SHED_PENALTY_DURATION: Duration = Duration::from_secs(1);
const SHED_PENALTY_FACTOR: f64 = 4.0;
const MAX_ERROR_RATE: f64 = 0.99;
const OBSERVATION_HALF_LIFE: Duration = Duration::from_secs(10);

/// Outcome of a request as placement sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchResult {
    /// The target answered without a server error.
    Succeeded {
        /// Time to the first byte of the response.
        latency: Duration,
    },
    /// The target answered with a server error, failed, or did not answer in time.
    Failed,
    /// Nothing accepts connections at the target's address. The target counts as cold afterwards.
    Unreachable,
    /// The target refused the request without running it.
    Shed,
    /// The caller cancelled the request, which says nothing about the target.
    Cancelled,
}

/// Latency, load, health and reports of one target, as seen by this host.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRecord {
    latency_seconds: Option<f64>,
    observed_at: Option<Instant>,
    last_shed_at: Option<Instant>,
    last_end_at: Option<Instant>,
    in_flight: u32,
    min_in_flight: u32,
    /// Error rate and ejection state.
    pub health: HealthTrack,
    /// Latest health report and how far it is trusted.
    pub report: ReportTrack,
    /// Share of slots that may be used while the target warms up.
    pub ramp: WarmRamp,
}

impl TargetRecord {
    /// Creates the record of a target to which this host has sent nothing yet.
    pub fn new(ramp: WarmRamp) -> Self {
        Self {
            latency_seconds: None,
            observed_at: None,
            last_shed_at: None,
            last_end_at: None,
            in_flight: 0,
            min_in_flight: 0,
            health: HealthTrack::default(),
            report: ReportTrack::default(),
            ramp,
        }
    }

    /// Records that a request was sent to the target.
    pub fn record_start(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.last_end_at = Some(now);
        }
        self.in_flight += 1;
        self.health.record_start(now);
        self.ramp.record_use(now);
    }

    /// Records how a request ended. Returns `true` if the target should be ejected; the caller decides.
    pub fn record_result(&mut self, result: DispatchResult, now: Instant) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.min_in_flight = self.min_in_flight.min(self.in_flight);
        self.observed_at = Some(now);
        match result {
            DispatchResult::Cancelled => false,
            DispatchResult::Shed => {
                self.last_end_at = Some(now);
                self.last_shed_at = Some(now);
                false
            }
            DispatchResult::Succeeded { latency } => {
                self.last_end_at = Some(now);
                self.update_latency(latency);
                if self.health.record_success(now) {
                    self.ramp.reset_to_cold();
                }
                false
            }
            DispatchResult::Unreachable => {
                self.ramp.reset_to_cold();
                self.health.record_failure(now)
            }
            DispatchResult::Failed => self.health.record_failure(now),
        }
    }

    /// Applies a health report, together with this host's own observations since the previous one.
    pub fn apply_report(&mut self, report: TargetReport) {
        let min_in_flight = self.min_in_flight;
        self.min_in_flight = self.in_flight;
        self.report.apply_report(report, min_in_flight, self.health.is_succeeding());
    }

    /// Moving average of the latency of successful responses, in seconds; `None` before the first one.
    pub fn latency_seconds(&self) -> Option<f64> {
        self.latency_seconds
    }

    /// Estimated cost of one more request, in seconds: the expected latency times the utilization by this host's
    /// requests. Errors, a recent shed and a stall raise it. `average_latency_seconds` stands in for a latency that is
    /// unknown or old.
    pub fn cost(
        &self,
        in_flight: u32,
        slots: u32,
        average_latency_seconds: f64,
        now: Instant,
    ) -> f64 {
        let freshness = self.freshness(now);
        let observed = self.latency_seconds.unwrap_or(average_latency_seconds);
        let latency = average_latency_seconds + (observed - average_latency_seconds) * freshness;
        let latency = latency.max(MIN_LATENCY_SECONDS);
        let utilization = f64::from(in_flight + 1) / f64::from(slots.max(1));
        let success_rate = 1.0 - (self.health.error_rate() * freshness).min(MAX_ERROR_RATE);
        let shed_factor = match self.last_shed_at {
            Some(time) if now.saturating_duration_since(time) < SHED_PENALTY_DURATION => {
                SHED_PENALTY_FACTOR
            }
            _ => 1.0,
        };
        latency * utilization * shed_factor * self.stall_factor(in_flight, latency, now)
            / (success_rate * success_rate)
    }

    /// Weight of the observed latency and error rate, from 1 to 0: halved every `OBSERVATION_HALF_LIFE`, so that a
    /// target that was slow once is tried again.
    fn freshness(&self, now: Instant) -> f64 {
        let age = self.observed_at.map(|time| now.saturating_duration_since(time));
        let half_lives = age.unwrap_or_default().div_duration_f64(OBSERVATION_HALF_LIFE);
        (-half_lives).exp2()
    }

    /// Cost factor, at least 1, for a target on which requests are in flight and none has succeeded or been shed for
    /// longer than `STALL_LATENCY_FACTOR` times the latency, or `MIN_STALL_SECONDS` if that is longer. Failures and
    /// cancelled requests do not count as an end.
    fn stall_factor(&self, in_flight: u32, latency: f64, now: Instant) -> f64 {
        let stall_seconds = (latency * STALL_LATENCY_FACTOR).max(MIN_STALL_SECONDS);
        match self.last_end_at {
            Some(end) if in_flight > 0 => {
                let idle_seconds = now.saturating_duration_since(end).as_secs_f64();
                (idle_seconds / stall_seconds).max(1.0)
            }
            _ => 1.0,
        }
    }

    fn update_latency(&mut self, latency: Duration) {
        let seconds = latency.as_secs_f64();
        self.latency_seconds = Some(match self.latency_seconds {
            Some(known) => {
                PREVIOUS_LATENCY_WEIGHT * known + (1.0 - PREVIOUS_LATENCY_WEIGHT) * seconds
            }
            None => seconds,
        });
    }
}
