//! Read-only snapshot of the members that one host knows.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::DomainId;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::RegionId;
use crate::ids::Revision;

/// Health of a member, as one host judges it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum MemberHealth {
    /// Its heartbeats arrive within the suspicion timeout.
    Live,
    /// No heartbeat arrived within the suspicion timeout, or too few since.
    Suspect,
    /// It reported that it is shutting down, or the platform lists it so or dropped it from its list.
    Leaving,
    /// Proved dead: the platform's list dropped it while it was silent, or its address refuses connections. Silence alone
    /// never leads here. A later process start replaces the earlier one.
    Gone,
}

/// State of one member as this host knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberEntry {
    /// Name of the member host.
    pub host: HostId,
    /// Number of its process start; 0 if no heartbeat was ever received.
    pub incarnation: Incarnation,
    /// Failure domain that it is in.
    pub failure_domain: DomainId,
    /// Region that it is in.
    pub region: RegionId,
    /// Address on which it accepts callers; `None` if no heartbeat was ever received.
    pub callers: Option<SocketAddr>,
    /// Address on which it accepts other hosts.
    pub mesh: SocketAddr,
    /// Health at the time of the snapshot.
    pub health: MemberHealth,
    /// Configuration revision that it last reported as in force.
    pub revision: Revision,
    /// Time since it sent its latest known heartbeat, received directly or through other hosts; `None` if there is none.
    pub heard_ago: Option<Duration>,
    /// Latest epoch of its own domain's floor plan whose losses it reported to have given up.
    pub plan_shrunk: Epoch,
    /// Whether it last reported that the store may still accept a change from it; `true` if there is no heartbeat.
    pub store_reached: bool,
    /// Age of its key confirmation at the time of the snapshot; `None` if it never reported one.
    pub confirmation_age: Option<Duration>,
}

/// Members as one host knows them, ordered by host name. `MemberTable::view` leaves out that host itself; its process
/// adds its own entry before it publishes the view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberView {
    /// One entry for each member.
    pub members: Vec<MemberEntry>,
}

impl MemberView {
    /// Entry of the member with this host name; `None` if it is not known.
    pub fn member(&self, host: &str) -> Option<&MemberEntry> {
        self.members.iter().find(|member| &*member.host == host)
    }
}
