//! Input from which all hosts compute the same shift.

use std::time::SystemTime;

use indexmap::IndexMap;

use crate::ids::DomainId;
use crate::shift::DomainCapacity;
use crate::shift::ShiftForecast;
use crate::shift::ShiftOrder;
use crate::shift::ShiftPosition;
use crate::shift::shift_replay::ShiftReplay;

/// Cap, capacities and orders that determine a service's shift.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShiftInput {
    /// Upper limit on the share of the service's traffic that moves between failure domains, in percent per minute.
    pub cap_percent_per_minute: f64,
    /// Capacity of the service in each of its failure domains.
    pub domains: Vec<DomainCapacity>,
    /// Orders to drain and refill failure domains, in any sequence.
    pub orders: Vec<ShiftOrder>,
}

impl ShiftInput {
    /// Computes the position of each failure domain at `now`.
    pub fn positions_at(&self, now: SystemTime) -> IndexMap<DomainId, ShiftPosition> {
        let mut replay = ShiftReplay::new(self);
        replay.run_until(now);
        self.domains
            .iter()
            .map(|capacity| capacity.domain.clone())
            .zip(replay.positions())
            .collect()
    }

    /// Forecasts from `now` when each order that moves traffic away will be done.
    pub fn forecast(&self, now: SystemTime) -> ShiftForecast {
        ShiftForecast::new(self, now)
    }
}
