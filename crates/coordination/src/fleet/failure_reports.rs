//! Failures of targets that hosts report to each other. In a fleet of hundreds of hosts, one host sends a target a request
//! every half a minute and would meet each failed target by itself.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::TargetBalancer;
use crate::fleet::TargetTracker;
use crate::fleet::candidate_scoring::MAX_HOME_FAILURE;
use crate::fleet::target_balancer::TargetRecord;
use crate::ids::TargetId;

/// Most reports in one heartbeat.
const MAX_REPORTS: usize = 24;
/// Lowest estimate that is reported, in percent: a single failure, for about half a second.
const MIN_PERCENT: u8 = 30;

/// Percentage that stands for a target whose address belongs to another one. Estimates of failures stay below it.
const REPLACED_PERCENT: u8 = 100;
/// Time for which a host reports that a target was replaced.
const REPLACED_REPORT_TIME: Duration = Duration::from_secs(3);

/// Estimate of how likely a target is to fail the next request, from the failures that all hosts met.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(TargetId, u8)", into = "(TargetId, u8)")]
pub struct FailureReport {
    /// Target that failed requests.
    pub target: TargetId,
    /// Probability of a failure in percent; 100 if another target answers on its address.
    pub percent: u8,
}

impl TargetBalancer {
    /// Returns the targets that failed requests recently, most likely to fail first.
    pub fn failure_reports(&self, now: Instant) -> Vec<FailureReport> {
        let known = self.targets.iter().map(|(target, record)| {
            let percent = reported_percent(&record.tracker, now);
            FailureReport { target: target.clone(), percent }
        });
        let mut failing: Vec<_> = known.filter(|report| report.percent >= MIN_PERCENT).collect();
        failing.shuffle(&mut rand::rng());
        failing.sort_by_key(|report| Reverse(report.percent));
        failing.truncate(MAX_REPORTS);
        failing
    }

    /// Returns the number of targets that are no object's home because they fail requests.
    pub fn failing_targets(&self, now: Instant) -> usize {
        let is_failing =
            |record: &&TargetRecord| record.tracker.failure_probability(now) >= MAX_HOME_FAILURE;
        self.targets.values().filter(is_failing).count()
    }

    /// Takes over the reports of another host. Reports are forwarded, so the highest one counts: the sum would grow with
    /// the number of hosts that forward it.
    pub fn merge_failure_reports(&mut self, reports: &[FailureReport], now: Instant) {
        for report in reports {
            if let Some(record) = self.targets.get_mut(&report.target) {
                let tracker = &mut record.tracker;
                match report.percent {
                    REPLACED_PERCENT.. if tracker.is_replaced(now) => {}
                    REPLACED_PERCENT.. => tracker.replaced_at = Some(now),
                    percent => {
                        tracker.fleet_failures.merge_report(f64::from(percent) / 100.0, now);
                    }
                }
            }
        }
    }
}

fn reported_percent(tracker: &TargetTracker, now: Instant) -> u8 {
    let is_replaced = tracker
        .replaced_at
        .is_some_and(|at| now.saturating_duration_since(at) < REPLACED_REPORT_TIME);
    match is_replaced {
        true => REPLACED_PERCENT,
        false => {
            ((tracker.fleet_failures.probability(now) * 100.0) as u8).min(REPLACED_PERCENT - 1)
        }
    }
}

impl From<(TargetId, u8)> for FailureReport {
    fn from((target, percent): (TargetId, u8)) -> Self {
        Self { target, percent }
    }
}

impl From<FailureReport> for (TargetId, u8) {
    fn from(report: FailureReport) -> Self {
        (report.target, report.percent)
    }
}
