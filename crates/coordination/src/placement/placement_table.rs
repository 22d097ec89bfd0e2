//! Target selection among the candidates of a request.

use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;

use crate::ids::DomainId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::placement::DispatchResult;
use crate::placement::PlacementCandidate;
use crate::placement::TargetRecord;
use crate::placement::TargetReport;

const MAX_EJECTED_SHARE: f64 = 0.5;
const SIMILAR_COST_RATIO: f64 = 1.25;
const DEFAULT_LATENCY_SECONDS: f64 = 0.05;
const PREVIOUS_LATENCY_WEIGHT: f64 = 0.98;
const MIN_ROUND_TRIP_SECONDS: f64 = 0.0005;
const FULL_LINK_PENALTY: f64 = 20.0;
const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_895;

/// Identifies the targets of one service in one failure domain; at most half of a group is ejected at a time.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct TargetGroup {
    /// Service that the targets run.
    pub service: ServiceId,
    /// Failure domain in which the targets run.
    pub domain: DomainId,
}

/// Reports that a selection pass accepts. Ejected and draining targets are never selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AdmissionRule {
    /// Skips targets whose trusted report says that they are unhealthy.
    Healthy,
    /// Accepts targets that report themselves unhealthy, as a last resort.
    NotDraining,
}

/// What this host observed of each target, and the selection among targets.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    records: IndexMap<TargetId, (TargetGroup, TargetRecord)>,
    average_latency_seconds: Option<f64>,
    last_draw: Option<f64>,
}

impl PlacementTable {
    /// Adds a target. If the target is known, only its group changes and `record` is dropped.
    pub fn insert(&mut self, target: TargetId, group: TargetGroup, record: TargetRecord) {
        match self.records.get_mut(&target) {
            Some(known) => known.0 = group,
            None => drop(self.records.insert(target, (group, record))),
        }
    }

