//! Chooses where a host reads the state from: the store itself, or another host that relays it. Answers days on which
//! hundreds of hosts start at once, or a share of them cannot reach the store: a call to the store is billed, also a
//! refused one, so only a few hosts of each region make them.

use std::net::SocketAddr;

use crate::fleet::HostHeartbeat;
use crate::fleet::HostPhase;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::RegionId;

/// Number of other live hosts from which a fleet counts as large. In a smaller one each host watches the store itself.
const LARGE_FLEET_HOSTS: usize = 16;
/// Hosts per region that follow the store at a time in a large fleet: one and a standby.
const RELAYS_PER_REGION: usize = 2;
/// Hosts per region that may follow the store: the largest, as each sends the state to many others, then by name. If
/// none of six reaches it, the store is probably down for all, and they alone try again.
const CANDIDATES_PER_REGION: usize = 6;

/// Where a host reads the state from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StateRoute {
    /// The platform's store.
    Store,
    /// The host with this mesh address.
    Relay(SocketAddr),
}

/// What a host knows of itself when it chooses a route.
#[derive(Clone, Debug)]
pub struct RouteHost<'a> {
    /// Name that is unique in the fleet.
    pub host: &'a HostId,
    /// Region of the host.
    pub region: &'a RegionId,
    /// Processor capacity in cores.
    pub capacity: f64,
    /// Random number of the process, by which hosts spread over the relays.
    pub incarnation: Incarnation,
    /// Whether it may call the store: no call failed recently.
    pub reaches_store: bool,
}

/// Host that may follow the store for its region; `mesh` is `None` for the choosing host itself.
struct RelayCandidate<'a> {
    host: &'a HostId,
    capacity: f64,
    mesh: Option<SocketAddr>,
    reaches_store: bool,
    follows_store: bool,
    is_avoided: bool,
}

/// Chooses the route of a host among the `live` other hosts. `is_avoided` tells which relays failed or lagged recently.
pub fn choose_state_route<'a>(
    own: &RouteHost<'a>,
    live: impl Iterator<Item = &'a HostHeartbeat>,
    is_avoided: impl Fn(SocketAddr) -> bool,
) -> StateRoute {
    let live: Vec<&HostHeartbeat> =
        live.filter(|known| known.phase != HostPhase::Leaving && known.host != *own.host).collect();
    if live.len() < LARGE_FLEET_HOSTS {
        return StateRoute::Store;
    }
    let candidates = list_candidates(own, &live, is_avoided);
    let first = |is_chosen: &dyn Fn(&RelayCandidate<'_>) -> bool| {
        let chosen = candidates.iter().filter(|candidate| is_chosen(candidate));
        chosen.take(RELAYS_PER_REGION).collect::<Vec<_>>()
    };
    let is_own = |candidate: &RelayCandidate<'_>| candidate.mesh.is_none();
    let reaching = first(&|candidate| candidate.reaches_store && !candidate.is_avoided);
    let following = first(&|candidate| candidate.follows_store && !candidate.is_avoided);
    // Hosts that only have not failed yet may not follow the store either.
    let trying = first(&|candidate| !candidate.is_avoided && !is_own(candidate));
    let is_failed_candidate = candidates.iter().any(is_own) && !own.reaches_store;
    let relays = match [following, trying] {
        _ if reaching.iter().any(|candidate| is_own(candidate)) => return StateRoute::Store,
        [following, _] if !following.is_empty() => following,
        _ if is_failed_candidate => return StateRoute::Store,
        [_, trying] if !trying.is_empty() => trying,
        _ => first(&|candidate| !is_own(candidate)),
    };
    let spread = usize::try_from(own.incarnation % relays.len() as u64).unwrap_or(0);
    relays[spread].mesh.map_or(StateRoute::Store, StateRoute::Relay)
}

/// Hosts of the own region that may follow the store, in the order in which they do so.
fn list_candidates<'a>(
    own: &RouteHost<'a>,
    live: &[&'a HostHeartbeat],
    is_avoided: impl Fn(SocketAddr) -> bool,
) -> Vec<RelayCandidate<'a>> {
    let regional = live.iter().filter(|known| known.region == *own.region);
    let mut candidates: Vec<RelayCandidate<'_>> = regional
        .map(|known| RelayCandidate {
            host: &known.host,
            capacity: known.capacity,
            mesh: Some(known.mesh),
            reaches_store: known.reaches_store,
            follows_store: known.reaches_store && known.follows_store,
            is_avoided: is_avoided(known.mesh),
        })
        .collect();
    candidates.push(RelayCandidate {
        host: own.host,
        capacity: own.capacity,
        mesh: None,
        reaches_store: own.reaches_store,
        follows_store: false,
        is_avoided: false,
    });
    candidates.sort_by(|a, b| b.capacity.total_cmp(&a.capacity).then_with(|| a.host.cmp(b.host)));
    candidates.truncate(CANDIDATES_PER_REGION);
    candidates
}

/// Mesh addresses of the hosts that may follow the store for a region beside this one, which must hear soon whether it does;
/// none if this host is not one of them.
pub fn other_candidates<'a>(
    own: &RouteHost<'a>,
    live: impl Iterator<Item = &'a HostHeartbeat>,
) -> Vec<SocketAddr> {
    let live: Vec<&HostHeartbeat> =
        live.filter(|known| known.phase != HostPhase::Leaving && known.host != *own.host).collect();
    let candidates = list_candidates(own, &live, |_| false);
    let is_candidate = candidates.iter().any(|candidate| candidate.mesh.is_none());
    match is_candidate && live.len() >= LARGE_FLEET_HOSTS {
        true => candidates.into_iter().filter_map(|candidate| candidate.mesh).collect(),
        false => Vec::new(),
    }
}
