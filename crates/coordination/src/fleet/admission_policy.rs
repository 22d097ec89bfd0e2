//! Admission to a service that routes of different priority share: which requests are refused while capacity is short.
//!
//! Load that this answers: a route with short work and a tight objective shares targets with one whose work is longer and whose
//! objective allows waits. By the objective of each request alone the second one fills slots and queues, so that the first
//! one, which is worth several times as much for the time that it takes, is late or refused.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::PlacementRequest;
use crate::fleet::admission_limit::AdmissionLimit;
use crate::fleet::customer_usage::CustomerUsage;
use crate::fleet::placement_candidate::Candidate;

/// Share of the urgent requests that are to be served in time; the shares of less urgent requests shrink below it.
const TIMELY_GOAL: f64 = 0.95;
/// Time constant of the moving averages of what requests find, and the bounds of the weight of one request.
const FOUND_AVERAGE_TIME: Duration = Duration::from_secs(1);
const FOUND_WEIGHT_BOUNDS: (f64, f64) = (0.03, 0.3);
/// Fastest change per second of the share of the slots that the least urgent requests may fill. It shrinks within a service time or two, as
/// a burst fills the slots within one, and grows slowly, so that it doesn't swing with each wave.
const SHRINK_PER_SECOND: f64 = 2.0;
const GROWTH_PER_SECOND: f64 = 0.4;
/// Bounds of the share of the slots that less urgent requests may fill.
const SHARE_BOUNDS: (f64, f64) = (0.3, 1.0);
/// Part of the mean share of requests served below which no priority falls, whatever the pressure; a little more than
/// the quarter that is promised.
const GUARANTEED_PART: f64 = 0.15;
/// Requests that a priority may have saved up of what it is guaranteed.
const MAX_CREDIT: f64 = 2.0;

/// Admission of the requests of one service by priority.
#[derive(Clone, Debug)]
pub(super) struct AdmissionPolicy {
    /// Priorities of the service's routes, most urgent first.
    priorities: Vec<u32>,
    /// What requests found, by place in `priorities`.
    levels: Vec<LevelRecord>,
    /// Share of the slots that the requests of a level may fill; the last entry is for customers of the last level that get
    /// more than their share. Level 0 has no such limit.
    shares: Vec<f64>,
    /// Share of all requests that were served lately.
    served: f64,
    updated_at: Option<Instant>,
}

/// What became of a request, as far as admission is concerned.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmissionOutcome {
    /// Expected work in seconds on the target that runs it; `None` if it was refused.
    work_seconds: Option<f64>,
    /// Whether it runs and its answer is expected within the objective.
    is_timely: bool,
    /// Whether the answer would be expected within the objective if no request waited. One that would be late on a free
    /// target as well tells nothing about the load.
    may_be_timely: bool,
}

#[derive(Clone, Debug)]
struct LevelRecord {
    /// Share of requests that were served in time, of those that would have been on free targets.
    timely: f64,
    recorded_at: Option<Instant>,
    /// Share of requests that were admitted.
    admitted: f64,
    /// Requests that the level may run beyond its share of the slots.
    credit: f64,
    /// Work of the level by customer.
    usage: CustomerUsage,
}

impl AdmissionPolicy {
    /// Creates the policy of a service whose routes have the given priorities; `None` if they have only one.
    pub(super) fn new(priorities: impl IntoIterator<Item = u32>) -> Option<Self> {
        let mut priorities: Vec<u32> = priorities.into_iter().collect();
        priorities.sort_unstable();
        priorities.dedup();
        let usage = CustomerUsage::default();
        let level =
            LevelRecord { timely: 1.0, recorded_at: None, admitted: 1.0, credit: 0.0, usage };
        let (levels, shares) =
            (vec![level; priorities.len()], vec![SHARE_BOUNDS.1; priorities.len() + 1]);
        let policy = Self { priorities, levels, shares, served: 1.0, updated_at: None };
        (policy.priorities.len() > 1).then_some(policy)
    }

    /// Returns the priorities of the service's routes, most urgent first.
    pub(super) fn priorities(&self) -> &[u32] {
        &self.priorities
    }

