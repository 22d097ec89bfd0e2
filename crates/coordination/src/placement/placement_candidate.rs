//! Candidate of a placement decision.

use std::time::Duration;

/// A target that may be selected for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementCandidate<'a> {
    /// Name of the target.
    pub target: &'a str,
    /// Failure domain in which the target runs.
    pub domain: &'a str,
    /// Slots of the target that this host may use at the moment.
    pub slots: u32,
    /// Requests that this host has in flight on the target.
    pub in_flight: u32,
    /// Round-trip time to the failure domain; zero for this host's own.
    pub round_trip: Duration,
    /// Share of its usual traffic that the failure domain gets during a shift, 0 to 1; 1 if nothing is shifted.
    pub traffic_weight: f64,
    /// Utilization of this host's share of the link to the failure domain, 0 to 1; 0 within the region.
    pub link_utilization: f64,
}

impl PlacementCandidate<'_> {
    /// Number of slots without a request of this host; 0 if the limit fell below the requests in flight.
    pub fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.in_flight)
    }
}
