//! Steering look-ups that are answered with a single host.

use crate::callers::SteerAnswer;
use crate::callers::SteerHost;
use crate::interface::SteerLookup;
use crate::interface::SteerSource;

const STEER_TTL_SECONDS: u64 = 5;

/// Answers every look-up with one fixed host, until steering knows other hosts.
pub struct SingleHostSteering {
    host: SteerHost,
}

impl SingleHostSteering {
    /// Creates a source that always answers with `host`.
    pub fn new(host: SteerHost) -> Self {
        Self { host }
    }
}

impl SteerSource for SingleHostSteering {
    fn steer(&self, _lookup: &SteerLookup) -> SteerAnswer {
        SteerAnswer { hosts: vec![self.host.clone()], ttl_seconds: STEER_TTL_SECONDS }
    }
}
