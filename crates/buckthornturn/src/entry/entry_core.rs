//! State of an entry host that routing decisions read and change, guarded by one lock.

use std::net::SocketAddr;
use std::time::Instant;

use coordination::fleet::BalancerHost;
use coordination::fleet::ClosedDomains;
use coordination::fleet::ConfigurationPosition;
use coordination::fleet::CrashLedger;
use coordination::fleet::EntryChange;
use coordination::fleet::FleetBudget;
use coordination::fleet::HostHeartbeat;
use coordination::fleet::HostPhase;
use coordination::fleet::HostRoster;
use coordination::fleet::QuotaKeepers;
use coordination::fleet::QuotaLedger;
use coordination::fleet::RetryAllowance;
use coordination::fleet::RouteSplit;
use coordination::fleet::SightingReport;
use coordination::fleet::StateVersion;
use coordination::fleet::StoreContact;
use coordination::fleet::StoreSightings;
use coordination::fleet::TargetBalancer;
use coordination::fleet::TargetEntry;
use coordination::fleet::TargetReach;
use coordination::ids::ConfigurationNumber;
use coordination::ids::Era;
use coordination::ids::RouteId;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;
use indexmap::IndexMap;
use indexmap::IndexSet;
use spdlog::info;
use spdlog::warn;

use crate::entry::ChangeHistory;
use crate::entry::warning_throttle::WarningThrottle;
use crate::interface::StateBatch;
use crate::interface::StateChange;
use crate::interface::StatePart;
use crate::membership::HostIdentity;
use crate::settings::EntryBounds;

/// Change of a share of requests outside the region from which it is logged.
const LOGGED_SPILL_CHANGE: f64 = 0.1;

/// State that routing decisions read and change. It is guarded by one lock, which must not be held across an `await`.
pub struct EntryCore {
    /// Known targets with their load, from which requests are placed.
    pub board: TargetBalancer,
    /// Whether this host can open connections to targets.
    pub reach: TargetReach,
    /// Requests that crash targets.
    pub crashes: CrashLedger,
    /// Quota tokens that this host holds or hands out, by customer.
    pub quotas: QuotaLedger,
    /// Hosts that hand out the customers' quota tokens, computed from the roster.
    pub keepers: QuotaKeepers,
    /// Other entry hosts that heartbeats tell of.
    pub roster: HostRoster,
    pub(super) retry_allowances: IndexMap<ServiceId, RetryAllowance>,
    pub(super) route_splits: IndexMap<RouteId, RouteSplit>,
    pub(super) closed: ClosedDomains,
    pub(super) missing_targets: IndexMap<TargetId, Instant>,
    pub(super) applied: [StateVersion; StatePart::ALL.len()],
    pub(super) configuration_number: ConfigurationNumber,
    pub(super) histories: [ChangeHistory; StatePart::ALL.len()],
    pub(super) has_read_targets: bool,
    pub(super) has_joined: bool,
    pub(super) store_contacts: [StoreContact; StatePart::ALL.len()],
    /// Whether the latest heartbeat said that this host follows the store.
    pub(super) published_follows_store: bool,
    /// When the store answered some host, and whether it was lost for all.
    pub(super) sightings: StoreSightings,
    pub(super) last_answer_at: [Instant; StatePart::ALL.len()],
    pub(super) heartbeat_number: u64,
    pub(super) warnings: WarningThrottle,
    pub(super) phase: HostPhase,
    /// Share of requests outside the region, by service, as the log told it last.
    pub(super) logged_spill_shares: IndexMap<ServiceId, f64>,
}

impl EntryCore {
    /// Creates the state of a host that has read nothing yet. `caller_share` is passed on to the target board.
    pub(super) fn new(identity: &HostIdentity, caller_share: f64) -> Self {
        let board_host = BalancerHost {
            host: identity.host.clone(),
            failure_domain: identity.failure_domain.clone(),
            region: identity.region.clone(),
        };
        Self {
            board: TargetBalancer::new(board_host, caller_share),
            reach: TargetReach::default(),
            crashes: CrashLedger::default(),
            quotas: QuotaLedger::default(),
            keepers: QuotaKeepers::default(),
            roster: HostRoster::default(),
            retry_allowances: IndexMap::new(),
            route_splits: IndexMap::new(),
            closed: ClosedDomains::default(),
            missing_targets: IndexMap::new(),
            applied: Default::default(),
            configuration_number: 0,
            histories: Default::default(),
            has_read_targets: false,
            has_joined: false,
            store_contacts: [StoreContact::default(); StatePart::ALL.len()],
            published_follows_store: false,
            sightings: StoreSightings::new(Instant::now()),
            last_answer_at: [Instant::now(); StatePart::ALL.len()],
            heartbeat_number: 0,
            warnings: WarningThrottle::default(),
            phase: HostPhase::Starting,
            logged_spill_shares: IndexMap::new(),
        }
    }

