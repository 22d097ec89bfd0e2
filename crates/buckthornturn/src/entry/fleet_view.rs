//! What an entry host knows of the others, and what follows from that for its own part.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::BoardHost;
use coordination::fleet::HostNews;
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
const LARGE_FLEET_HOSTS: usize = 16;
/// Hosts of a region that follow the store in a large fleet: one, and one that stands by.
const RELAYS_PER_REGION: usize = 2;
/// Longest time after its start that a host waits for others before it serves: three heartbeats of theirs.
const MAX_JOIN_TIME: Duration = Duration::from_millis(1_500);
/// Time that it waits at least, as those that started along with it know no more than itself.
const MIN_JOIN_TIME: Duration = Duration::from_millis(500);

impl EntryState {
    /// Mesh address of the host through which this one follows the state, in place of the store. In a large fleet a few
    /// hosts of each region read the store for the others, as each call is paid for.
    pub fn relay(&self) -> Option<SocketAddr> {
        let core = self.lock();
        let live: Vec<&HostNews> = core
            .roster
            .live(Instant::now())
            .filter(|news| news.phase != HostPhase::Leaving)
            .collect();
        if live.len() < LARGE_FLEET_HOSTS {
            return None;
        }
        let mut regional: Vec<&HostNews> =
            live.into_iter().filter(|news| news.region == self.identity.region).collect();
        regional.sort_by(|a, b| a.host.cmp(&b.host));
        let predecessors = regional.iter().filter(|news| news.host < self.identity.host).count();
        if predecessors < RELAYS_PER_REGION {
            return None;
        }
        let mut relays = regional.iter().take(RELAYS_PER_REGION).filter(|news| news.reaches_store);
        let relay_index =
            usize::try_from(self.identity.incarnation % RELAYS_PER_REGION as u64).unwrap_or(0);
        let first_relay = relays.next()?;
        let chosen =
            if relay_index == 0 { first_relay } else { relays.next().unwrap_or(first_relay) };
        Some(chosen.mesh)
    }

    /// Whether another host that was heard lately reaches the store.
    pub fn is_store_reached_elsewhere(&self) -> bool {
        self.lock().roster.live(Instant::now()).any(|news| news.reaches_store)
    }

    /// Whether this host looks out for its region: the first by name of those that are live there.
    pub fn is_region_poller(&self) -> bool {
        let core = self.lock();
        let mut live = core.roster.live(Instant::now());
        !live.any(|news| {
            news.region == self.identity.region
                && news.phase == HostPhase::Serving
                && news.host < self.identity.host
        })
    }

    /// Begins another heartbeat: the demand told until the next one is that of now.
    pub fn begin_heartbeat(&self) {
        let mut core = self.lock();
        core.heartbeat_number += 1;
        core.quotas.tell_demand(self.token_time());
    }

    /// What this host says about itself, with the demand of its latest heartbeat: all who hear it know the same.
    pub fn own_heartbeat(&self) -> HostNews {
        let core = self.lock();
        let demand = core.quotas.told_demand();
        HostNews { demand, spill: core.board.spill_shares(), ..self.heartbeat_without_load(&core) }
    }

    /// This host as others know it, without figures.
    fn heartbeat_without_load(&self, core: &EntryCore) -> HostNews {
        HostNews {
            host: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            beat: core.heartbeat_number,
            phase: core.phase,
            failure_domain: self.identity.failure_domain.clone(),
            region: self.identity.region.clone(),
            callers: self.identity.callers,
            mesh: self.identity.mesh,
            capacity: self.settings.capacity_cores,
            applied: core.applied,
            reaches_store: !core.is_unreached.contains(&true),
            fleet: core.roster.counted().count() + 1,
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
    pub(super) fn update_joined(&self, core: &mut EntryCore, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started_at);
        let known = core.roster.counted().count() + 1;
        let reported = core.roster.counted().map(|news| news.fleet).max();
        core.has_joined |= match reported {
            _ if elapsed >= MAX_JOIN_TIME || self.is_only_seed() => true,
            Some(reported) => elapsed >= MIN_JOIN_TIME && known >= reported,
            None => false,
        };
    }

    fn is_only_seed(&self) -> bool {
        self.settings.seeds.iter().all(|seed| *seed == self.identity.mesh)
    }

    /// Finds the keepers of customers' tokens among the hosts known, and shares out the limits that this host keeps.
    pub(super) fn rebalance(&self, core: &mut EntryCore, now: Instant) {
        let own_heartbeat = self.heartbeat_without_load(core);
        let EntryCore { roster, quotas, keepers, .. } = core;
        let others = roster.with_life(now).filter(|(news, _)| news.host != self.identity.host);
        *keepers = QuotaKeepers::of(
            &self.identity.region,
            others.chain(std::iter::once((&own_heartbeat, true))),
        );
        let is_kept_here = |customer: &str| {
            let keeper = keepers.keeper_of(customer);
            keeper.is_some_and(|keeper| keeper.host == self.identity.host)
        };
        let other_regions: IndexSet<&RegionId> = self
            .settings
            .domains
            .values()
            .filter(|region| **region != self.identity.region)
            .collect();
        let remote_demand = |customer: &str| {
            other_regions.iter().map(|region| roster.demand_of(region, customer)).collect()
        };
        let hosts = roster.counted().count() + 1;
        quotas.rebalance(
            &QuotaView { hosts, keeps: &is_kept_here, others: &remote_demand },
            self.token_time(),
        );
    }

    /// Tells placement which hosts share cold targets with this one, and what its neighbours send outside the region.
    pub(super) fn update_placement(&self, core: &mut EntryCore, now: Instant) {
        let own = &self.identity.host;
        let EntryCore { roster, board, .. } = &mut *core;
        let hosts = roster.counted().filter(|news| news.host != *own).map(board_host);
        let own_host =
            BoardHost { host: own.clone(), failure_domain: self.identity.failure_domain.clone() };
        board.set_hosts(std::iter::once(own_host).chain(hosts).collect());
        let is_neighbour =
            |news: &&HostNews| news.region == self.identity.region && news.host != *own;
        board.set_neighbour_shares(mean_spill_shares(roster.live(now).filter(is_neighbour)));
    }
}

/// Mean of the shares that hosts send outside their region, by service, over those that have any requests.
fn mean_spill_shares<'a>(hosts: impl Iterator<Item = &'a HostNews>) -> IndexMap<ServiceId, f64> {
    let mut sums: IndexMap<ServiceId, (f64, f64)> = IndexMap::new();
    for (service, share) in hosts.flat_map(|news| &news.spill) {
        let sum = sums.entry(service.clone()).or_default();
        *sum = (sum.0 + share.clamp(0.0, 1.0), sum.1 + 1.0);
    }
    sums.into_iter().map(|(service, (sum, count))| (service, sum / count)).collect()
}

fn board_host(news: &HostNews) -> BoardHost {
    BoardHost { host: news.host.clone(), failure_domain: news.failure_domain.clone() }
}
