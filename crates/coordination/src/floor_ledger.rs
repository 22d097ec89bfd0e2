//! What one host may use of a failure domain's floors while plans follow each other.

use std::time::Instant;

use crate::floor_plan::FloorPlan;
use crate::floor_share::FloorKind;
use crate::floor_share::even_ppm;
use crate::floor_share::floor_holder;
use crate::ids::DomainId;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::lease_term::LEASE_TERM;
use crate::lease_term::lender_term;

const MAX_PENDING_PLANS: usize = 16;

/// What a process start last said about the floors that it gave up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShrinkReport {
    /// Process start that said it.
    pub incarnation: Incarnation,
    /// Epoch up to which it gave up what it lost.
    pub shrunk_epoch: Epoch,
}

/// Floors of one failure domain as one process may use them. A floor is usable while the last plan that has
/// settled and every later plan give it to this process; a gain opens when its plan settles.
#[derive(Clone, Debug)]
pub struct FloorLedger {
    domain: DomainId,
    host: HostId,
    incarnation: Incarnation,
    settled: Option<FloorPlan>,
    pending: Vec<PendingPlan>,
    /// Whether an epoch was skipped, so that everything held before must be given up.
    must_give_up_all: bool,
    shrunk_epoch: Epoch,
}

#[derive(Clone, Debug)]
struct PendingPlan {
    plan: FloorPlan,
    seen_at: Instant,
}

impl FloorLedger {
    /// A ledger of a process that knows no plan yet.
    pub fn new(domain: DomainId, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            domain,
            host,
            incarnation,
            settled: None,
            pending: Vec::new(),
            must_give_up_all: false,
            shrunk_epoch: 0,
        }
    }

    /// Takes a later plan; returns whether it was one. The first plan of a domain settles at once, as nobody held
    /// anything before it.
    pub fn advance(&mut self, plan: FloorPlan, now: Instant) -> bool {
        if plan.domain != self.domain || plan.epoch <= self.epoch() {
            return false;
        }
        if self.epoch() > 0 && plan.epoch > self.epoch() + 1 {
            self.give_up_all();
        }
        if plan.epoch == 1 {
            self.shrunk_epoch = 1;
            self.settled = Some(plan);
            return true;
        }
        if self.pending.len() == MAX_PENDING_PLANS {
            self.give_up_all();
        }
        self.pending.push(PendingPlan { plan, seen_at: now });
        true
    }

    /// A skipped epoch may have given to another what this process held, and the other counts on this process's
    /// acknowledgement of any later epoch. So it first gives up all, even what the latest plan gives back to it.
    fn give_up_all(&mut self) {
        self.pending.clear();
        self.settled = None;
        self.must_give_up_all = true;
    }

    /// Whether this process must have given up an item before it acknowledges the latest plan.
    pub fn has_lost(&self, kind: FloorKind, item: &str) -> bool {
        self.must_give_up_all || !self.is_latest_assignee(kind, item)
    }

    /// Latest plan known.
    pub fn latest(&self) -> Option<&FloorPlan> {
        self.pending.last().map(|pending| &pending.plan).or(self.settled.as_ref())
    }

    /// Epoch of the latest plan known; 0 if none.
    pub fn epoch(&self) -> Epoch {
        self.latest().map_or(0, |plan| plan.epoch)
    }

    /// Epoch up to which this process gave up what it lost.
    pub fn shrunk_epoch(&self) -> Epoch {
        self.shrunk_epoch
    }

    /// Takes note that nothing lost under the latest plan is used or lent any more.
    pub fn confirm_shrunk(&mut self, epoch: Epoch) {
        self.shrunk_epoch = self.shrunk_epoch.max(epoch.min(self.epoch()));
        self.must_give_up_all &= self.shrunk_epoch < self.epoch();
    }

    /// Opens gains if everybody who may still use an earlier floor has given it up. Returns whether it did.
    pub fn settle(
        &mut self,
        report_of: impl Fn(&str) -> Option<ShrinkReport>,
        now: Instant,
    ) -> bool {
        let Some(latest) = self.pending.last() else { return false };
        let plan = &latest.plan;
        let has_shrunk = |(host, incarnation): (&HostId, &Incarnation)| match report_of(host) {
            _ if plan.gone.get(host) == Some(incarnation) => true,
            _ if *host == self.host && *incarnation == self.incarnation => {
                self.shrunk_epoch >= plan.epoch
            }
            Some(report) => report.incarnation == *incarnation && report.shrunk_epoch >= plan.epoch,
            None => false,
        };
        let has_waited = plan.gone.is_empty()
            || now.saturating_duration_since(latest.seen_at) >= lender_term(LEASE_TERM);
        if !has_waited || !plan.holders.iter().chain(&plan.awaited).all(has_shrunk) {
            return false;
        }
        self.settled = Some(plan.clone());
        self.pending.clear();
        true
    }

    /// Whether this process may use an item's floor, as far as the plans go.
    pub fn holds(&self, kind: FloorKind, item: &str) -> bool {
        let Some(settled) = &self.settled else { return false };
        self.assigns(settled, kind, item)
            && self.pending.iter().all(|pending| self.assigns(&pending.plan, kind, item))
    }

    /// Whether the latest plan gives an item's floor to this process, open or not.
    pub fn is_latest_assignee(&self, kind: FloorKind, item: &str) -> bool {
        self.latest().is_some_and(|plan| self.assigns(plan, kind, item))
    }

    /// Host to which the latest plan gives an item's floor.
    pub fn latest_holder(&self, kind: FloorKind, item: &str) -> Option<&HostId> {
        self.latest().and_then(|plan| floor_holder(plan, kind, item))
    }

    /// Part of the domain's even cut over holders that this process may use, in parts per million.
    pub fn even_share_ppm(&self) -> u32 {
        let Some(settled) = &self.settled else { return 0 };
        let part = |plan: &FloorPlan| match plan.holders.get(&self.host) {
            Some(start) if *start == self.incarnation => even_ppm(plan.holders.len()),
            _ => 0,
        };
        let pending = self.pending.iter().map(|pending| part(&pending.plan));
        pending.fold(part(settled), u32::min)
    }

    fn assigns(&self, plan: &FloorPlan, kind: FloorKind, item: &str) -> bool {
        plan.holders.get(&self.host) == Some(&self.incarnation)
            && floor_holder(plan, kind, item) == Some(&self.host)
    }
}