    /// Passes the bounds that all hosts share on to the parts that keep them.
    pub(super) fn apply_bounds(&mut self, bounds: &EntryBounds) {
        self.quotas.set_tolerance(bounds.quota_tolerance());
        self.board.set_cold_tolerance(bounds.cold_tolerance());
        self.board.set_spill_pace(bounds.spill_pace());
    }

    /// Latest change of a part that was applied; 0 before the first.
    pub fn applied(&self, part: StatePart) -> StateVersion {
        self.applied[part as usize]
    }

    /// Place of the configuration in force.
    pub fn configuration_position(&self) -> ConfigurationPosition {
        ConfigurationPosition {
            stored_at: self.applied(StatePart::Configuration),
            number: self.configuration_number,
        }
    }

    /// Latest era of the store that this host or a live one has read.
    pub fn store_era(&self, now: Instant) -> Era {
        let own = self.histories.iter().map(|history| history.version().era);
        own.chain(self.roster.live_hosts(now).map(HostHeartbeat::store_era)).max().unwrap_or(0)
    }

    /// Whether another host has applied a later change of a part than this one.
    pub(super) fn is_behind(&self, part: StatePart, news: &HostHeartbeat) -> bool {
        match part {
            StatePart::Configuration => {
                news.configuration_position().supersedes(&self.configuration_position())
            }
            StatePart::Targets | StatePart::ClosedDomains => {
                news.applied_version(part as usize) > self.applied(part)
            }
        }
    }

    /// Mesh address of the live host that has applied the latest change of a part; `None` if none is ahead of this host.
    pub(super) fn peer_ahead(&self, part: StatePart) -> Option<SocketAddr> {
        let ahead =
            self.roster.live_hosts(Instant::now()).filter(|news| self.is_behind(part, news));
        let furthest = ahead.reduce(|furthest, news| match part {
            StatePart::Configuration => {
                let position = news.configuration_position();
                if position.supersedes(&furthest.configuration_position()) {
                    news
                } else {
                    furthest
                }
            }
            part => {
                std::cmp::max_by_key(furthest, news, |news| news.applied_version(part as usize))
            }
        });
        furthest.map(|news| news.mesh)
    }

    /// Whether a whole part as read from another host has a later change than this host has applied.
    pub(super) fn is_later(&self, part: StatePart, snapshot: &StateBatch) -> bool {
        let known_era = self.histories[part as usize].version().era;
        match (part, snapshot.configuration_position()) {
            _ if snapshot.era < known_era => false,
            (StatePart::Configuration, Some(position)) => {
                position.supersedes(&self.configuration_position())
            }
            _ => snapshot.latest_version() > self.applied(part),
        }
    }

    /// Whether a whole part as read from another host is older than what this host has applied.
    pub(super) fn is_outdated(&self, part: StatePart, snapshot: &StateBatch) -> bool {
        let known_era = self.histories[part as usize].version().era;
        match (part, snapshot.configuration_position()) {
            _ if snapshot.era < known_era => true,
            (StatePart::Configuration, Some(position)) => {
                self.configuration_position().supersedes(&position)
            }
            _ => snapshot.latest_version() < self.applied(part),
        }
    }

    /// Whether the latest calls to the store were answered, for all parts.
    pub fn reaches_store(&self) -> bool {
        self.store_contacts.iter().all(StoreContact::reaches_store)
    }

    /// Whether this host follows the store itself, for all parts.
    pub fn follows_store(&self) -> bool {
        self.store_contacts.iter().all(StoreContact::follows_store)
    }

    /// Takes over when the store answered other hosts. If it did so throughout, this host and those of its failure domain were
    /// cut off, and the targets that it kept as missing are gone.
    pub(super) fn merge_sighting(&mut self, report: SightingReport, now: Instant) {
        if self.sightings.merge_report(report, now) {
            let count = self.missing_targets.len() as u64;
            info!("host was cut off, the store was not lost", kv: { missing: = count });
            if !self.sightings.is_after_copy(now) {
                self.missing_targets.values_mut().for_each(|until| *until = now);
                self.remove_expired_targets(now);
            }
        }
    }

    /// Records an outage of the store if neither this host nor a live one follows it. A host that alone is cut off from
    /// the store sees no outage, because the entries of live targets expire only if the store is lost for all. Hosts that are
    /// cut off together see one until another host reports otherwise.
    pub(super) fn update_outage(&mut self, now: Instant) {
        let is_followed = self.store_contacts.iter().any(StoreContact::follows_store)
            || self.roster.live_hosts(now).any(|news| news.follows_store);
        if self.has_read_targets && !is_followed {
            self.sightings.record_outage(now);
        }
    }

