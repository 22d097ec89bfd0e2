//! Cost of a target for one request, and the decision whether it can answer the request in time.

use std::time::Duration;

use crate::fleet::ObjectWarmth;
use crate::fleet::PlacementChoice;
use crate::fleet::PlacementRequest;
use crate::fleet::admission_limit::AdmissionLimit;
use crate::fleet::target_balancer::TargetRecord;

/// Likelihood that an object is warm on the first-, second- and third-ranked target of the own region.
const NEAR_WARM_LIKELIHOODS: [f64; 3] = [0.7, 0.3, 0.15];
/// Likelihood that an object is warm on the first- and second-ranked target of other regions, before
/// `SPILLED_WARM_LIKELIHOOD` is added.
const FAR_WARM_LIKELIHOODS: [f64; 2] = [0.2, 0.05];
/// Likelihood that an object is warm on a target that is not among the ranked ones.
const OTHER_WARM_LIKELIHOOD: f64 = 0.05;
/// Likelihood added to `FAR_WARM_LIKELIHOODS` once a quarter of the requests runs outside; smaller spill shares add
/// proportionally less.
const SPILLED_WARM_LIKELIHOOD: f64 = 0.4;

/// A target that may run a request, with its expected times and cost. Costs are expected seconds plus penalties for
/// distance, failures and pressure.
#[derive(Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub(super) record: &'a TargetRecord,
    pub(super) load: f64,
    /// Requests that the target takes at most; infinite while that is not known.
    pub(super) places: f64,
    /// Mean time that the target works on a request of the service.
    pub(super) service_seconds: f64,
    /// Time that the target works on a request as a multiple of the average target's.
    pub(super) slowdown: f64,
    /// Time by which the answer may come later than expected.
    pub(super) margin_seconds: f64,
    /// Round trip to the target.
    pub(super) trip_seconds: f64,
    pub(super) wait_seconds: f64,
    pub(super) work_seconds: f64,
    pub(super) expected_seconds: f64,
    pub(super) cost_seconds: f64,
    pub(super) warmth: ObjectWarmth,
    pub(super) side: TargetSide,
}

/// Where a target stands, as seen from a host that places a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TargetSide {
    /// In the host's region.
    Inside,
    /// In the region outside in which the request is to run if it does not run inside.
    Outside,
    /// In a further region.
    Elsewhere,
}

impl Candidate<'_> {
    /// Whether the target takes another request while `ahead` more than now are on it.
    pub(super) fn has_place(&self, ahead: f64) -> bool {
        self.load + ahead + 1.0 <= self.places
    }

    /// Expected wait in seconds of a request in front of which are `ahead` more requests than now.
    pub(super) fn wait_behind(&self, ahead: f64) -> f64 {
        let slots = f64::from(self.record.entry.slots.max(1));
        (self.load + ahead + 1.0 - slots).max(0.0) / slots * self.service_seconds
    }

    /// Expected time in seconds until the answer to a request that does not wait and that takes an average target
    /// `work_seconds`.
    pub(super) fn seconds_of(&self, work_seconds: f64) -> f64 {
        work_seconds * self.slowdown + self.trip_seconds
    }

    /// Time in seconds within which the answer comes in nearly all cases. What a free slot makes of a request is only found out
    /// by its answer, so that no margin is kept there.
    pub(super) fn latest_seconds(&self) -> f64 {
        let margin = if self.wait_seconds > 0.0 { self.margin_seconds } else { 0.0 };
        self.expected_seconds + margin
    }

    /// Whether the target takes the request and is expected to answer it before its deadline. A request for an object waits only
    /// where the object is likely to be warm: a cold run in a queue takes the time of several others that wait.
    pub(super) fn takes(&self, request: &PlacementRequest<'_>) -> bool {
        let time_left = request.time_left.as_secs_f64();
        let may_wait = request.object_hash.is_none() || self.warmth != ObjectWarmth::Unlikely;
        (may_wait || self.wait_seconds <= 0.0)
            && self.has_place(0.0)
            && self.latest_seconds() <= time_left
    }

    /// Choice of this candidate, where the region of the host has `pressure` requests per slot.
    pub(super) fn choice(&self, pressure: f64) -> PlacementChoice {
        let entry = &self.record.entry;
        PlacementChoice {
            target: entry.target.clone(),
            started_at: entry.started_at,
            address: entry.address,
            failure_domain: entry.failure_domain.clone(),
            warmth: self.warmth,
            load: self.load,
            wait: Duration::from_secs_f64(self.wait_seconds),
            expected_time: Duration::from_secs_f64(self.expected_seconds),
            pressure,
        }
    }
}

/// Requests per slot of a service, in the own region, in other regions and overall.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RegionPressure {
    pub(super) inside: f64,
    pub(super) outside: f64,
    pub(super) all: f64,
}

