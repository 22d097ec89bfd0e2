//! Heartbeat messages between entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::DomainId;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::RegionId;
use crate::ids::Revision;

/// State that a host sends to other hosts, as a heartbeat and as the reply to one.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Host that the heartbeat describes.
    pub host: HostId,
    /// Number of the host's process start.
    pub incarnation: Incarnation,
    /// Failure domain that the host is in.
    pub failure_domain: DomainId,
    /// Region that the host is in.
    pub region: RegionId,
    /// Address on which the host accepts callers.
    pub callers: SocketAddr,
    /// Address on which the host accepts other hosts.
    pub mesh: SocketAddr,
    /// Configuration revision that the host has in force.
    pub revision: Revision,
    /// Whether the host is shutting down; never revoked within a process start.
    pub leaving: bool,
    /// Time since the host last confirmed that it has every accepted change of callers' keys; `None` if it never has.
    pub confirmation_age: Option<Duration>,
    /// Whether the store may still accept a change from the host. `false` only if its calls have failed for longer than
    /// a write can be in flight.
    pub store_reached: bool,
    /// Latest epoch of its own domain's floor plan whose losses the host has given up, lent leases included.
    pub plan_shrunk: Epoch,
    /// Digest of the epochs of all floor plans that the host knows; hosts with different digests exchange plans.
    pub plan_digest: u64,
}

/// Latest heartbeat of a third host as the sender knows it, received directly or through other hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct HeardHeartbeat {
    /// Heartbeat of the third host.
    pub heartbeat: Heartbeat,
    /// Time since the third host sent it, excluding the transit time of this message.
    pub age: Duration,
}
