//! An entry host of the quota model: the real roster, keepers and ledger, joined to a fleet as the program does it.

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::CustomerLimit;
use coordination::fleet::HostHeartbeat;
use coordination::fleet::HostPhase;
use coordination::fleet::HostRoster;
use coordination::fleet::LivenessDigest;
use coordination::fleet::QuotaKeepers;
use coordination::fleet::QuotaLedger;
use coordination::fleet::QuotaView;
use coordination::ids::RegionId;

use crate::support::heartbeats::heartbeat;

/// The limited customer.
pub const CUSTOMER: &str = "c";
/// Regions of the fleet.
pub const REGIONS: [&str; 3] = ["r1", "r2", "r3"];

const DOMAINS: usize = 9;
const MIN_JOIN_TIME: Duration = Duration::from_millis(500);
const MAX_JOIN_TIME: Duration = Duration::from_millis(1_500);
const JOINED_SHARE: f64 = 0.9;
/// The first hosts are larger, as on the users' sites.
const LARGE_HOSTS: usize = 18;

/// Process of an entry host.
pub struct QuotaHost {
    /// Place of the host in the fleet.
    pub number: usize,
    /// Start of the process among those of the host.
    pub incarnation: u64,
    /// Known other hosts.
    pub roster: HostRoster,
    /// Keepers as of the last tick.
    pub keepers: QuotaKeepers,
    /// Tokens and limits.
    pub ledger: QuotaLedger,
    /// Whether the host knows most of the fleet and serves.
    pub has_joined: bool,
    /// Whether the host was the customer's keeper at the last tick.
    pub is_keeper: bool,
    beat: u64,
    started_at: Instant,
    /// When the host reads its state, without which it does not serve.
    pub reads_state_at: Instant,
}

/// Returns the region of a host.
pub fn region_of(number: usize) -> usize {
    number % REGIONS.len()
}

impl QuotaHost {
    /// Starts a process that knows no other host.
    pub fn start(number: usize, incarnation: u64, limit: CustomerLimit, now: Instant) -> Self {
        let mut ledger = QuotaLedger::default();
        ledger.set_limits([(CUSTOMER.into(), limit)].into_iter(), now);
        Self {
            number,
            incarnation,
            roster: HostRoster::default(),
            keepers: QuotaKeepers::default(),
            ledger,
            has_joined: false,
            is_keeper: false,
            beat: 0,
            started_at: now,
            reads_state_at: now,
        }
    }

    /// Starts the next heartbeat and returns it.
    pub fn next_heartbeat(&mut self, now: Instant) -> HostHeartbeat {
        self.beat += 1;
        self.ledger.publish_demand(now);
        self.own_heartbeat()
    }

    /// Returns the current heartbeat.
    pub fn own_heartbeat(&self) -> HostHeartbeat {
        let phase = if self.has_joined { HostPhase::Serving } else { HostPhase::Starting };
        HostHeartbeat {
            phase,
            region: REGIONS[region_of(self.number)].into(),
            failure_domain: format!("d{}", self.number % DOMAINS).into(),
            mesh: ([127, 0, 0, 1], self.number as u16).into(),
            capacity: if self.number < LARGE_HOSTS { 0.5 } else { 0.1 },
            fleet: self.roster.known_hosts().count() + 1,
            demand: self.ledger.published_demand(),
            ..heartbeat(&host_name(self.number), self.incarnation, self.beat)
        }
    }

    /// Applies a heartbeat and what came with it; returns whether its sender was unknown.
    pub fn record(
        &mut self,
        own: HostHeartbeat,
        others: Vec<HostHeartbeat>,
        seen: &[LivenessDigest],
        now: Instant,
    ) -> bool {
        let is_known = self.roster.knows_incarnation(&own.host, own.incarnation);
        let name = host_name(self.number);
        self.roster.record_heartbeat(own, true, now);
        for news in others.into_iter().filter(|news| *news.host != *name) {
            self.roster.record_heartbeat(news, false, now);
        }
        seen.iter().for_each(|sign| self.roster.record_liveness(*sign, now));
        !is_known
    }

    /// Runs the periodic work; returns whether the host became the keeper.
    pub fn tick(&mut self, now: Instant) -> bool {
        self.update_joined(now);
        self.roster.prune(now);
        let own = self.own_heartbeat();
        let hosts = self.roster.hosts_with_liveness(now).chain(std::iter::once((&own, true)));
        let age = now.saturating_duration_since(self.started_at);
        self.keepers = QuotaKeepers::select_at_age(&own.region, age, hosts);
        let is_keeper = self.keepers.is_kept_by(&own.host, CUSTOMER);
        let regions: Vec<RegionId> = REGIONS
            .iter()
            .filter(|region| ***region != *own.region)
            .map(|&region| region.into())
            .collect();
        let other_demands = |customer: &str| {
            regions.iter().map(|region| self.roster.demand_in_region(region, customer)).collect()
        };
        let view = QuotaView {
            host_count: self.roster.known_hosts().count() + 1,
            is_keeper: &|_| is_keeper,
            other_demands: &other_demands,
        };
        self.ledger.rebalance(&view, now);
        let is_new = is_keeper && !self.is_keeper;
        self.is_keeper = is_keeper;
        is_new
    }

    /// Returns the host that this one takes for the customer's keeper.
    pub fn keeper(&self) -> Option<usize> {
        self.keepers.keeper_of(CUSTOMER).map(|keeper| usize::from(keeper.mesh.port()))
    }

    fn update_joined(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started_at);
        if now < self.reads_state_at {
            return;
        }
        let known = self.roster.known_hosts().count() + 1;
        let reported = self.roster.known_hosts().map(|news| news.fleet).max();
        self.has_joined |= match reported {
            _ if elapsed >= MAX_JOIN_TIME => true,
            Some(reported) => {
                elapsed >= MIN_JOIN_TIME && known as f64 >= reported as f64 * JOINED_SHARE
            }
            None => false,
        };
    }
}

fn host_name(number: usize) -> String {
    format!("host-{number}")
}
