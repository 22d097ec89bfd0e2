//! Report track.

use std::time::Duration;
use std::time::Instant;

use crate::placement::TargetReport;

/// Age from which a report says nothing about load any more.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(6);
const CONTRADICTIONS_TO_DISTRUST: u32 = 3;
const DISTRUST_DURATION: Duration = Duration::from_secs(30);

/// Why a report counts, or does not.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ReportTrust {
    /// Its load decides where this host's own view does not.
    Trusted,
    /// There is none.
    Absent,
    /// It is older than `MAX_REPORT_AGE`.
    Stale,
    /// It has contradicted repeatedly what this host saw itself.
    Contradicted,
}

/// The latest report of a target, and how far it is to be believed.
///
/// A report contradicts this host if it names fewer requests in flight than this host alone had there through the
/// whole time since the report before, or if it says healthy while most of this host's requests fail, or unhealthy
/// while they succeed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportTrack {
    latest: Option<TargetReport>,
    consecutive_contradictions: u32,
    distrusted_until: Option<Instant>,
}

impl ReportTrack {
    /// Takes a report, with the fewest requests that this host had in flight there since the report before, and
    /// whether its own requests succeed, if it had any lately.
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

    /// How far the latest report is to be believed.
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

    /// Load by a report that is to be believed.
    pub fn trusted_load(&self, now: Instant) -> Option<f64> {
        match self.trust(now) {
            ReportTrust::Trusted => self.latest.map(|report| report.load()),
            _ => None,
        }
    }

    /// Whether the target said last that it is leaving. This is believed at any age: it costs capacity at worst.
    pub fn is_draining(&self) -> bool {
        self.latest.is_some_and(|report| report.is_draining)
    }

    /// Whether the latest report says that the target cannot serve, and is to be believed.
    pub fn is_unhealthy(&self, now: Instant) -> bool {
        self.trust(now) == ReportTrust::Trusted
            && self.latest.is_some_and(|report| !report.is_healthy)
    }
}
