//! Network links between regions and their limits.

use coordination::ids::RegionId;
use serde::Deserialize;
use serde::Serialize;

/// One direction of a network link between two different regions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSpec {
    /// Name of the link, unique in the configuration.
    pub name: Box<str>,
    /// Region from which the bytes are sent.
    pub from: RegionId,
    /// Region that receives the bytes.
    pub to: RegionId,
    /// Bandwidth that traffic of this system may use, in bytes per second.
    pub bytes_per_second: u64,
    /// Latency in this direction only, in milliseconds.
    pub latency_ms: u64,
}
