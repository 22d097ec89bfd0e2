//! Failure domains and the regions that contain them.

use coordination::ids::DomainId;
use coordination::ids::RegionId;
use serde::Deserialize;
use serde::Serialize;

/// A failure domain: hosts and targets that can fail together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// Name of the failure domain, unique in the configuration.
    pub name: DomainId,
    /// Region that contains the failure domain.
    pub region: RegionId,
}
