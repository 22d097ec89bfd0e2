//! What an entry host derives from the other hosts' heartbeats: its relay, its readiness, and its shares of quotas and
//! placement.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::BalancerHost;
use coordination::fleet::HostHeartbeat;
use coordination::fleet::HostPhase;
use coordination::fleet::QuotaKeepers;
use coordination::fleet::QuotaView;
use coordination::fleet::RegionLoads;
use coordination::fleet::RouteHost;
use coordination::fleet::StateRoute;
use coordination::fleet::choose_state_route;
use coordination::fleet::other_candidates;
use coordination::ids::RegionId;
use coordination::ids::ServiceId;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::entry::EntryCore;
use crate::entry::EntryState;

/// Largest age of the loads that other hosts measured, about the service time of a request.
const MAX_LOAD_AGE: Duration = Duration::from_secs(1);
/// Longest time after its start that a host waits to hear from the others before it serves: three of their heartbeats.
const MAX_JOIN_TIME: Duration = Duration::from_millis(1_500);
/// Share of the fleet that a host must have heard of. The last hosts of a large fleet take as long to hear of as all
/// others together, and decisions of hosts that miss a few differ for few targets and customers.
const JOINED_SHARE: f64 = 0.9;
/// Shortest time that a host waits, since hosts that started at the same time know no more of the fleet than it does.
const MIN_JOIN_TIME: Duration = Duration::from_millis(500);

impl EntryState {
    /// Where this host follows the state now. `is_avoided` tells which relays failed or lagged recently.
    pub fn state_route(&self, is_avoided: impl Fn(SocketAddr) -> bool) -> StateRoute {
        let now = Instant::now();
        let core = self.lock();
        choose_state_route(&self.route_host(&core, now), core.roster.live_hosts(now), is_avoided)
    }

    /// Mesh addresses of the hosts that must hear soon whether this one follows the store; none if that has not changed since
    /// the latest heartbeat.
    pub fn store_news_receivers(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let core = self.lock();
        match core.follows_store() == core.published_follows_store {
            true => Vec::new(),
            false => other_candidates(&self.route_host(&core, now), core.roster.live_hosts(now)),
        }
    }

