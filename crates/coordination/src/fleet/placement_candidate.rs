//! Targets as one request sees them: what they cost it, and whether it is run there at all.

use crate::fleet::PlacementRequest;
use crate::fleet::target_balancer::TargetRecord;

/// Likelihood that an object is warm on the targets of the region that come first, second and third for it.
const NEAR_WARM_LIKELIHOODS: [f64; 3] = [0.7, 0.3, 0.15];
/// The same for targets of other regions, and how much more likely it is once a quarter of the requests runs there.
const FAR_WARM_LIKELIHOODS: [f64; 2] = [0.2, 0.05];
/// Likelihood that an object is warm on any other target.
const OTHER_WARM_LIKELIHOOD: f64 = 0.05;
/// Part of the latency objective that an answer may be expected to take for its wait to be of no concern.
const TIMELY_SHARE: f64 = 0.95;
/// Longest wait, as a part of the latency objective, of a request that will miss the objective: it holds a slot that
/// others could use in time.
const LATE_WAIT_SHARE: f64 = 0.25;
/// What each rank below the highest takes off both.
const SHARE_PER_PRIORITY: f64 = 0.05;
/// Part of the time left that an answer may be expected to take; the rest covers what the estimate misses.
const USABLE_TIME_SHARE: f64 = 0.9;
/// What is added to that for spilled objects.
const SPILLED_WARM_LIKELIHOOD: f64 = 0.4;
/// Least part of the objective that the lowest ranks keep.
const MIN_OBJECTIVE_SHARE: f64 = 0.1;

/// One target as a request sees it.
#[derive(Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub(super) record: &'a TargetRecord,
    pub(super) load: f64,
    pub(super) wait_seconds: f64,
    pub(super) work_seconds: f64,
    pub(super) expected_seconds: f64,
    pub(super) cost_seconds: f64,
    pub(super) is_warm: bool,
    pub(super) is_outside: bool,
}

/// Requests for each slot of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RegionPressure {
    pub(super) inside: f64,
    pub(super) outside: f64,
    pub(super) all: f64,
}

/// The targets that come first for an object, in the region and outside, by their scores.
#[derive(Default)]
pub(super) struct KeyRanks {
    pub(super) near: [(u64, usize); NEAR_WARM_LIKELIHOODS.len()],
    pub(super) far: [(u64, usize); FAR_WARM_LIKELIHOODS.len()],
}

/// Whether a request is run at all: its answer is expected in time, or it takes a slot that nobody waits for.
fn is_acceptable(candidate: &Candidate<'_>, request: &PlacementRequest<'_>) -> bool {
    let latency_objective = request.latency_objective.as_secs_f64();
    let reduction = SHARE_PER_PRIORITY * f64::from(request.priority);
    let seconds_of = |share: f64| (share - reduction).max(MIN_OBJECTIVE_SHARE) * latency_objective;
    let is_timely = candidate.expected_seconds <= seconds_of(TIMELY_SHARE);
    let is_hopeless =
        candidate.expected_seconds > request.time_left.as_secs_f64() * USABLE_TIME_SHARE;
    !is_hopeless && (is_timely || candidate.wait_seconds <= seconds_of(LATE_WAIT_SHARE))
}

pub(super) fn filter_acceptable<'a>(
    candidate: Option<Candidate<'a>>,
    request: &PlacementRequest<'_>,
) -> Option<Candidate<'a>> {
    candidate.filter(|found| is_acceptable(found, request))
}

impl KeyRanks {
    /// Whether the target with an index comes first for the object in the region.
    pub(super) fn is_first(&self, index: usize) -> bool {
        self.near[0].0 > 0 && self.near[0].1 == index
    }

    /// Likelihood that the object is warm on the target with an index.
    pub(super) fn warm_likelihood(&self, index: usize, spill_share: f64) -> f64 {
        let likelihood_of = |ranks: &[(u64, usize)], warm_likelihood: &[f64]| {
            let found = ranks.iter().position(|(score, at)| *score > 0 && *at == index);
            found.and_then(|rank| warm_likelihood.get(rank).copied())
        };
        let far = FAR_WARM_LIKELIHOODS.map(|warm_likelihood| {
            warm_likelihood + SPILLED_WARM_LIKELIHOOD * (spill_share * 4.0).min(1.0)
        });
        likelihood_of(&self.near, &NEAR_WARM_LIKELIHOODS)
            .or_else(|| likelihood_of(&self.far, &far))
            .unwrap_or(OTHER_WARM_LIKELIHOOD)
    }
}

/// Puts a score among the highest, best first.
pub(super) fn insert_rank(ranks: &mut [(u64, usize)], mut entry: (u64, usize)) {
    for rank in ranks {
        if entry.0 > rank.0 {
            std::mem::swap(rank, &mut entry);
        }
    }
}
