//! Placement candidate.

use std::time::Duration;

/// A target with a free slot on this host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementCandidate<'a> {
    /// Target.
    pub target: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Slots that this host may fill now.
    pub slots: u32,
    /// Requests that this host has in flight there.
    pub in_flight: u32,
    /// Round trip to the failure domain; zero for this host's own.
    pub round_trip: Duration,
    /// Share of its usual traffic that the failure domain gets during a shift, 0 to 1.
    pub traffic_weight: f64,
    /// Spent share of this host's part of the link to there, 0 to 1; 0 within the region.
    pub link_utilization: f64,
}

impl PlacementCandidate<'_> {
    /// Slots that are free.
    pub fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.in_flight)
    }
}
