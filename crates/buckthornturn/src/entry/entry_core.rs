//! What an entry host decides by, under one lock.

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::BalancerHost;
use coordination::fleet::EntryChange;
use coordination::fleet::HostPhase;
use coordination::fleet::HostRoster;
use coordination::fleet::QuotaKeepers;
use coordination::fleet::QuotaLedger;
use coordination::fleet::RouteSplit;
use coordination::fleet::TargetBalancer;
use coordination::fleet::TargetEntry;
use coordination::ids::DomainId;
use coordination::ids::Revision;
use coordination::ids::RouteId;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;
use coordination::retry_budget::RetryBudget;
use indexmap::IndexMap;
use indexmap::IndexSet;
use spdlog::info;

use crate::entry::ChangeHistory;
use crate::interface::StateChange;
use crate::interface::StatePart;
use crate::membership::HostIdentity;

/// Time for which a target whose entry vanished around an outage of the store may come back; the platform says that
/// entries of living targets are back about two seconds after the store's return.
const RETURN_TIME: Duration = Duration::from_millis(2_000);

/// What an entry host knows and decides by, under one lock that is never held over a wait.
pub struct EntryCore {
    /// Targets.
    pub board: TargetBalancer,
    /// The customers' limits.
    pub quotas: QuotaLedger,
    /// Hosts that hand out the customers' tokens.
    pub keepers: QuotaKeepers,
    /// Other hosts.
    pub roster: HostRoster,
    pub(super) retries: IndexMap<ServiceId, RetryBudget>,
    pub(super) splits: IndexMap<RouteId, RouteSplit>,
    pub(super) closed: IndexSet<DomainId>,
    pub(super) vanished: IndexMap<TargetId, Instant>,
    pub(super) applied: [Revision; StatePart::ALL.len()],
    pub(super) histories: [ChangeHistory; StatePart::ALL.len()],
    pub(super) has_targets: bool,
    pub(super) has_joined: bool,
    pub(super) unreached: [bool; StatePart::ALL.len()],
    pub(super) heard_at: [Instant; StatePart::ALL.len()],
    pub(super) beat: u64,
    pub(super) phase: HostPhase,
}

impl EntryCore {
    /// The core of a host that knows nothing yet.
    pub(super) fn new(own: &HostIdentity, callers_part: f64) -> Self {
        let board_host =
            BalancerHost { host: own.host.clone(), failure_domain: own.failure_domain.clone() };
        Self {
            board: TargetBalancer::new(board_host, own.region.clone(), callers_part),
            quotas: QuotaLedger::default(),
            keepers: QuotaKeepers::default(),
            roster: HostRoster::default(),
            retries: IndexMap::new(),
            splits: IndexMap::new(),
            closed: IndexSet::new(),
            vanished: IndexMap::new(),
            applied: [0; StatePart::ALL.len()],
            histories: Default::default(),
            has_targets: false,
            has_joined: false,
            unreached: [false; StatePart::ALL.len()],
            heard_at: [Instant::now(); StatePart::ALL.len()],
            beat: 0,
            phase: HostPhase::Starting,
        }
    }

    /// Revision of the latest change of a part that was applied.
    pub fn applied(&self, part: StatePart) -> Revision {
        self.applied[part as usize]
    }

    /// Whether the host leaves.
    pub fn is_leaving(&self) -> bool {
        self.phase == HostPhase::Leaving
    }

    /// The next service of a route's split.
    pub fn draw_service(&mut self, route: &RouteId, weights: &[f64]) -> Option<usize> {
        match weights {
            [] => None,
            [_] => Some(0),
            _ => self.splits.entry(route.clone()).or_default().draw(weights),
        }
    }

    /// Retries of a service.
    pub fn retries(&mut self, service: &ServiceId) -> &mut RetryBudget {
        self.retries.entry(service.clone()).or_default()
    }

    pub(super) fn put_target(&mut self, entry: TargetEntry, now: Instant) {
        self.vanished.shift_remove(&entry.target);
        let (target, state) = (entry.target.clone(), entry.state);
        let (service, domain) = (entry.service.clone(), entry.failure_domain.clone());
        match self.board.upsert_target(entry, now) {
            EntryChange::Same => {}
            change => info!("target entry applied", kv: {
                target:, service:, failure_domain: = domain, state:?, change:?
            }),
        }
    }

    pub(super) fn target_gone(&mut self, target: TargetId, is_outage: bool, now: Instant) {
        match is_outage && self.board.accepts_requests(&target) {
            true => {
                info!("target may come back", kv: { target: });
                self.vanished.entry(target).or_insert(now + RETURN_TIME);
            }
            false if self.board.remove_target(&target, now) => {
                info!("target is gone", kv: { target: })
            }
            false => {}
        }
    }

    pub(super) fn retain_targets(
        &mut self,
        changes: &[StateChange],
        is_outage: bool,
        now: Instant,
    ) {
        let listed: IndexSet<&str> = changes
            .iter()
            .filter_map(|change| match change {
                StateChange::Target(entry) => Some(&*entry.target),
                _ => None,
            })
            .collect();
        let missing = self.board.target_names().filter(|name| !listed.contains(&***name)).cloned();
        for target in missing.collect::<Vec<_>>() {
            self.target_gone(target, is_outage, now);
        }
    }

    pub(super) fn drop_vanished(&mut self, now: Instant) {
        let due: Vec<TargetId> = self
            .vanished
            .iter()
            .filter(|(_, until)| now >= **until)
            .map(|(target, _)| target.clone())
            .collect();
        for target in due {
            self.vanished.shift_remove(&target);
            self.target_gone(target, false, now);
        }
    }
}
