//! Identity and location of this host.

use coordination::ids::DomainId;
use coordination::ids::HostId;
use coordination::ids::Incarnation;
use coordination::ids::RegionId;

/// Identity and location of this host, as floor plans and peers know it.
#[derive(Clone, Debug)]
pub struct OwnHost {
    /// Name of the host, unique in the fleet.
    pub host: HostId,
    /// Number of this process start, in microseconds since 1970. A later start of the same host has a larger one.
    pub incarnation: Incarnation,
    /// Failure domain in which the host runs.
    pub failure_domain: DomainId,
    /// Region to which the failure domain belongs.
    pub region: RegionId,
}
