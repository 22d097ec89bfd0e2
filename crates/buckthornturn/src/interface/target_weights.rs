//! Interface by which steering decides how much traffic targets get and which of them gets the next request.

use std::time::Instant;

use coordination::ids::DomainId;
use coordination::ids::RegionId;
use coordination::ids::TargetId;

use crate::interface::AdmissionRequest;
use crate::interface::DispatchOutcome;

/// A target with a free slot on this host.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetCandidate {
    /// Name of the target.
    pub target: TargetId,
    /// Failure domain of the target.
    pub failure_domain: DomainId,
    /// Region of the target.
    pub region: RegionId,
    /// Slots of the target that this host may use now, both owned and leased, before the weight is applied.
    pub slots: u32,
    /// Requests that this host has in flight on the target.
    pub in_flight: u32,
    /// Whether this host owns the target's slots, rather than only leases them.
    pub is_owned: bool,
}

/// Steering decisions for admission control, from drains, shifts, warm-up and health. The methods are called for each
/// request and must not block.
pub trait TargetWeights: Send + Sync {
    /// Returns the share of a target's slots that may be filled, from 0 to 1. With 0 it gets no new requests. Above 0,
    /// admission control fills at least one slot, so that a cold target can warm up.
    fn weight(&self, target: &str, now: Instant) -> f64;

    /// Returns the share of this host's requests of a service that may run in its own failure domain, from 0 to 1; the
    /// rest needs slots elsewhere. It is less than 1 while the domain is drained.
    fn own_domain_share(&self, _service: &str) -> f64 {
        1.0
    }

    /// Returns the index of the candidate that gets the request, or `None` if none of them should get it now. All
    /// candidates have a free slot and a weight above 0.
    fn choose(
        &self,
        request: &AdmissionRequest,
        candidates: &[TargetCandidate],
        now: Instant,
    ) -> Option<usize>;

    /// Records the outcome of a request that was sent to a target.
    fn record_outcome(&self, target: &str, outcome: &DispatchOutcome, now: Instant);
}
