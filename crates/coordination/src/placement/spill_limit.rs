//! Limit on the requests that a host spills to another failure domain.

/// Bounds how far the hosts of other failure domains fill one failure domain.
///
/// Each host computes its allowance on its own from one delayed measurement. The measured load includes the host's own
/// requests at that time, so the allowances of all hosts together never exceed the capacity that was free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillLimit {
    /// Slots of the service's targets in the failure domain.
    pub slots: u32,
    /// Utilization up to which steering fills the slots, in percent.
    pub max_utilization_percent: f64,
    /// Number of hosts that may spill to the failure domain.
    pub hosts: u32,
}

impl SpillLimit {
    /// Number of slots that steering may fill; 0 if the percentage is not a finite number.
    pub fn max_fill(&self) -> u32 {
        let percent = match self.max_utilization_percent {
            percent if percent.is_finite() => percent.clamp(0.0, 100.0),
            _ => 0.0,
        };
        (f64::from(self.slots) * percent / 100.0).floor() as u32
    }

    /// Number of requests that one host may have in flight in the failure domain. `busy` is the number in flight from
    /// all hosts at the time of the measurement, `own` the part of it that came from this host.
    pub fn host_allowance(&self, busy: u32, own: u32) -> u32 {
        own + self.max_fill().saturating_sub(busy) / self.hosts.max(1)
    }
}
