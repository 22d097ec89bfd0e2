//! Row type of the platform's host list.

use std::net::SocketAddr;

use crate::ids::DomainId;
use crate::ids::HostId;
use crate::ids::RegionId;

/// One row of the platform's host list, which lags behind the real hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost {
    /// Name of the listed host.
    pub host: HostId,
    /// Failure domain that the host is in.
    pub failure_domain: DomainId,
    /// Region that the host is in.
    pub region: RegionId,
    /// Address on which the host accepts other hosts.
    pub mesh: SocketAddr,
    /// Whether the platform reports that the host is shutting down.
    pub leaving: bool,
}