    fn route_host(&self, core: &EntryCore, now: Instant) -> RouteHost<'_> {
        RouteHost {
            host: &self.identity.host,
            region: &self.identity.region,
            capacity: self.settings.capacity_cores,
            incarnation: self.identity.incarnation,
            reaches_store: core.store_contacts.iter().all(|contact| contact.may_try(now)),
        }
    }

    /// Whether this host watches with short waits on behalf of its region: it is the first relay, the largest and then first
    /// by name of the live hosts there that reach the store.
    pub fn is_region_poller(&self) -> bool {
        let core = self.lock();
        let capacity = self.settings.capacity_cores;
        let mut live = core.roster.live_hosts(Instant::now());
        !live.any(|news| {
            news.region == self.identity.region
                && news.phase == HostPhase::Serving
                && news.reaches_store
                && (news.capacity > capacity
                    || news.capacity == capacity && news.host < self.identity.host)
        })
    }

    /// Starts a new heartbeat: increments its number and fixes the demand that is reported until the next one.
    pub fn begin_heartbeat(&self) {
        let mut core = self.lock();
        core.heartbeat_number += 1;
        core.published_follows_store = core.follows_store();
        core.quotas.publish_demand(self.token_time());
    }

    /// Heartbeat content of this host. Its demand was fixed by [`begin_heartbeat`](Self::begin_heartbeat), so that all
    /// receivers of one heartbeat get the same figures.
    pub fn own_heartbeat(&self) -> HostHeartbeat {
        let core = self.lock();
        let demand = core.quotas.published_demand();
        HostHeartbeat {
            demand,
            spill: core.board.spill_shares(),
            loads: core.board.measured_loads(Instant::now()),
            ..self.heartbeat_without_load(&core)
        }
    }

    /// Heartbeat content of this host with empty demand and spill.
    fn heartbeat_without_load(&self, core: &EntryCore) -> HostHeartbeat {
        HostHeartbeat {
            host: self.identity.host.clone(),
            incarnation: self.identity.incarnation,
            beat: core.heartbeat_number,
            phase: core.phase,
            failure_domain: self.identity.failure_domain.clone(),
            region: self.identity.region.clone(),
            callers: self.identity.caller_address,
            mesh: self.identity.mesh_address,
            capacity: self.settings.capacity_cores,
            applied: core.applied.map(|version| version.revision),
            eras: core.applied.map(|version| version.era),
            configuration_number: core.configuration_number,
            reaches_store: core.reaches_store(),
            follows_store: core.follows_store(),
            store_seen: core.sightings.report(Instant::now()),
            reaches_targets: !core.reach.is_lost(),
            fleet: core.roster.known_hosts().count() + 1,
            demand: IndexMap::new(),
            spill: IndexMap::new(),
            loads: IndexMap::new(),
        }
    }

    /// Whether this host knows enough of the fleet to compute the same shares and keepers as the other hosts.
    pub fn has_joined(&self) -> bool {
        self.lock().has_joined
    }

    /// Marks this host as joined once it has heard of nearly as many hosts as the others report. A host that knew only a few
    /// would assume that it alone sends to cold targets and keeps customers' tokens.
    pub(super) fn update_joined(&self, core: &mut EntryCore, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started_at);
        let known = core.roster.known_hosts().count() + 1;
        let reported = core.roster.known_hosts().map(|news| news.fleet).max();
        core.has_joined |= match reported {
            _ if elapsed >= MAX_JOIN_TIME || self.is_only_seed() => true,
            Some(reported) => {
                elapsed >= MIN_JOIN_TIME && known as f64 >= reported as f64 * JOINED_SHARE
            }
            None => false,
        };
    }

    fn is_only_seed(&self) -> bool {
        self.settings.seeds.iter().all(|seed| *seed == self.identity.mesh_address)
    }

    /// Computes the keepers of customers' tokens from the known hosts, and divides the limits of the customers kept here.
    pub(super) fn rebalance(&self, core: &mut EntryCore, now: Instant) {
        let own_heartbeat = self.heartbeat_without_load(core);
        let EntryCore { roster, quotas, keepers, .. } = core;
        let others =
            roster.hosts_with_liveness(now).filter(|(news, _)| news.host != self.identity.host);
        *keepers = QuotaKeepers::select_at_age(
            &self.identity.region,
            now.saturating_duration_since(self.started_at),
            others.chain(std::iter::once((&own_heartbeat, true))),
        );
        let is_kept_here = |customer: &str| keepers.is_kept_by(&self.identity.host, customer);
        let other_regions: IndexSet<&RegionId> = self
            .settings
            .domains
            .values()
            .filter(|region| **region != self.identity.region)
            .collect();
        let remote_demand = |customer: &str| {
            other_regions.iter().map(|region| roster.demand_in_region(region, customer)).collect()
        };
        let hosts = roster.known_hosts().count() + 1;
        quotas.rebalance(
            &QuotaView {
                host_count: hosts,
                is_keeper: &is_kept_here,
                other_demands: &remote_demand,
            },
            self.token_time(),
        );
    }

    /// Updates the target board with the hosts that share cold targets with this one, and with the shares of requests that
    /// hosts of the same region send outside it.
    pub(super) fn update_placement(&self, core: &mut EntryCore, now: Instant) {
        let own = &self.identity.host;
        let EntryCore { roster, board, .. } = &mut *core;
        let hosts = roster.known_hosts().filter(|news| news.host != *own).map(board_host);
        let own_host = BalancerHost {
            host: own.clone(),
            failure_domain: self.identity.failure_domain.clone(),
            region: self.identity.region.clone(),
        };
        board.set_hosts(std::iter::once(own_host).chain(hosts).collect(), now);
        let is_neighbour =
            |news: &&HostHeartbeat| news.region == self.identity.region && news.host != *own;
        board.set_neighbour_spill_shares(mean_spill_shares(
            roster.live_hosts(now).filter(is_neighbour),
        ));
        board.set_neighbour_loads(&mean_loads(
            roster.recent_senders(MAX_LOAD_AGE, now).filter(is_neighbour),
        ));
        core.log_spill_shares();
    }
}

/// Mean share of requests sent outside the region by service, over the hosts that report one for the service.
fn mean_spill_shares<'a>(
    hosts: impl Iterator<Item = &'a HostHeartbeat>,
) -> IndexMap<ServiceId, f64> {
    let mut sums: IndexMap<ServiceId, (f64, f64)> = IndexMap::new();
    for (service, share) in hosts.flat_map(|news| &news.spill) {
        let sum = sums.entry(service.clone()).or_default();
        *sum = (sum.0 + share.clamp(0.0, 1.0), sum.1 + 1.0);
    }
    sums.into_iter().map(|(service, (sum, count))| (service, sum / count)).collect()
}

/// Mean loads of targets by service, over the hosts that report some.
fn mean_loads<'a>(
    hosts: impl Iterator<Item = &'a HostHeartbeat>,
) -> IndexMap<ServiceId, RegionLoads> {
    let mut sums: IndexMap<ServiceId, (RegionLoads, f32)> = IndexMap::new();
    let bounded = |load: f32| if load.is_finite() { load.max(0.0) } else { 0.0 };
    for (service, loads) in hosts.flat_map(|news| &news.loads) {
        let (sum, count) = sums.entry(service.clone()).or_default();
        *sum = (sum.0 + bounded(loads.0), sum.1 + bounded(loads.1));
        *count += 1.0;
    }
    let means = sums.into_iter();
    means.map(|(service, (sum, count))| (service, (sum.0 / count, sum.1 / count))).collect()
}

fn board_host(news: &HostHeartbeat) -> BalancerHost {
    BalancerHost {
        host: news.host.clone(),
        failure_domain: news.failure_domain.clone(),
        region: news.region.clone(),
    }
}
