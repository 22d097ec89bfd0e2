//! Which targets may get work, and which of them gets the next request.

use std::time::Instant;

use coordination::ids::DomainId;
use coordination::ids::RegionId;
use coordination::ids::TargetId;

use crate::interface::AdmissionRequest;
use crate::interface::DispatchOutcome;

/// A target with a free slot on this host.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetCandidate {
    /// Target.
    pub target: TargetId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Slots of it that this host may fill now, owned and leased, before the weight is applied.
    pub slots: u32,
    /// Requests that this host has in flight there.
    pub in_flight: u32,
    /// Whether this host owns the target's slots.
    pub is_owned: bool,
}

/// Steering as the gate sees it: drains, shifts, warm-up and health. Called on the request path; must not wait.
pub trait TargetWeights: Send + Sync {
    /// Part of a target's slots that may be filled, 0 to 1. With 0 it gets no new work. Between 0 and 1 the gate
    /// fills at least one slot, so that a cold target can warm up.
    fn weight(&self, target: &str, now: Instant) -> f64;

    /// Share of this host's requests of a service that may run in its own failure domain, 0 to 1; the gate needs
    /// slots elsewhere for the rest. Less than 1 while the domain is drained.
    fn own_domain_share(&self, _service: &str) -> f64 {
        1.0
    }

    /// Chooses one of the candidates by its index. All of them have a free slot and a weight above 0.
    fn choose(
        &self,
        request: &AdmissionRequest,
        candidates: &[TargetCandidate],
        now: Instant,
    ) -> Option<usize>;

    /// Takes note of how a dispatch ended.
    fn record_outcome(&self, target: &str, outcome: &DispatchOutcome, now: Instant);
}
