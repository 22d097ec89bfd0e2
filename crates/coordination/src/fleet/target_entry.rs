//! A target as it registered itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DomainId;
use crate::ids::RegionId;
use crate::ids::ServiceId;
use crate::ids::TargetId;

/// Whether a target takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// A target as it registered itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetEntry {
    /// Target.
    pub target: TargetId,
    /// Start of its process in milliseconds since 1970 by its own clock; a change means that it started again.
    pub started_at: u64,
    /// Service it runs.
    pub service: ServiceId,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: TargetState,
    /// Time for which it stays cold from the moment of the entry.
    pub cold_for: Duration,
}
