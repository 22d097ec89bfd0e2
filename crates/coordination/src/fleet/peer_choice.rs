//! Chooses another host that sends requests to targets on behalf of one that cannot reach them.
//!
//! Load that this answers: callers who go on sending to a host that lost its links to targets, until their look-ups name
//! others.

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::fleet::ConfigurationPosition;
use crate::fleet::HostHeartbeat;
use crate::fleet::HostPhase;
use crate::ids::HostId;
use crate::ids::RegionId;

/// Smallest capacity that a host is weighted by, in cores.
const MIN_CAPACITY: f64 = 0.01;

/// Request for a host that sends on behalf of another.
#[derive(Clone, Copy, Debug)]
pub struct PeerQuery<'a> {
    /// Region of the host that looks for a peer.
    pub region: &'a RegionId,
    /// Regions in which the request may be handled; an empty slice allows all.
    pub allowed_regions: &'a [RegionId],
    /// Hosts that were tried for the request already.
    pub excluded_hosts: &'a [HostId],
    /// Configuration that the request was checked against.
    pub configuration: ConfigurationPosition,
}

/// Chooses a host by capacity among those that serve and reach targets: one of the own region if there is any, and one
/// that has the configuration if there is any. `None` if no host can take the request.
pub fn choose_peer<'a, R: Rng>(
    query: &PeerQuery<'_>,
    live: impl Iterator<Item = &'a HostHeartbeat>,
    rng: &mut R,
) -> Option<&'a HostHeartbeat> {
    let fits = |news: &&HostHeartbeat| {
        let is_allowed =
            query.allowed_regions.is_empty() || query.allowed_regions.contains(&news.region);
        let is_usable = news.phase == HostPhase::Serving && news.reaches_targets;
        is_allowed && is_usable && !query.excluded_hosts.contains(&news.host)
    };
    let rank = |news: &HostHeartbeat| {
        let is_behind = query.configuration.supersedes(&news.configuration_position());
        (news.region == *query.region, !is_behind)
    };
    let peers: Vec<&HostHeartbeat> = live.filter(fits).collect();
    let best = peers.iter().map(|news| rank(news)).max()?;
    let nearest: Vec<_> = peers.into_iter().filter(|news| rank(news) == best).collect();
    nearest.choose_weighted(rng, |news| news.capacity.max(MIN_CAPACITY)).ok().copied()
}
