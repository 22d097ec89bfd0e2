//! Domain share.

use std::time::Duration;

use crate::ids::DomainId;

/// What one failure domain carries of a service when nothing is shifted.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainCapacity {
    /// Failure domain.
    pub domain: DomainId,
    /// Slots of the service's usable targets there.
    pub slots: u32,
    /// Longest warm-up of these targets.
    pub warm_up: Duration,
}
