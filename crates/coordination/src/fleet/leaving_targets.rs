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
    /// Records that the process of a target that started at `started_at` said that it leaves, which it does not take back.
    /// Its entry may be missing. Returns whether that is new.
    pub fn record_leaving(&mut self, target: &str, started_at: u64, now: Instant) -> bool {
        let is_leaving = match self.targets.get_mut(target) {
            Some(record) if record.entry.started_at == started_at => {
                Some(&mut record.tracker.is_leaving)
            }
            Some(_) => None,
            None => {
                let statements = self.departed_targets.statements_mut(target, started_at, now);
                statements.map(|statements| &mut statements.is_leaving)
            }
        };
        is_leaving.is_some_and(|is_leaving| !std::mem::replace(is_leaving, true))
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
        now: Instant,
    ) -> Vec<&'a LeavingReport> {
        let mut is_new =
            |report: &&LeavingReport| self.record_leaving(&report.target, report.started_at, now);
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
