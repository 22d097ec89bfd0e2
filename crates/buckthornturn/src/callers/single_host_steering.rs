//! Look-ups answered with this host alone.

use crate::callers::SteerAnswer;
use crate::callers::SteerHost;
use crate::interface::SteerLookup;
use crate::interface::SteerSource;

const STEER_TTL_SECONDS: u64 = 5;

/// Names this host only; stands in until steering knows the others.
pub struct SingleHostSteering {
    host: SteerHost,
}

impl SingleHostSteering {
    /// Steering to one host.
    pub fn new(host: SteerHost) -> Self {
        Self { host }
    }
}

impl SteerSource for SingleHostSteering {
    fn steer(&self, _lookup: &SteerLookup) -> SteerAnswer {
        SteerAnswer { hosts: vec![self.host.clone()], ttl_seconds: STEER_TTL_SECONDS }
    }
}
