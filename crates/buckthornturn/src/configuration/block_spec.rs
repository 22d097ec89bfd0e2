//! Block of client addresses in the configuration.

use serde::Deserialize;
use serde::Serialize;

/// Maps a block of client addresses to a steering group. If several blocks contain an address, the one with the
/// longest prefix applies.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BlockSpec {
    /// The block itself as `ADDRESS/LENGTH`: an IPv4 prefix, or an IPv6 prefix of at most 64 bits.
    pub name: Box<str>,
    /// Name of the steering group for callers from this block.
    pub group: Box<str>,
}
