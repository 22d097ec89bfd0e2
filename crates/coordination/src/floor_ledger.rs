//! Tracks which floors of its failure domain one process may use while floor plans replace each other.

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

/// Plans that may wait to settle; one more makes the process give up every floor.
const MAX_PENDING_PLANS: usize = 16;

/// Latest acknowledgement from a process start that it has given up the floors it lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShrinkReport {
    /// Process start that sent the acknowledgement.
    pub incarnation: Incarnation,
    /// Latest epoch whose losses the process has given up.
    pub shrunk_epoch: Epoch,
}

/// Floors of one failure domain that one process may use. A floor is the part of a limit that is guaranteed to its
/// holder. It is usable while the last settled plan and every later plan assign it to this process; a floor that a plan
/// newly assigns becomes usable when that plan settles.
#[derive(Clone, Debug)]
pub struct FloorLedger {
    domain: DomainId,
    host: HostId,
    incarnation: Incarnation,
    settled: Option<FloorPlan>,
    pending: Vec<PendingPlan>,
    /// Set when an epoch was skipped: every floor held before must be given up before the next acknowledgement.
    must_give_up_all: bool,
    shrunk_epoch: Epoch,
}

#[derive(Clone, Debug)]
struct PendingPlan {
    plan: FloorPlan,
    seen_at: Instant,
}

impl FloorLedger {
    /// Creates a ledger that knows no plan, so that no floor is usable.
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

    /// Adds a newer plan. Returns `false` and ignores the plan if it is of another domain or not newer. The first plan
    /// of a domain settles at once, because no host held a floor before it.
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

    /// Gives up every floor. A skipped plan may have assigned a floor of this process to another host, which opens it
    /// once this process acknowledges any later epoch. So all floors are given up before that, even those that the
    /// latest plan assigns to this process again.
    fn give_up_all(&mut self) {
        self.pending.clear();
        self.settled = None;
        self.must_give_up_all = true;
    }

    /// Whether this process must give up the item's floor before it acknowledges the latest plan.
    pub fn has_lost(&self, kind: FloorKind, item: &str) -> bool {
        self.must_give_up_all || !self.is_latest_assignee(kind, item)
    }

    /// Latest known plan, settled or not; `None` before the first one.
    pub fn latest(&self) -> Option<&FloorPlan> {
        self.pending.last().map(|pending| &pending.plan).or(self.settled.as_ref())
    }

    /// Epoch of the latest known plan; 0 if there is none.
    pub fn epoch(&self) -> Epoch {
        self.latest().map_or(0, |plan| plan.epoch)
    }

    /// Latest epoch whose losses this process has given up; sent to other hosts as its acknowledgement.
    pub fn shrunk_epoch(&self) -> Epoch {
        self.shrunk_epoch
    }

    /// Records that nothing lost under the plans up to `epoch` is used or lent any more.
    pub fn confirm_shrunk(&mut self, epoch: Epoch) {
        self.shrunk_epoch = self.shrunk_epoch.max(epoch.min(self.epoch()));
        self.must_give_up_all &= self.shrunk_epoch < self.epoch();
    }

    /// Settles the latest plan if every process that may still use a floor of an earlier plan has given it up, and returns
    /// whether it did. `report_of` returns the latest acknowledgement of a host. If the plan names dead processes, it
    /// settles only after the loans of these processes have expired.
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

    /// Whether the plans let this process use the item's floor now.
    pub fn holds(&self, kind: FloorKind, item: &str) -> bool {
        let Some(settled) = &self.settled else { return false };
        self.assigns(settled, kind, item)
            && self.pending.iter().all(|pending| self.assigns(&pending.plan, kind, item))
    }

    /// Whether the latest plan assigns the item's floor to this process, settled or not.
    pub fn is_latest_assignee(&self, kind: FloorKind, item: &str) -> bool {
        self.latest().is_some_and(|plan| self.assigns(plan, kind, item))
    }

    /// Host to which the latest plan assigns the item's floor; `None` without a plan or holders.
    pub fn latest_holder(&self, kind: FloorKind, item: &str) -> Option<&HostId> {
        self.latest().and_then(|plan| floor_holder(plan, kind, item))
    }

    /// Share of this process in limits that are split evenly over the domain's holders, in parts per million; the
    /// smallest one of the settled and pending plans.
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
