//! Shared table of the floor plans known on this host.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use coordination::floor_plan::FloorPlan;
use coordination::ids::DomainId;
use coordination::ids::Epoch;
use indexmap::IndexMap;
use tokio::sync::watch;

/// Floor plans keyed by failure domain. A plan is replaced only by one with a later epoch.
pub type PlanTable = IndexMap<DomainId, FloorPlan>;

/// The floor plans known on this host. Clones share them. Hosts exchange floor plans like configuration.
#[derive(Clone, Debug, Default)]
pub struct PlanCell {
    sender: watch::Sender<Arc<PlanTable>>,
    shrunk_epoch: Arc<AtomicU64>,
}

impl PlanCell {
    /// Returns the current plans without waiting.
    pub fn load(&self) -> Arc<PlanTable> {
        Arc::clone(&self.sender.borrow())
    }

    /// Inserts a plan if its epoch is later than that of the domain's current plan and returns whether it was.
    pub fn insert_if_newer(&self, plan: FloorPlan) -> bool {
        self.sender.send_if_modified(|table| {
            let known_epoch = table.get(&plan.domain).map_or(0, |known| known.epoch);
            if plan.epoch <= known_epoch {
                return false;
            }
            Arc::make_mut(table).insert(plan.domain.clone(), plan);
            true
        })
    }

    /// Returns the epoch of the own domain's plan that heartbeats report as `plan_shrunk`; 0 if none was reported.
    pub fn shrunk_epoch(&self) -> Epoch {
        self.shrunk_epoch.load(Ordering::Acquire)
    }

    /// Raises the epoch that heartbeats report; a lower one than the current has no effect.
    pub fn report_shrunk_epoch(&self, epoch: Epoch) {
        self.shrunk_epoch.fetch_max(epoch, Ordering::AcqRel);
    }

    /// Returns a receiver that is notified of each inserted plan.
    pub fn subscribe(&self) -> watch::Receiver<Arc<PlanTable>> {
        self.sender.subscribe()
    }
}
