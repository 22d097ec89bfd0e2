//! Target weights without steering: every target has full weight, and the least loaded one is chosen.

use std::time::Instant;

use crate::interface::AdmissionRequest;
use crate::interface::DispatchOutcome;
use crate::interface::TargetCandidate;
use crate::interface::TargetWeights;

/// Chooses the candidate with the fewest requests in flight per slot, and among equals one that this host owns.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastInFlight;

impl TargetWeights for LeastInFlight {
    fn weight(&self, _target: &str, _now: Instant) -> f64 {
        1.0
    }

    fn choose(
        &self,
        _request: &AdmissionRequest,
        candidates: &[TargetCandidate],
        _now: Instant,
    ) -> Option<usize> {
        let load = |candidate: &TargetCandidate| {
            u64::from(candidate.in_flight) * 1_000 / u64::from(candidate.slots.max(1))
        };
        let key = |index: &usize| {
            candidates.get(*index).map(|candidate| (load(candidate), !candidate.is_owned))
        };
        (0..candidates.len()).min_by_key(key)
    }

    fn record_outcome(&self, _target: &str, _outcome: &DispatchOutcome, _now: Instant) {}
}
