//! Capacity of a service in one failure domain.

use std::time::Duration;

use crate::ids::DomainId;

/// Capacity of a service in one failure domain; its share of all slots is its share of traffic if nothing is shifted.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainCapacity {
    /// Name of the failure domain.
    pub domain: DomainId,
    /// Slots of the service's usable targets in the failure domain.
    pub slots: u32,
    /// Longest warm-up time of these targets.
    pub warm_up: Duration,
}
