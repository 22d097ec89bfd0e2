//! Shift input.

use std::time::SystemTime;

use indexmap::IndexMap;

use crate::ids::DomainId;
use crate::shift::DomainCapacity;
use crate::shift::ShiftForecast;
use crate::shift::ShiftOrder;
use crate::shift::ShiftPosition;
use crate::shift::shift_replay::ShiftReplay;

/// Everything that decides where a service's traffic goes in a shift.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShiftInput {
    /// Most of the service's traffic that may change place in one minute, in percent.
    pub cap_percent_per_minute: f64,
    /// The service's failure domains.
    pub domains: Vec<DomainCapacity>,
    /// Orders, in any order.
    pub orders: Vec<ShiftOrder>,
}

impl ShiftInput {
    /// Position of each failure domain at a time.
    pub fn positions_at(&self, now: SystemTime) -> IndexMap<DomainId, ShiftPosition> {
        let mut replay = ShiftReplay::new(self);
        replay.run_until(now);
        self.domains
            .iter()
            .map(|capacity| capacity.domain.clone())
            .zip(replay.positions())
            .collect()
    }

    /// What is left of each order at a time, and when it will be done.
    pub fn forecast(&self, now: SystemTime) -> ShiftForecast {
        ShiftForecast::new(self, now)
    }
}
