//! The floor plans known on this host.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use coordination::floor_plan::FloorPlan;
use coordination::ids::DomainId;
use coordination::ids::Epoch;
use indexmap::IndexMap;
use tokio::sync::watch;

/// Floor plans by failure domain; each only moves to later epochs.
pub type PlanTable = IndexMap<DomainId, FloorPlan>;

/// The floor plans known on this host, spread like configuration.
#[derive(Clone, Debug, Default)]
pub struct PlanCell {
    sender: watch::Sender<Arc<PlanTable>>,
    shrunk_epoch: Arc<AtomicU64>,
}

impl PlanCell {
    /// Plans known now.
    pub fn load(&self) -> Arc<PlanTable> {
        Arc::clone(&self.sender.borrow())
    }

    /// Takes a plan if it is later than the one known; returns whether it was.
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

    /// Epoch of the own domain's plan to report as `plan_shrunk` in heartbeats.
    pub fn shrunk_epoch(&self) -> Epoch {
        self.shrunk_epoch.load(Ordering::Acquire)
    }

    /// Sets the epoch to report; it never goes back.
    pub fn report_shrunk_epoch(&self, epoch: Epoch) {
        self.shrunk_epoch.fetch_max(epoch, Ordering::AcqRel);
    }

    /// A receiver that wakes at each later plan.
    pub fn subscribe(&self) -> watch::Receiver<Arc<PlanTable>> {
        self.sender.subscribe()
    }
}
