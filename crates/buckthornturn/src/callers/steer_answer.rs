//! Answer to a steering look-up: the entry hosts that a caller should use.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Answer to a steering look-up.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SteerAnswer {
    /// Entry hosts in order of preference, best first.
    pub hosts: Vec<SteerHost>,
    /// Time for which the caller may use the answer, in seconds.
    pub ttl_seconds: u64,
}

/// Entry host that a caller may connect to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SteerHost {
    /// Address on which the host accepts callers.
    pub address: SocketAddr,
    /// Failure domain that the host runs in.
    pub failure_domain: Box<str>,
    /// Region that the host runs in.
    pub region: Box<str>,
}
