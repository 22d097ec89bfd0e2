//! Targets as one request sees them: what they cost it, and whether it is run there at all.

use crate::fleet::PlacementAsk;
use crate::fleet::target_board::TargetRecord;

/// Likelihood that an object is warm on the targets of the region that come first, second and third for it.
const NEAR_WARMTH: [f64; 3] = [0.7, 0.3, 0.15];
/// The same for targets of other regions, and how much more likely it is once a quarter of the requests runs there.
const FAR_WARMTH: [f64; 2] = [0.2, 0.05];
/// Likelihood that an object is warm on any other target.
const OTHER_WARMTH: f64 = 0.05;
/// Part of the latency objective that an answer may be expected to take for its wait to be of no concern.
const TIMELY_PART: f64 = 0.95;
/// Longest wait, as a part of the latency objective, of a request that will miss the objective: it holds a slot that
/// others could use in time.
const LATE_WAIT_PART: f64 = 0.25;
/// What each rank below the highest takes off both.
const PART_PER_RANK: f64 = 0.05;
/// Part of the time left that an answer may be expected to take; the rest covers what the estimate misses.
const USABLE_TIME: f64 = 0.9;
/// What is added to that for spilled objects.
const SPILLED_WARMTH: f64 = 0.4;
/// Least part of the objective that the lowest ranks keep.
const MIN_PART: f64 = 0.1;

/// One target as a request sees it.
#[derive(Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub(super) record: &'a TargetRecord,
    pub(super) load: f64,
    pub(super) wait: f64,
    pub(super) work: f64,
    pub(super) expected: f64,
    pub(super) cost: f64,
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
    pub(super) near: [(u64, usize); NEAR_WARMTH.len()],
    pub(super) far: [(u64, usize); FAR_WARMTH.len()],
}

/// Whether a request is run at all: its answer is expected in time, or it takes a slot that nobody waits for.
fn is_worth_it(candidate: &Candidate<'_>, ask: &PlacementAsk<'_>) -> bool {
    let objective = ask.objective.as_secs_f64();
    let less = PART_PER_RANK * f64::from(ask.priority);
    let part = |most: f64| (most - less).max(MIN_PART) * objective;
    let is_timely = candidate.expected <= part(TIMELY_PART);
    let is_hopeless = candidate.expected > ask.time_left.as_secs_f64() * USABLE_TIME;
    !is_hopeless && (is_timely || candidate.wait <= part(LATE_WAIT_PART))
}

pub(super) fn worthy<'a>(
    side: Option<Candidate<'a>>,
    ask: &PlacementAsk<'_>,
) -> Option<Candidate<'a>> {
    side.filter(|found| is_worth_it(found, ask))
}

impl KeyRanks {
    /// Whether the target with an index comes first for the object in the region.
    pub(super) fn is_first(&self, index: usize) -> bool {
        self.near[0].0 > 0 && self.near[0].1 == index
    }

    /// Likelihood that the object is warm on the target with an index.
    pub(super) fn warmth(&self, index: usize, spilled: f64) -> f64 {
        let place = |ranks: &[(u64, usize)], warmth: &[f64]| {
            let found = ranks.iter().position(|(score, at)| *score > 0 && *at == index);
            found.and_then(|rank| warmth.get(rank).copied())
        };
        let far = FAR_WARMTH.map(|warmth| warmth + SPILLED_WARMTH * (spilled * 4.0).min(1.0));
        place(&self.near, &NEAR_WARMTH).or_else(|| place(&self.far, &far)).unwrap_or(OTHER_WARMTH)
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
