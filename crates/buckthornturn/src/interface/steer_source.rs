//! Interface that answers callers' look-ups of entry hosts.

use std::net::IpAddr;

use coordination::ids::ServiceId;

use crate::callers::SteerAnswer;

/// One look-up of entry hosts by a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct SteerLookup {
    /// Service that the caller wants to reach; `None` if the look-up names none.
    pub service: Option<ServiceId>,
    /// Address from which the look-up was sent.
    pub caller: IpAddr,
}

/// Answers look-ups. Implementations must not block.
pub trait SteerSource: Send + Sync {
    /// Returns the entry hosts for a caller, most preferred first.
    fn steer(&self, lookup: &SteerLookup) -> SteerAnswer;
}