    /// Returns what is allowed for a request. A customer that got more than its share counts as one level less urgent; its most
    /// urgent requests run on free slots only.
    pub(super) fn limit(&self, request: &PlacementRequest<'_>, now: Instant) -> AdmissionLimit {
        let level = self.level_of(request.priority);
        let LevelRecord { credit, admitted, ref usage, .. } = self.levels[level];
        let is_above_share = usage.is_above_share(request.customer, now);
        let max_share = match (level, is_above_share) {
            (0, true) => Some(SHARE_BOUNDS.1),
            (level, true) => Some(self.shares[level + 1]),
            (0, false) => None,
            (_, false) if credit >= 1.0 => None,
            (level, false) => Some(self.shares[level]),
        };
        AdmissionLimit { max_share, admitted }
    }

    /// Records whether a request was admitted.
    pub(super) fn record(
        &mut self,
        request: &PlacementRequest<'_>,
        outcome: AdmissionOutcome,
        now: Instant,
    ) {
        let level = self.level_of(request.priority);
        if outcome.is_timely || outcome.may_be_timely {
            self.levels[level].record(outcome.is_timely, now);
        }
        let is_served = f64::from(u8::from(outcome.work_seconds.is_some()));
        self.served += FOUND_WEIGHT_BOUNDS.0 * (is_served - self.served);
        let admitted = &mut self.levels[level].admitted;
        *admitted += FOUND_WEIGHT_BOUNDS.0 * (is_served - *admitted);
        let credit = self.levels[level].credit + GUARANTEED_PART * self.served - is_served;
        self.levels[level].credit = credit.clamp(-MAX_CREDIT, MAX_CREDIT);
        if let (Some(seconds), Some(customer)) = (outcome.work_seconds, request.customer) {
            self.levels[level].usage.add(customer, seconds, now);
        }
        self.update_shares(now);
    }

    /// Moves the shares of the slots by how the more urgent requests fare. Those of the least urgent ones shrink first.
    fn update_shares(&mut self, now: Instant) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(updated_at).as_secs_f64().min(1.0);
        let last = (self.shares.len() - 1) as f64;
        let mut least_timely = 1.0_f64;
        for (level, share) in self.shares.iter_mut().enumerate().skip(1) {
            least_timely = least_timely.min(self.levels[level - 1].timely);
            let part = level as f64 / last;
            let step = match least_timely < TIMELY_GOAL {
                true => -SHRINK_PER_SECOND * part,
                false => GROWTH_PER_SECOND / part.max(f64::MIN_POSITIVE),
            };
            *share = (*share + step * elapsed).clamp(SHARE_BOUNDS.0, SHARE_BOUNDS.1);
        }
    }

    fn level_of(&self, priority: u32) -> usize {
        let level = self.priorities.partition_point(|known| *known < priority);
        level.min(self.priorities.len() - 1)
    }
}

impl AdmissionOutcome {
    /// Creates the outcome of a request that runs on one of the candidates, or on none.
    pub(super) fn new(
        request: &PlacementRequest<'_>,
        ran: Option<&Candidate<'_>>,
        candidates: &[Candidate<'_>],
    ) -> Self {
        let objective = request.latency_objective.as_secs_f64();
        let may_be_timely =
            |one: &Candidate<'_>| one.expected_seconds - one.wait_seconds <= objective;
        Self {
            work_seconds: ran.map(|ran| ran.work_seconds),
            is_timely: ran.is_some_and(|ran| ran.expected_seconds <= objective),
            may_be_timely: candidates.iter().any(may_be_timely),
        }
    }
}

impl LevelRecord {
    fn record(&mut self, is_timely: bool, now: Instant) {
        let recorded_at = self.recorded_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(recorded_at).as_secs_f64();
        let weight = 1.0 - (-elapsed / FOUND_AVERAGE_TIME.as_secs_f64()).exp();
        let weight = weight.clamp(FOUND_WEIGHT_BOUNDS.0, FOUND_WEIGHT_BOUNDS.1);
        self.timely += weight * (f64::from(u8::from(is_timely)) - self.timely);
    }
}
