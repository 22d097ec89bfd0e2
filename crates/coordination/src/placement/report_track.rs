//! Health reports of one target, checked against this host's own observations.

use std::time::Duration;
use std::time::Instant;

use crate::placement::TargetReport;

/// Age above which the load and the health in a report are ignored.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(6);
const CONTRADICTIONS_TO_DISTRUST: u32 = 3;
const DISTRUST_DURATION: Duration = Duration::from_secs(30);

/// Whether the latest report is used, and if not, why.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReportTrust {
    /// The report's load decides between targets of similar cost.
    Trusted,
    /// No report has arrived yet.
    Absent,
    /// The latest report is older than `MAX_REPORT_AGE`.
    Stale,
    /// The latest report contradicts this host's own observations, or at least `CONTRADICTIONS_TO_DISTRUST` in a row did
    /// less than `DISTRUST_DURATION` ago.
    Contradicted,
}

/// Latest report of a target and whether it can be trusted.
///
/// A report contradicts this host's observations if it names fewer requests in flight than this host alone had there at
/// all times since the previous report, if it says healthy while most of this host's requests fail, or if it says
/// unhealthy while most of them succeed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportTrack {
    latest: Option<TargetReport>,
    consecutive_contradictions: u32,
    distrusted_until: Option<Instant>,
}

impl ReportTrack {
    /// Applies a report. `min_own_in_flight` is the lowest number of requests that this host had in flight there since
    /// the previous report. `own_requests_succeed` is `None` if this host has sent too few requests to tell.
    pub fn apply_report(
        &mut self,
        report: TargetReport,
        min_own_in_flight: u32,
        own_requests_succeed: Option<bool>,
    ) {
        let is_load_too_low = report.in_flight < min_own_in_flight;
        let is_health_wrong =
            own_requests_succeed.is_some_and(|succeed| succeed != report.is_healthy);
        match is_load_too_low || is_health_wrong {
            true => self.consecutive_contradictions += 1,
            false => self.consecutive_contradictions = 0,
        }
        if self.consecutive_contradictions >= CONTRADICTIONS_TO_DISTRUST {
            self.distrusted_until = Some(report.requested_at + DISTRUST_DURATION);
        }
        self.latest = Some(report);
    }

    /// Whether the latest report can be trusted at `now`.
    pub fn trust(&self, now: Instant) -> ReportTrust {
        match &self.latest {
            None => ReportTrust::Absent,
            Some(report) if report.age(now) > MAX_REPORT_AGE => ReportTrust::Stale,
            Some(_) if self.consecutive_contradictions > 0 => ReportTrust::Contradicted,
            Some(_) if self.distrusted_until.is_some_and(|end| now < end) => {
                ReportTrust::Contradicted
            }
            Some(_) => ReportTrust::Trusted,
        }
    }

    /// Load of the latest report in requests per slot, or `None` if the report cannot be trusted.
    pub fn trusted_load(&self, now: Instant) -> Option<f64> {
        match self.trust(now) {
            ReportTrust::Trusted => self.latest.map(|report| report.load()),
            _ => None,
        }
    }

    /// Whether the latest report says that the target is draining. This is trusted at any age: a wrong one costs
    /// capacity at worst.
    pub fn is_draining(&self) -> bool {
        self.latest.is_some_and(|report| report.is_draining)
    }

    /// Whether the latest report can be trusted and says that the target cannot serve.
    pub fn is_unhealthy(&self, now: Instant) -> bool {
        self.trust(now) == ReportTrust::Trusted
            && self.latest.is_some_and(|report| !report.is_healthy)
    }
}
