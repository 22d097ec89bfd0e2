//! Spreads what targets state about their limits, and selects the hosts that send to such targets.

use std::time::Duration;
use std::time::Instant;

use rand::seq::SliceRandom;

use crate::fleet::LimitChange;
use crate::fleet::LimitReport;
use crate::fleet::PlacementRefusal;
use crate::fleet::PlacementRequest;
use crate::fleet::TargetBalancer;
use crate::fleet::TargetTracker;
use crate::fleet::target_balancer::TargetRecord;
use crate::fleet::target_balancer::is_region_allowed;

/// Most reports in one heartbeat.
const MAX_REPORTS: usize = 24;

impl TargetBalancer {
    /// Records what an answer of a target states about its limit; `None` if it states none. Unknown targets are ignored.
    pub fn record_limit(&mut self, target: &str, rate: Option<f64>, now: Instant) -> LimitChange {
        self.record_limit_statement(target, rate, now, now)
    }

    /// Returns the number of known targets that state a limit.
    pub fn limited_targets(&self) -> usize {
        self.targets.values().filter(|record| record.tracker.limit.rate().is_some()).count()
    }

    /// Returns the limits of targets that are in force or were lifted recently, a random part of them if there are many.
    pub fn limit_reports(&self, now: Instant) -> Vec<LimitReport> {
        let known = self.targets.iter().filter_map(|(target, record)| {
            let (rate, age) = record.tracker.limit.report(now)?;
            let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            Some(LimitReport { target: target.clone(), rate, age_ms })
        });
        let mut reports: Vec<_> = known.collect();
        reports.shuffle(&mut rand::rng());
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Takes over the limits that another host reports, where they are newer than what this host knows. Returns the reports
    /// that changed whether a target has a limit.
    pub fn merge_limit_reports<'a>(
        &mut self,
        reports: &'a [LimitReport],
        now: Instant,
    ) -> Vec<(&'a LimitReport, LimitChange)> {
        let mut changes = Vec::new();
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let Some(stated_at) = now.checked_sub(age) else { continue };
            let rate = report.rate.filter(|rate| rate.is_finite());
            match self.record_limit_statement(&report.target, rate, stated_at, now) {
                LimitChange::Same => {}
                change => changes.push((report, change)),
            }
        }
        changes
    }

    fn record_limit_statement(
        &mut self,
        target: &str,
        rate: Option<f64>,
        stated_at: Instant,
        now: Instant,
    ) -> LimitChange {
        let Some(record) = self.targets.get_mut(target) else { return LimitChange::Same };
        let known_rate = record.tracker.limit.rate();
        let change = record.tracker.limit.record_statement(rate, stated_at);
        if record.tracker.limit.rate() != known_rate {
            self.update_limit_sender(target, now);
        }
        change
    }

    /// Selects the senders of all targets with a limit again, after the known hosts changed.
    pub(super) fn update_limit_senders(&mut self, now: Instant) {
        let limited =
            self.targets.iter().filter(|(_, record)| record.tracker.limit.rate().is_some());
        let names: Vec<_> = limited.map(|(target, _)| target.clone()).collect();
        names.iter().for_each(|target| self.update_limit_sender(target, now));
    }

    fn update_limit_sender(&mut self, target: &str, now: Instant) {
        let Some(record) = self.targets.get(target) else { return };
        let count = record.tracker.limit.sender_count();
        let is_sender = self.is_among_senders(record, count);
        let senders = count.min(self.hosts.len().max(1));
        if let Some(record) = self.targets.get_mut(target) {
            record.tracker.limit.set_sender(is_sender, senders, now);
        }
    }

    /// Refusal of a request that no target is open to: `Limited` or `Paused` with the shortest wait if limits or pauses close
    /// some of them.
    pub(super) fn refusal_without_candidate(
        &self,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> PlacementRefusal {
        let is_closed = |record: &&TargetRecord| {
            let TargetTracker { limit, pause, .. } = &record.tracker;
            self.takes_requests(record)
                && is_region_allowed(record, request)
                && !(limit.may_send(now) && pause.may_send(now))
                && !request.excluded_targets.contains(&record.entry.target)
        };
        let service = self.services.get(request.service);
        let names = service.into_iter().flat_map(|service| &service.targets);
        let closed = names.filter_map(|name| self.targets.get(name)).filter(is_closed);
        let waits = closed.map(|record| {
            let TargetTracker { limit, pause, .. } = &record.tracker;
            let pause_wait = pause.wait(now);
            (limit.wait(now).max(pause_wait), !pause_wait.is_zero())
        });
        match waits.min() {
            None => PlacementRefusal::NoTarget,
            Some((wait, true)) => PlacementRefusal::Paused { wait },
            Some((wait, false)) => PlacementRefusal::Limited { wait },
        }
    }
}
