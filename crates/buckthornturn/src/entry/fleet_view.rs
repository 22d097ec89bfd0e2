//! What an entry host knows of the others, and what follows from that for its own part.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::BalancerHost;
use coordination::fleet::HostHeartbeat;
use coordination::fleet::HostPhase;
use coordination::fleet::QuotaKeepers;
use coordination::fleet::QuotaView;
use coordination::ids::RegionId;
use coordination::ids::ServiceId;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::entry::EntryCore;
use crate::entry::EntryState;

/// Other hosts heard from which on the fleet is large. Below it each host follows the store by itself.
const LARGE_FLEET: usize = 16;
/// Hosts of a region that follow the store in a large fleet: one, and one that stands by.
const RELAYS: usize = 2;
/// Longest time after its start that a host waits for others before it serves: three heartbeats of theirs.
const LONGEST_JOIN: Duration = Duration::from_millis(1_500);
/// Time that it waits at least, as those that started along with it know no more than itself.
const SHORTEST_JOIN: Duration = Duration::from_millis(500);

impl EntryState {
    /// Mesh address of the host through which this one follows the state, in place of the store. In a large fleet a few
    /// hosts of each region read the store for the others, as each call is paid for.
    pub fn relay(&self) -> Option<SocketAddr> {
        let core = self.lock();
        let live: Vec<&HostHeartbeat> = core
            .roster
            .live_hosts(Instant::now())
            .filter(|news| news.phase != HostPhase::Leaving)
            .collect();
        if live.len() < LARGE_FLEET {
            return None;
        }
        let mut near: Vec<&HostHeartbeat> =
            live.into_iter().filter(|news| news.region == self.own.region).collect();
        near.sort_by(|a, b| a.host.cmp(&b.host));
        let ahead = near.iter().filter(|news| news.host < self.own.host).count();
        if ahead < RELAYS {
            return None;
        }
        let mut relays = near.iter().take(RELAYS).filter(|news| news.reaches_store);
        let spread = usize::try_from(self.own.incarnation % RELAYS as u64).unwrap_or(0);
        let first = relays.next()?;
        let chosen = if spread == 0 { first } else { relays.next().unwrap_or(first) };
        Some(chosen.mesh)
    }

    /// Whether another host that was heard lately reaches the store.
    pub fn is_store_reached_elsewhere(&self) -> bool {
        self.lock().roster.live_hosts(Instant::now()).any(|news| news.reaches_store)
    }

    /// Whether this host looks out for its region: the first by name of those that are live there.
    pub fn is_sentinel(&self) -> bool {
        let core = self.lock();
        let mut live = core.roster.live_hosts(Instant::now());
        !live.any(|news| {
            news.region == self.own.region
                && news.phase == HostPhase::Serving
                && news.host < self.own.host
        })
    }

    /// Begins another heartbeat: the demand told until the next one is that of now.
    pub fn beat(&self) {
        let mut core = self.lock();
        core.beat += 1;
        core.quotas.publish_demand(self.token_time());
    }

    /// What this host says about itself, with the demand of its latest heartbeat: all who hear it know the same.
    pub fn news(&self) -> HostHeartbeat {
        let core = self.lock();
        let demand = core.quotas.published_demand();
        HostHeartbeat { demand, spill: core.board.spill_shares(), ..self.describe(&core) }
    }

    /// This host as others know it, without figures.
    fn describe(&self, core: &EntryCore) -> HostHeartbeat {
        HostHeartbeat {
            host: self.own.host.clone(),
            incarnation: self.own.incarnation,
            beat: core.beat,
            phase: core.phase,
            failure_domain: self.own.failure_domain.clone(),
            region: self.own.region.clone(),
            callers: self.own.callers,
            mesh: self.own.mesh,
            capacity: self.settings.capacity_cores,
            applied: core.applied,
            reaches_store: !core.unreached.contains(&true),
            fleet: core.roster.known_hosts().count() + 1,
            demand: IndexMap::new(),
            spill: IndexMap::new(),
        }
    }

    /// Whether this host knows the fleet well enough to decide beside the others.
    pub fn has_joined(&self) -> bool {
        self.lock().has_joined
    }

    /// Notes that this host has heard of as many others as they know. A host that knew few would take itself for the one
    /// that sends to cold targets and keeps customers' tokens.
    pub(super) fn join(&self, core: &mut EntryCore, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started_at);
        let known = core.roster.known_hosts().count() + 1;
        let told = core.roster.known_hosts().map(|news| news.fleet).max();
        core.has_joined |= match told {
            _ if elapsed >= LONGEST_JOIN || self.is_alone() => true,
            Some(told) => elapsed >= SHORTEST_JOIN && known >= told,
            None => false,
        };
    }

    fn is_alone(&self) -> bool {
        self.settings.seeds.iter().all(|seed| *seed == self.own.mesh)
    }

    /// Finds the keepers of customers' tokens among the hosts known, and shares out the limits that this host keeps.
    pub(super) fn rebalance(&self, core: &mut EntryCore, now: Instant) {
        let itself = self.describe(core);
        let EntryCore { roster, quotas, keepers, .. } = core;
        let others = roster.hosts_with_liveness(now).filter(|(news, _)| news.host != self.own.host);
        *keepers =
            QuotaKeepers::select(&self.own.region, others.chain(std::iter::once((&itself, true))));
        let keeps = |customer: &str| {
            let keeper = keepers.keeper_of(customer);
            keeper.is_some_and(|keeper| keeper.host == self.own.host)
        };
        let far: IndexSet<&RegionId> =
            self.settings.domains.values().filter(|region| **region != self.own.region).collect();
        let others = |customer: &str| {
            far.iter().map(|region| roster.demand_in_region(region, customer)).collect()
        };
        let hosts = roster.known_hosts().count() + 1;
        quotas.rebalance(
            &QuotaView { host_count: hosts, is_keeper: &keeps, other_demands: &others },
            self.token_time(),
        );
    }

    /// Tells placement which hosts share cold targets with this one, and what its neighbours send outside the region.
    pub(super) fn tell_board(&self, core: &mut EntryCore, now: Instant) {
        let own = &self.own.host;
        let EntryCore { roster, board, .. } = &mut *core;
        let hosts = roster.known_hosts().filter(|news| news.host != *own).map(board_host);
        let own_host =
            BalancerHost { host: own.clone(), failure_domain: self.own.failure_domain.clone() };
        board.set_hosts(std::iter::once(own_host).chain(hosts).collect());
        let near = |news: &&HostHeartbeat| news.region == self.own.region && news.host != *own;
        board.set_neighbour_spill_shares(mean_shares(roster.live_hosts(now).filter(near)));
    }
}

/// Mean of the shares that hosts send outside their region, by service, over those that have any requests.
fn mean_shares<'a>(hosts: impl Iterator<Item = &'a HostHeartbeat>) -> IndexMap<ServiceId, f64> {
    let mut sums: IndexMap<ServiceId, (f64, f64)> = IndexMap::new();
    for (service, share) in hosts.flat_map(|news| &news.spill) {
        let sum = sums.entry(service.clone()).or_default();
        *sum = (sum.0 + share.clamp(0.0, 1.0), sum.1 + 1.0);
    }
    sums.into_iter().map(|(service, (sum, count))| (service, sum / count)).collect()
}

fn board_host(news: &HostHeartbeat) -> BalancerHost {
    BalancerHost { host: news.host.clone(), failure_domain: news.failure_domain.clone() }
}