    /// Removes the records of targets for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|target, _| keep(target));
    }

    /// Record of a target, or `None` if the target was never inserted.
    pub fn record(&self, target: &str) -> Option<&TargetRecord> {
        self.records.get(target).map(|(_, record)| record)
    }

    /// Mutable record of a target, or `None` if the target was never inserted.
    pub fn record_mut(&mut self, target: &str) -> Option<&mut TargetRecord> {
        self.records.get_mut(target).map(|(_, record)| record)
    }

    /// Applies a health report. Reports of unknown targets are ignored.
    pub fn apply_report(&mut self, target: &str, report: TargetReport) {
        if let Some(record) = self.record_mut(target) {
            record.apply_report(report);
        }
    }

    /// Records how a request ended. Returns `true` if the target was ejected because of it.
    pub fn record_result(&mut self, target: &str, result: DispatchResult, now: Instant) -> bool {
        if let DispatchResult::Succeeded { latency } = result {
            let seconds = latency.as_secs_f64();
            let previous = self.average_latency_seconds.unwrap_or(seconds);
            self.average_latency_seconds = Some(
                PREVIOUS_LATENCY_WEIGHT * previous + (1.0 - PREVIOUS_LATENCY_WEIGHT) * seconds,
            );
        }
        match self.record_mut(target).map(|record| record.record_result(result, now)) {
            Some(true) => self.eject(target, now),
            _ => false,
        }
    }

    /// Selects a candidate and records a request as started there. Returns the candidate's index, or `None` if no
    /// candidate with a free slot may be used. `spill_share` is the share of requests, 0 to 1, that go to another failure
    /// domain even if this host's own has room. The first pass honours traffic weights and health, the second ignores
    /// weights, and the third also accepts targets that report themselves unhealthy.
    pub fn choose<R: Rng>(
        &mut self,
        candidates: &[PlacementCandidate<'_>],
        spill_share: f64,
        rng: &mut R,
        now: Instant,
    ) -> Option<usize> {
        let draw = self.next_draw(rng);
        let passes_weight = |candidate: &PlacementCandidate<'_>| draw < candidate.traffic_weight;
        let passes = [AdmissionRule::Healthy, AdmissionRule::Healthy, AdmissionRule::NotDraining];
        for (pass, rule) in passes.into_iter().enumerate() {
            let mut remaining = Vec::with_capacity(candidates.len());
            let free = (0..candidates.len()).filter(|index| candidates[*index].free_slots() > 0);
            remaining.extend(free.filter(|index| pass > 0 || passes_weight(&candidates[*index])));
            while let Some(domain) = choose_domain(candidates, &remaining, spill_share, rng) {
                let in_domain = |index: &usize| candidates[*index].domain == domain;
                let mut domain_indexes = Vec::with_capacity(remaining.len());
                domain_indexes.extend(remaining.iter().copied().filter(in_domain));
                if let Some(index) =
                    self.choose_in_domain(candidates, &mut domain_indexes, rule, rng, now)
                {
                    self.record_start(candidates[index].target, now);
                    return Some(index);
                }
                remaining.retain(|index| !in_domain(index));
            }
        }
        None
    }

    /// Next value of a low-discrepancy sequence in 0 to 1 with a random start. It is spread more evenly than random
    /// numbers, so that a shift moves its share of a small number of requests too.
    fn next_draw<R: Rng>(&mut self, rng: &mut R) -> f64 {
        let previous = self.last_draw.unwrap_or_else(|| rng.random());
        let draw = (previous + GOLDEN_RATIO_CONJUGATE).fract();
        self.last_draw = Some(draw);
        draw
    }

    fn record_start(&mut self, target: &str, now: Instant) {
        if let Some(record) = self.record_mut(target) {
            record.record_start(now);
        }
    }

    /// Draws up to two admitted candidates at random and selects the cheaper one (power of two choices).
    fn choose_in_domain<R: Rng>(
        &self,
        candidates: &[PlacementCandidate<'_>],
        domain_indexes: &mut Vec<usize>,
        rule: AdmissionRule,
        rng: &mut R,
        now: Instant,
    ) -> Option<usize> {
        let mut draw = || loop {
            let place = rng.random_range(0..domain_indexes.len().max(1));
            let index = (!domain_indexes.is_empty()).then(|| domain_indexes.swap_remove(place))?;
            if self.admits(candidates[index].target, rule, now) {
                return Some(index);
            }
        };
        let first = draw()?;
        match draw() {
            Some(second) => Some(self.choose_cheaper(candidates, first, second, now)),
            None => Some(first),
        }
    }

    /// Whether a target may get a request under a rule; targets without a record may.
    fn admits(&self, target: &str, rule: AdmissionRule, now: Instant) -> bool {
        match self.record(target) {
            None => true,
            Some(record) if record.report.is_draining() || !record.health.admits(now) => false,
            Some(record) => rule == AdmissionRule::NotDraining || !record.report.is_unhealthy(now),
        }
    }

    /// Selects the candidate of lower cost. If the costs are similar, trusted reports of load decide.
    fn choose_cheaper(
        &self,
        candidates: &[PlacementCandidate<'_>],
        first: usize,
        second: usize,
        now: Instant,
    ) -> usize {
        let costs = [first, second].map(|index| self.cost(&candidates[index], now));
        let loads = [first, second].map(|index| self.reported_load(&candidates[index], now));
        let is_similar =
            costs[0] < costs[1] * SIMILAR_COST_RATIO && costs[1] < costs[0] * SIMILAR_COST_RATIO;
        let second_wins = match loads {
            [Some(a), Some(b)] if is_similar && a != b => b < a,
            _ => costs[1] < costs[0],
        };
        if second_wins { second } else { first }
    }

    fn cost(&self, candidate: &PlacementCandidate<'_>, now: Instant) -> f64 {
        let average = self.average_latency_seconds.unwrap_or(DEFAULT_LATENCY_SECONDS);
        match self.record(candidate.target) {
            Some(record) => record.cost(candidate.in_flight, candidate.slots, average, now),
            None => {
                average * f64::from(candidate.in_flight + 1) / f64::from(candidate.slots.max(1))
            }
        }
    }

    fn reported_load(&self, candidate: &PlacementCandidate<'_>, now: Instant) -> Option<f64> {
        self.record(candidate.target)?.report.trusted_load(now)
    }

    /// Ejects a target unless more than `MAX_EJECTED_SHARE` of its group would be out; readmits it in that case.
    /// Returns whether the target is ejected.
    fn eject(&mut self, target: &str, now: Instant) -> bool {
        let Some((group, known)) = self.records.get(target) else { return false };
        let others = self.records.values().filter(|(other, _)| other == group);
        let (count, restricted) = others.fold((0, 0), |(count, restricted), (_, record)| {
            (count + 1, restricted + u32::from(record.health.is_restricted()))
        });
        let restricted_after = restricted + u32::from(!known.health.is_restricted());
        let can_eject = f64::from(restricted_after) <= f64::from(count) * MAX_EJECTED_SHARE;
        let Some(record) = self.record_mut(target) else { return false };
        match can_eject {
            true => record.health.eject(now),
            false => record.health.readmit(),
        }
        can_eject
    }
}

/// Selects the failure domain of a request. Usually this is the host's own if it has a usable candidate; a share of
/// requests goes to another domain, drawn at random by `spill_weight`.
fn choose_domain<'a, R: Rng>(
    candidates: &[PlacementCandidate<'a>],
    usable: &[usize],
    spill_share: f64,
    rng: &mut R,
) -> Option<&'a str> {
    let all = || usable.iter().map(|index| &candidates[*index]);
    let own = all().find(|candidate| candidate.round_trip.is_zero());
    let away = || all().filter(|candidate| !candidate.round_trip.is_zero());
    match own {
        Some(own) if spill_share <= 0.0 || rng.random::<f64>() >= spill_share => Some(own.domain),
        _ => {
            let total: f64 = away().map(spill_weight).sum();
            let mut point = rng.random::<f64>() * total;
            let drawn = away().find(|candidate| {
                point -= spill_weight(candidate);
                point < 0.0
            });
            drawn.or(own).or(away().next()).map(|candidate| candidate.domain)
        }
    }
}

/// Relative probability of a candidate in another failure domain: proportional to its free slots, and lower for a
/// longer round trip and a busier link.
fn spill_weight(candidate: &PlacementCandidate<'_>) -> f64 {
    let round_trip = candidate.round_trip.as_secs_f64().max(MIN_ROUND_TRIP_SECONDS);
    let link_factor = 1.0 + FULL_LINK_PENALTY * candidate.link_utilization.clamp(0.0, 1.0).powi(2);
    f64::from(candidate.free_slots()) * candidate.traffic_weight
        / (round_trip * round_trip * link_factor)
}