/// Targets that may run a request, with what decides among them.
pub(super) struct CandidateSet<'a> {
    pub(super) candidates: Vec<Candidate<'a>>,
    pub(super) pressure: RegionPressure,
    /// Room that the request leaves for others.
    pub(super) limit: AdmissionLimit,
}

impl<'a> CandidateSet<'a> {
    /// Whether a candidate answers the request in time and has room beside those that come first.
    pub(super) fn admits(&self, candidate: &Candidate<'_>, request: &PlacementRequest<'_>) -> bool {
        candidate.takes(request) && self.limit.admits(candidate)
    }

    /// Candidate with the lowest cost of those on one side that answer the request in time. If it leaves no room there for those
    /// that come first, the request takes a free slot of another one if the slots of that side would do even if all requests took
    /// as much work as there. In a queue elsewhere, or with fewer slots, a cold run would take more room from those that come first.
    pub(super) fn cheapest(
        &self,
        side: TargetSide,
        request: &PlacementRequest<'_>,
    ) -> Option<Candidate<'a>> {
        let in_time = || {
            let on_side = self.candidates.iter().filter(move |candidate| candidate.side == side);
            on_side.filter(|candidate| candidate.takes(request))
        };
        let by_cost =
            |a: &&Candidate<'a>, b: &&Candidate<'a>| a.cost_seconds.total_cmp(&b.cost_seconds);
        let cheapest = in_time().min_by(by_cost)?;
        if self.limit.admits(cheapest) {
            return Some(*cheapest);
        }
        let pressure = match side {
            TargetSide::Inside => self.pressure.inside,
            TargetSide::Outside | TargetSide::Elsewhere => self.pressure.outside,
        };
        let is_spare = |one: &&Candidate<'a>| {
            one.wait_seconds <= 0.0 && pressure * one.work_seconds <= cheapest.work_seconds
        };
        in_time().filter(is_spare).min_by(by_cost).copied()
    }

    /// Whether any target on a side is open to the request, with room or without.
    pub(super) fn has_open(&self, side: TargetSide) -> bool {
        self.candidates.iter().any(|candidate| candidate.side == side)
    }
}

/// The highest-ranked targets for an object, as pairs of score and index, best first; a score of 0 marks an empty
/// place.
#[derive(Default)]
pub(super) struct KeyRanks {
    pub(super) near: [(u64, usize); NEAR_WARM_LIKELIHOODS.len()],
    pub(super) far: [(u64, usize); FAR_WARM_LIKELIHOODS.len()],
}

impl KeyRanks {
    /// Whether the target at an index ranks first for the object in the own region.
    pub(super) fn is_first(&self, index: usize) -> bool {
        self.near[0].0 > 0 && self.near[0].1 == index
    }

    /// Whether other hosts send the object to the target at an index, and the likelihood, 0 to 1, that it is warm there.
    /// `home_likelihoods` are those of the homes inside and outside the own region, and `spill_share` of the requests runs
    /// outside.
    pub(super) fn expected_warmth(
        &self,
        index: usize,
        home_likelihoods: [f64; 2],
        spill_share: f64,
    ) -> (ObjectWarmth, f64) {
        let is_home = self.is_first(index) || self.far[0].0 > 0 && self.far[0].1 == index;
        let warmth = if is_home { ObjectWarmth::Likely } else { ObjectWarmth::Unlikely };
        let likelihood_of = |ranks: &[(u64, usize)], home: f64, others: &[f64]| {
            let found = ranks.iter().position(|(score, at)| *score > 0 && *at == index)?;
            if found == 0 { Some(home) } else { others.get(found).copied() }
        };
        let far = far_likelihoods(spill_share);
        let likelihood = likelihood_of(&self.near, home_likelihoods[0], &NEAR_WARM_LIKELIHOODS)
            .or_else(|| likelihood_of(&self.far, home_likelihoods[1], &far))
            .unwrap_or(OTHER_WARM_LIKELIHOOD);
        (warmth, likelihood)
    }
}

fn far_likelihoods(spill_share: f64) -> [f64; FAR_WARM_LIKELIHOODS.len()] {
    FAR_WARM_LIKELIHOODS
        .map(|likelihood| likelihood + SPILLED_WARM_LIKELIHOOD * (spill_share * 4.0).min(1.0))
}

/// Likelihoods assumed before any measurement that an object is warm on its home inside and outside the own region, where
/// `spill_share` of the requests runs outside.
pub(super) fn home_priors(spill_share: f64) -> [f64; 2] {
    [NEAR_WARM_LIKELIHOODS[0], far_likelihoods(spill_share)[0]]
}

/// Inserts a score into the ranks, best first, and drops the lowest.
pub(super) fn insert_rank(ranks: &mut [(u64, usize)], mut entry: (u64, usize)) {
    for rank in ranks {
        if entry.0 > rank.0 {
            std::mem::swap(rank, &mut entry);
        }
    }
}
