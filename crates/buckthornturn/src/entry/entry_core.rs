//! State of an entry host that routing decisions read and change, guarded by one lock.

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

/// Time for which a target stays in use after its entry went missing around an outage of the store. The platform restores
/// the entries of live targets within about two seconds of the store's return.
const MISSING_TARGET_GRACE: Duration = Duration::from_millis(2_000);

/// State that routing decisions read and change. It is guarded by one lock, which must not be held across an `await`.
pub struct EntryCore {
    /// Known targets with their load, from which requests are placed.
    pub board: TargetBalancer,
    /// Quota tokens that this host holds or hands out, by customer.
    pub quotas: QuotaLedger,
    /// Hosts that hand out the customers' quota tokens, computed from the roster.
    pub keepers: QuotaKeepers,
    /// Other entry hosts that heartbeats tell of.
    pub roster: HostRoster,
    pub(super) retry_budgets: IndexMap<ServiceId, RetryBudget>,
    pub(super) route_splits: IndexMap<RouteId, RouteSplit>,
    pub(super) closed: IndexSet<DomainId>,
    pub(super) missing_targets: IndexMap<TargetId, Instant>,
    pub(super) applied: [Revision; StatePart::ALL.len()],
    pub(super) histories: [ChangeHistory; StatePart::ALL.len()],
    pub(super) has_read_targets: bool,
    pub(super) has_joined: bool,
    pub(super) is_unreached: [bool; StatePart::ALL.len()],
    pub(super) last_answer_at: [Instant; StatePart::ALL.len()],
    pub(super) heartbeat_number: u64,
    pub(super) phase: HostPhase,
}

impl EntryCore {
    /// Creates the state of a host that has read nothing yet. `caller_share` is passed on to the target board.
    pub(super) fn new(identity: &HostIdentity, caller_share: f64) -> Self {
        let board_host = BalancerHost {
            host: identity.host.clone(),
            failure_domain: identity.failure_domain.clone(),
        };
        Self {
            board: TargetBalancer::new(board_host, identity.region.clone(), caller_share),
            quotas: QuotaLedger::default(),
            keepers: QuotaKeepers::default(),
            roster: HostRoster::default(),
            retry_budgets: IndexMap::new(),
            route_splits: IndexMap::new(),
            closed: IndexSet::new(),
            missing_targets: IndexMap::new(),
            applied: [0; StatePart::ALL.len()],
            histories: Default::default(),
            has_read_targets: false,
            has_joined: false,
            is_unreached: [false; StatePart::ALL.len()],
            last_answer_at: [Instant::now(); StatePart::ALL.len()],
            heartbeat_number: 0,
            phase: HostPhase::Starting,
        }
    }

    /// Revision of the latest change of a part that was applied; 0 before the first.
    pub fn applied(&self, part: StatePart) -> Revision {
        self.applied[part as usize]
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

    /// Retry budget of a service, created on first use.
    pub fn retry_budget(&mut self, service: &ServiceId) -> &mut RetryBudget {
        self.retry_budgets.entry(service.clone()).or_default()
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

    pub(super) fn remove_target(&mut self, target: TargetId, is_outage: bool, now: Instant) {
        match is_outage && self.board.accepts_requests(&target) {
            true => {
                info!("target may come back", kv: { target: });
                self.missing_targets.entry(target).or_insert(now + MISSING_TARGET_GRACE);
            }
            false if self.board.remove_target(&target, now) => {
                info!("target is gone", kv: { target: })
            }
            false => {}
        }
    }

    pub(super) fn retain_listed_targets(
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
            self.remove_target(target, is_outage, now);
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
            self.missing_targets.shift_remove(&target);
            self.remove_target(target, false, now);
        }
    }
}
