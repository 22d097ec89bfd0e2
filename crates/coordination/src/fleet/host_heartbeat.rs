//! What a host says about itself to the others.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::CustomerId;
use crate::ids::DomainId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::RegionId;
use crate::ids::Revision;
use crate::ids::ServiceId;

/// Whether a host takes new callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostPhase {
    /// It has no configuration or no targets yet.
    Starting,
    /// It does.
    Serving,
    /// It ends soon.
    Leaving,
}

/// What a host says about itself to the others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostHeartbeat {
    /// Host.
    pub host: HostId,
    /// Random number of its process start; says which process speaks, not which is later.
    pub incarnation: Incarnation,
    /// Number of the heartbeat within the process.
    pub beat: u64,
    /// Whether it takes new callers.
    pub phase: HostPhase,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Region.
    pub region: RegionId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other hosts.
    pub mesh: SocketAddr,
    /// Processor share that it may use, in cores; callers are spread by it.
    pub capacity: f64,
    /// Revision of the latest change that it has applied, for each part of the state in the order of `StatePart`.
    pub applied: [Revision; 3],
    /// Whether its latest calls to the store were answered.
    pub reaches_store: bool,
    /// Hosts that it knows, itself included.
    pub fleet: usize,
    /// Requests a second of each customer whose tokens it keeps, over all hosts of its region.
    pub demand: IndexMap<CustomerId, f32>,
    /// Shares of requests, by service, that it sends outside its region.
    pub spill: IndexMap<ServiceId, f64>,
}
