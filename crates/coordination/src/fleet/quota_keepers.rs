//! Selection of the hosts that keep the customers' tokens. If the limit of a small customer were split evenly over all
//! hosts, each would get a fraction of a request a second and refuse requests that the limit allows.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::HostHeartbeat;
use crate::fleet::HostPhase;
use crate::fleet::target_balancer::mix_hashes;
use crate::ids::HostId;
use crate::ids::RegionId;
use crate::rendezvous::rendezvous_score;

/// Most keepers in a region, selected by capacity; enough to spread a few hundred requests a second.
const MAX_KEEPERS: usize = 8;
/// Time from the start of a host in which it may not yet have heard that others serve. Hosts that start together hear of
/// each other first as of hosts that start.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Host that is eligible to keep customers' tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct KeeperHost {
    /// Name that is unique in the fleet.
    pub host: HostId,
    /// Address on which the host accepts messages of other hosts.
    pub mesh: SocketAddr,
    capacity: f64,
    hash: u64,
    is_live: bool,
    is_serving: bool,
}

/// Keepers of customers' tokens, as one host sees them.
#[derive(Clone, Debug, Default)]
pub struct QuotaKeepers {
    local: Vec<KeeperHost>,
    remote: Vec<SocketAddr>,
    is_cut_off: bool,
}

impl QuotaKeepers {
    /// Selects the keepers among all known hosts, this one included, each given with whether it is live. A host that
    /// sees fewer than half of them live regards itself as cut off and grants no tokens.
    pub fn select<'a>(
        own_region: &RegionId,
        hosts: impl Iterator<Item = (&'a HostHeartbeat, bool)>,
    ) -> Self {
        Self::select_by(own_region, hosts, |phase| phase == HostPhase::Serving)
    }

    /// Selects the keepers as [`select`](Self::select) does, for a host that started `age` ago. One that has just started
    /// counts hosts that start as well: if each of many that start together counted only itself, each would grant tokens.
    pub fn select_at_age<'a>(
        own_region: &RegionId,
        age: Duration,
        hosts: impl Iterator<Item = (&'a HostHeartbeat, bool)>,
    ) -> Self {
        match age < SETTLE_TIME {
            true => Self::select_by(own_region, hosts, |phase| phase != HostPhase::Leaving),
            false => Self::select(own_region, hosts),
        }
    }

    fn select_by<'a>(
        own_region: &RegionId,
        hosts: impl Iterator<Item = (&'a HostHeartbeat, bool)>,
        is_eligible: impl Fn(HostPhase) -> bool,
    ) -> Self {
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        let (mut live, mut all) = (0, 0);
        for (heartbeat, is_live) in hosts {
            all += 1;
            live += usize::from(is_live);
            if !is_eligible(heartbeat.phase) {
                continue;
            }
            let keeper = KeeperHost {
                host: heartbeat.host.clone(),
                mesh: heartbeat.mesh,
                capacity: heartbeat.capacity,
                hash: rendezvous_score(&[&heartbeat.host]),
                is_live,
                is_serving: heartbeat.phase == HostPhase::Serving,
            };
            match heartbeat.region == *own_region {
                true => local.push(keeper),
                false => remote.push((heartbeat.region.clone(), keeper)),
            }
        }
        remote.sort_by(|a, b| a.0.cmp(&b.0));
        let remote = remote.chunk_by(|a, b| a.0 == b.0).flat_map(|region| {
            let region = region.iter().map(|(_, keeper)| keeper.clone()).collect();
            largest_hosts(region).into_iter().map(|keeper| keeper.mesh)
        });
        Self { remote: remote.collect(), local: largest_hosts(local), is_cut_off: live * 2 < all }
    }

    /// Returns the live keeper of a customer's tokens in the own region; `None` if this host is cut off or no keeper is
    /// live.
    pub fn keeper_of(&self, customer: &str) -> Option<&KeeperHost> {
        if self.is_cut_off {
            return None;
        }
        let customer = rendezvous_score(&[customer]);
        let live = self.local.iter().filter(|keeper| keeper.is_live);
        live.max_by_key(|keeper| mix_hashes(keeper.hash, customer))
    }

    /// Returns whether a host serves and is the keeper of a customer's tokens, as far as this host knows.
    pub fn is_kept_by(&self, host: &str, customer: &str) -> bool {
        self.keeper_of(customer).is_some_and(|keeper| &*keeper.host == host && keeper.is_serving)
    }

    /// Returns whether a host is among the keepers of the own region, live or not.
    pub fn is_keeper(&self, host: &str) -> bool {
        self.local.iter().any(|keeper| &*keeper.host == host)
    }

    /// Returns the mesh addresses of the keepers of other regions.
    pub fn remote_addresses(&self) -> &[SocketAddr] {
        &self.remote
    }
}

fn largest_hosts(mut keepers: Vec<KeeperHost>) -> Vec<KeeperHost> {
    keepers.sort_by(|a, b| b.capacity.total_cmp(&a.capacity).then(a.hash.cmp(&b.hash)));
    keepers.truncate(MAX_KEEPERS);
    keepers
}
