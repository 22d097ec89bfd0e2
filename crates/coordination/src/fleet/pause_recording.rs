//! Spreads the pauses that targets ask for, and selects the hosts that go on sending to such targets.

use std::time::Duration;
use std::time::Instant;

use rand::seq::SliceRandom;

use crate::fleet::PauseReport;
use crate::fleet::TargetBalancer;
use crate::fleet::target_pause::PAUSE_SENDERS;
use crate::ids::TargetId;

/// Most reports in one heartbeat.
const MAX_REPORTS: usize = 24;

impl TargetBalancer {
    /// Records that the process of a target that started at `started_at` turned a request of this host away and asked for a
    /// pause. Its entry may be missing.
    pub fn record_pause(&mut self, target: &str, started_at: u64, pause: Duration, now: Instant) {
        match self.targets.get_mut(target) {
            Some(record) if record.entry.started_at == started_at => {
                record.tracker.pause.record_pause(pause, now);
                self.update_pause_sender(target);
            }
            Some(_) => {}
            None => {
                let statements = self.departed_targets.statements_mut(target, started_at, now);
                if let Some(statements) = statements {
                    statements.pause.record_pause(pause, now);
                }
            }
        }
    }

    /// Records that a target answered a request of this host.
    pub fn record_pause_end(&mut self, target: &str, now: Instant) {
        if let Some(record) = self.targets.get_mut(target) {
            record.tracker.pause.record_answer(now);
        }
    }

    /// Returns the number of known targets that get no requests of this host because of a pause.
    pub fn paused_targets(&self, now: Instant) -> usize {
        self.targets.values().filter(|record| !record.tracker.pause.may_send(now)).count()
    }

    /// Returns what targets said last about pauses, a random part of it if there is much.
    pub fn pause_reports(&self, now: Instant) -> Vec<PauseReport> {
        let as_millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let known = self.targets.iter().filter_map(|(target, record)| {
            let (left, age) = record.tracker.pause.report(now)?;
            let left_ms = left.map(as_millis);
            Some(PauseReport { target: target.clone(), left_ms, age_ms: as_millis(age) })
        });
        let mut reports: Vec<_> = known.collect();
        reports.shuffle(&mut rand::rng());
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Takes over what targets said to other hosts, where it is newer than what this host knows.
    pub fn merge_pause_reports(&mut self, reports: &[PauseReport], now: Instant) {
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let (Some(record), Some(stated_at)) =
                (self.targets.get_mut(&report.target), now.checked_sub(age))
            else {
                continue;
            };
            let until = report.left_ms.map(|left| now + Duration::from_millis(left.into()));
            record.tracker.pause.record_statement(until, stated_at);
            self.update_pause_sender(&report.target);
        }
    }

    /// Selects the senders of all targets that pause again, after the known hosts changed.
    pub(super) fn update_pause_senders(&mut self, now: Instant) {
        let paused =
            self.targets.iter().filter(|(_, record)| record.tracker.pause.report(now).is_some());
        let names: Vec<TargetId> = paused.map(|(target, _)| target.clone()).collect();
        names.iter().for_each(|target| self.update_pause_sender(target));
    }

    fn update_pause_sender(&mut self, target: &str) {
        let Some(record) = self.targets.get(target) else { return };
        let is_sender = self.is_among_senders(record, PAUSE_SENDERS);
        if let Some(record) = self.targets.get_mut(target) {
            record.tracker.pause.set_sender(is_sender);
        }
    }
}
