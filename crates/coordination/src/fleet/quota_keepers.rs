//! Which hosts hand out the customers' tokens. Answers customers that are small against the number of hosts: split evenly,
//! each host would have a fraction of a request a second, and refuse what the limit allows.

use std::net::SocketAddr;

use crate::fleet::HostNews;
use crate::fleet::HostPhase;
use crate::fleet::target_board::mix;
use crate::ids::HostId;
use crate::ids::RegionId;
use crate::rendezvous::rendezvous_score;

/// Most hosts of a region that hand out tokens, the largest first: enough to spread a few hundred requests a second.
const MAX_KEEPERS: usize = 8;

/// A host that may hand out tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct KeeperHost {
    /// Host.
    pub host: HostId,
    /// Its address for other hosts.
    pub mesh: SocketAddr,
    capacity: f64,
    salt: u64,
    is_live: bool,
}

/// The hosts that hand out the customers' tokens, as one host sees them.
#[derive(Clone, Debug, Default)]
pub struct QuotaKeepers {
    near: Vec<KeeperHost>,
    far: Vec<SocketAddr>,
    is_cut_off: bool,
}

impl QuotaKeepers {
    /// The keepers among hosts that count as part of the fleet, this one included; each comes with whether it was heard
    /// lately. A host that hears less than half of them is cut off and hands out nothing.
    pub fn of<'a>(
        own_region: &RegionId,
        hosts: impl Iterator<Item = (&'a HostNews, bool)>,
    ) -> Self {
        let (mut near, mut far) = (Vec::new(), Vec::new());
        let (mut live, mut all) = (0, 0);
        for (news, is_live) in hosts {
            all += 1;
            live += usize::from(is_live);
            if news.phase != HostPhase::Serving {
                continue;
            }
            let keeper = KeeperHost {
                host: news.host.clone(),
                mesh: news.mesh,
                capacity: news.capacity,
                salt: rendezvous_score(&[&news.host]),
                is_live,
            };
            match news.region == *own_region {
                true => near.push(keeper),
                false => far.push((news.region.clone(), keeper)),
            }
        }
        far.sort_by(|a, b| a.0.cmp(&b.0));
        let far = far.chunk_by(|a, b| a.0 == b.0).flat_map(|region| {
            let region = region.iter().map(|(_, keeper)| keeper.clone()).collect();
            largest(region).into_iter().map(|keeper| keeper.mesh)
        });
        Self { far: far.collect(), near: largest(near), is_cut_off: live * 2 < all }
    }

    /// The host of the region that hands out a customer's tokens; `None` if it is silent and this host may be the one that
    /// is cut off.
    pub fn keeper_of(&self, customer: &str) -> Option<&KeeperHost> {
        if self.is_cut_off {
            return None;
        }
        let customer = rendezvous_score(&[customer]);
        let live = self.near.iter().filter(|keeper| keeper.is_live);
        live.max_by_key(|keeper| mix(keeper.salt, customer))
    }

    /// Whether a host is one of the keepers of its own region.
    pub fn is_keeper(&self, host: &str) -> bool {
        self.near.iter().any(|keeper| &*keeper.host == host)
    }

    /// Addresses of the keepers of other regions.
    pub fn far(&self) -> &[SocketAddr] {
        &self.far
    }
}

fn largest(mut keepers: Vec<KeeperHost>) -> Vec<KeeperHost> {
    keepers.sort_by(|a, b| b.capacity.total_cmp(&a.capacity).then(a.salt.cmp(&b.salt)));
    keepers.truncate(MAX_KEEPERS);
    keepers
}
