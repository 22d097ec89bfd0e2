//! Steering groups: preferred regions for blocks of client addresses.

use coordination::ids::RegionId;
use serde::Deserialize;
use serde::Serialize;

/// A steering group: the regions to which callers from its blocks are sent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// Name of the group, to which blocks refer.
    pub name: Box<str>,
    /// Preferred regions, best first. Regions that are not listed come after them.
    pub regions: Vec<RegionId>,
}