    /// Whether the host is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.phase == HostPhase::Leaving
    }

    /// Picks the next service of a route's split, as an index into `weights`; `None` if there are no weights.
    pub fn draw_service(&mut self, route: &RouteId, weights: &[f64]) -> Option<usize> {
        match weights {
            [] => None,
            [_] => Some(0),
            _ => self.route_splits.entry(route.clone()).or_default().draw(weights),
        }
    }

    /// Records a first attempt for a service, which adds to this host's retries within the fleet's `budget`.
    pub fn record_first_attempt(&mut self, service: &ServiceId, budget: FleetBudget) {
        let host_count = self.roster.known_hosts().count() + 1;
        let allowance = self.retry_allowances.entry(service.clone()).or_default();
        allowance.record_first_attempt(budget, host_count);
    }

    /// Takes one retry for a service; returns `false` if this host may send none now.
    pub fn take_retry(&mut self, service: &ServiceId) -> bool {
        let allowance = self.retry_allowances.get_mut(service);
        allowance.is_some_and(RetryAllowance::take_retry)
    }

    /// Records that a part was read from a store that came back from an older copy, before the copy is applied.
    pub(super) fn begin_era(&mut self, part: StatePart, version: StateVersion, now: Instant) {
        let known = self.histories[part as usize].version();
        warn!("store came back from an older copy", kv: { part: = part.name(), version:, known: });
        self.sightings.record_copy(now);
        if part == StatePart::Targets {
            self.board.begin_era(now);
        }
    }

    /// Applies a change of targets or failure domains.
    pub(super) fn apply_change(&mut self, change: StateChange, now: Instant) {
        match change {
            StateChange::Configuration(_) => {}
            StateChange::Target(entry) => self.upsert_target(entry, now),
            StateChange::TargetGone(target) => self.remove_target(target, now),
            StateChange::DomainClosed(domain) => self.closed.close(domain),
            StateChange::DomainOpened(domain) => self.closed.open(&domain),
        }
    }

    /// Records the latest change of a batch that was applied.
    pub(super) fn record_applied(&mut self, part: StatePart, latest: StateVersion) {
        let applied = &mut self.applied[part as usize];
        // The configuration in force may be one that the store of a later era lacks.
        if part != StatePart::Configuration || latest.era == applied.era {
            *applied = latest.max(*applied);
        }
    }

    /// Logs the shares of requests that this host sends outside its region, where they moved by `LOGGED_SPILL_CHANGE`.
    pub(super) fn log_spill_shares(&mut self) {
        for (service, share, room) in self.board.spill_rooms() {
            let logged = self.logged_spill_shares.entry(service.clone()).or_default();
            if (share - *logged).abs() >= LOGGED_SPILL_CHANGE {
                let was = std::mem::replace(logged, share);
                info!("share outside the region changed", kv: {
                    service:, share:, was:, room_inside: = room.inside, room_outside: = room.outside
                });
            }
        }
    }

    pub(super) fn upsert_target(&mut self, entry: TargetEntry, now: Instant) {
        self.missing_targets.shift_remove(&entry.target);
        let (target, state) = (entry.target.clone(), entry.state);
        let (service, domain) = (entry.service.clone(), entry.failure_domain.clone());
        match self.board.upsert_target(entry, now) {
            EntryChange::Same => {}
            change => info!("target entry applied", kv: {
                target:, service:, failure_domain: = domain, state:?, change:?
            }),
        }
    }

    /// Removes a target whose entry is gone, or keeps it for a time if entries of live targets may be missing.
    pub(super) fn remove_target(&mut self, target: TargetId, now: Instant) {
        let grace_end = self.sightings.grace_end(now);
        match grace_end.filter(|_| self.board.accepts_requests(&target)) {
            Some(until) => {
                info!("target may come back", kv: { target: });
                self.missing_targets.entry(target).or_insert(until);
            }
            None => self.drop_target(&target, now),
        }
    }

    fn drop_target(&mut self, target: &TargetId, now: Instant) {
        self.missing_targets.shift_remove(target);
        if self.board.remove_target(target, now) {
            info!("target is gone", kv: { target: });
        }
    }

    pub(super) fn retain_listed_targets(&mut self, changes: &[StateChange], now: Instant) {
        let listed: IndexSet<&str> = changes
            .iter()
            .filter_map(|change| match change {
                StateChange::Target(entry) => Some(&*entry.target),
                _ => None,
            })
            .collect();
        let missing = self.board.target_names().filter(|name| !listed.contains(&***name)).cloned();
        for target in missing.collect::<Vec<_>>() {
            self.remove_target(target, now);
        }
    }

    pub(super) fn remove_expired_targets(&mut self, now: Instant) {
        let due: Vec<TargetId> = self
            .missing_targets
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(target, _)| target.clone())
            .collect();
        for target in due {
            self.drop_target(&target, now);
        }
    }
}
