//! Registration of a target, as written by the target itself.

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
    /// The target takes new requests.
    Ready,
    /// The target finishes its requests and takes no new ones.
    Draining,
}

/// Registration of a target with its address, capacity and state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetEntry {
    /// Name that is unique among all targets.
    pub target: TargetId,
    /// Start of the target's process in milliseconds since 1970 by its own clock; a change means a restart.
    pub started_at: u64,
    /// Service that the target runs.
    pub service: ServiceId,
    /// Address on which the target accepts requests.
    pub address: SocketAddr,
    /// Failure domain that the target runs in.
    pub failure_domain: DomainId,
    /// Region that contains the failure domain.
    pub region: RegionId,
    /// Requests that the target works on at the same time; further ones wait.
    pub slots: u32,
    /// Whether the target takes new requests, as set by the target itself.
    pub state: TargetState,
    /// Time for which the target stays cold, counted from the receipt of the entry; zero for a warm target.
    pub cold_for: Duration,
}
