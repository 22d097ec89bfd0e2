//! Targets that say in their answers that they leave, before their entries say so or without ever doing so.

use std::time::Instant;

use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::TargetBalancer;
use crate::ids::TargetId;

/// Most reports in one heartbeat.
const MAX_REPORTS: usize = 24;

/// A target that said to any host that it leaves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(TargetId, u64)", into = "(TargetId, u64)")]
pub struct LeavingReport {
    /// Target that said it.
    pub target: TargetId,
    /// Start of the target's process, as in its entry; a process that starts later does not leave.
    pub started_at: u64,
}

impl TargetBalancer {
    /// Records that a target said that it leaves, which its process does not take back. Returns whether that is new.
    pub fn record_leaving(&mut self, target: &str) -> bool {
        let record = self.targets.get_mut(target);
        record.is_some_and(|record| !std::mem::replace(&mut record.tracker.is_leaving, true))
    }

    /// Whether this host may still send a request that it placed on a target before. Since then the target may have left or
    /// have asked for a pause, or its failure domain may have been closed.
    pub fn may_still_send(&self, target: &str, now: Instant) -> bool {
        let record = self.targets.get(target);
        record.is_some_and(|record| {
            self.takes_requests(record) && !record.tracker.pause.is_paused(now)
        })
    }

    /// Returns the targets that said that they leave, a random part of them if there are many.
    pub fn leaving_reports(&self) -> Vec<LeavingReport> {
        let leaving = self.targets.values().filter(|record| record.tracker.is_leaving);
        let mut reports: Vec<_> = leaving
            .map(|record| LeavingReport {
                target: record.entry.target.clone(),
                started_at: record.entry.started_at,
            })
            .collect();
        reports.shuffle(&mut rand::rng());
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Takes over which targets said to other hosts that they leave. Returns those that are new.
    pub fn merge_leaving_reports<'a>(
        &mut self,
        reports: &'a [LeavingReport],
    ) -> Vec<&'a LeavingReport> {
        let mut is_new = |report: &&LeavingReport| {
            let known = self.targets.get(&report.target);
            known.is_some_and(|record| record.entry.started_at == report.started_at)
                && self.record_leaving(&report.target)
        };
        reports.iter().filter(|report| is_new(report)).collect()
    }
}

impl From<(TargetId, u64)> for LeavingReport {
    fn from((target, started_at): (TargetId, u64)) -> Self {
        Self { target, started_at }
    }
}

impl From<LeavingReport> for (TargetId, u64) {
    fn from(report: LeavingReport) -> Self {
        (report.target, report.started_at)
    }
}
