//! Spill limit.

/// How much of a failure domain others may fill.
///
/// Each host works out its part alone from one lagging measurement. Its own requests at the time of the measurement
/// are part of what was measured, so the parts of all hosts together never exceed the room that there was.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillLimit {
    /// Slots of the service's targets there.
    pub slots: u32,
    /// Most of them that steering fills, in percent.
    pub max_utilization_percent: f64,
    /// Hosts that may spill there.
    pub hosts: u32,
}

impl SpillLimit {
    /// Slots that steering fills at most.
    pub fn max_fill(&self) -> u32 {
        let percent = match self.max_utilization_percent {
            percent if percent.is_finite() => percent.clamp(0.0, 100.0),
            _ => 0.0,
        };
        (f64::from(self.slots) * percent / 100.0).floor() as u32
    }

    /// Requests that one host may have in flight there, given how many were in flight in all and how many of them
    /// were its own at the time of the measurement.
    pub fn host_allowance(&self, busy: u32, own: u32) -> u32 {
        own + self.max_fill().saturating_sub(busy) / self.hosts.max(1)
    }
}
