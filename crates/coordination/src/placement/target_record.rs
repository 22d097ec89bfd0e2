//! Target record.

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

/// How a request ended, as far as placement is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchResult {
    /// Answered without a fault of the target.
    Succeeded {
        /// Time to the first byte of the answer.
        latency: Duration,
    },
    /// Answered with a server error, failed, or not answered in time.
    Failed,
    /// Nothing listens there.
    Unreachable,
    /// Shed without being run.
    Shed,
    /// Ended by the caller.
    Cancelled,
}

/// What this host knows of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetRecord {
    latency_seconds: Option<f64>,
    observed_at: Option<Instant>,
    last_shed_at: Option<Instant>,
    last_end_at: Option<Instant>,
    in_flight: u32,
    min_in_flight: u32,
    /// Error rate and ejection.
    pub health: HealthTrack,
    /// Reports.
    pub report: ReportTrack,
    /// Ramp after a cold start.
    pub ramp: WarmRamp,
}

impl TargetRecord {
    /// A record of a target that was not used yet.
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

    /// A request is sent.
    pub fn record_start(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.last_end_at = Some(now);
        }
        self.in_flight += 1;
        self.health.record_start(now);
        self.ramp.record_use(now);
    }

    /// A request ended; returns whether the target ought to be ejected.
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

    /// Takes a report of the target.
    pub fn apply_report(&mut self, report: TargetReport) {
        let min_in_flight = self.min_in_flight;
        self.min_in_flight = self.in_flight;
        self.report.apply_report(report, min_in_flight, self.health.is_succeeding());
    }

    /// Smoothed latency of answers that were no errors, in seconds.
    pub fn latency_seconds(&self) -> Option<f64> {
        self.latency_seconds
    }

    /// Expected cost of one more request, in seconds: what an answer takes, times how full the target is with this
    /// host's requests, more for errors, for sheds a moment ago, and when nothing has ended for long.
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

    /// How much the latency and error rate still say, 1 to 0, so that a target that was slow once is tried again.
    fn freshness(&self, now: Instant) -> f64 {
        let age = self.observed_at.map(|time| now.saturating_duration_since(time));
        let half_lives = age.unwrap_or_default().div_duration_f64(OBSERVATION_HALF_LIFE);
        (-half_lives).exp2()
    }

    /// Factor for a target on which requests are in flight and none has ended for longer than usual.
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
