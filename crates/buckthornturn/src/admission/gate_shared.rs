//! State and dependencies that the gate, its background tasks and its peer handler share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use tokio::sync::Notify;

use crate::admission::OwnHost;
use crate::admission::gate_core::GateCore;
use crate::admission::gate_core::SlotDelivery;
use crate::admission::target_slots::SlotSource;
use crate::configuration::ConfigurationCell;
use crate::interface::PeerCaller;
use crate::interface::PlanCell;
use crate::interface::TargetWeights;

/// State and dependencies that the gate, its background tasks and its peer handler share.
pub(crate) struct GateShared {
    pub(crate) own: OwnHost,
    pub(crate) configuration: ConfigurationCell,
    pub(crate) plans: PlanCell,
    pub(crate) peers: Arc<dyn PeerCaller>,
    pub(crate) weights: Arc<dyn TargetWeights>,
    /// Wakes the task that borrows slots before its next interval.
    pub(crate) slots_wanted: Notify,
    core: Mutex<GateCore>,
}

impl GateShared {
    pub(crate) fn new(
        own: OwnHost,
        configuration: ConfigurationCell,
        plans: PlanCell,
        peers: Arc<dyn PeerCaller>,
        weights: Arc<dyn TargetWeights>,
    ) -> Self {
        let core = Mutex::new(GateCore::new(own.clone(), runtime_now()));
        Self { own, configuration, plans, peers, weights, slots_wanted: Notify::new(), core }
    }

    /// Locks the state and applies the current configuration to it if that is newer. The lock is not reentrant, and the
    /// other methods of this type take it too.
    pub(crate) fn lock_core(&self) -> MutexGuard<'_, GateCore> {
        let state = self.configuration.load();
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        if core.revision < state.revision {
            core.apply_configuration(&state, runtime_now());
        }
        core
    }

    /// Releases a slot and grants it to the next queued request of the service.
    pub(crate) fn release_slot(&self, target: &str, source: &SlotSource) {
        let deliveries = {
            let mut core = self.lock_core();
            match core.release_slot(target, source) {
                Some(service) => core.dispatch_waiting(&service, &*self.weights, runtime_now()),
                None => Vec::new(),
            }
        };
        self.deliver_slots(deliveries);
    }

    /// Grants free slots to queued requests of the given services.
    pub(crate) fn dispatch_waiting<'a>(&self, services: impl Iterator<Item = &'a str>) {
        let deliveries = {
            let mut core = self.lock_core();
            let now = runtime_now();
            let mut deliveries = Vec::new();
            for service in services {
                deliveries.extend(core.dispatch_waiting(service, &*self.weights, now));
            }
            deliveries
        };
        self.deliver_slots(deliveries);
    }

    /// Sends granted slots to the requests that wait for them. A slot is released if its request was abandoned.
    pub(crate) fn deliver_slots(&self, deliveries: Vec<SlotDelivery>) {
        for (sender, grant) in deliveries {
            if let Err(grant) = sender.send(grant) {
                self.release_slot(&grant.target, &grant.source);
            }
        }
    }
}

/// Current time of the tokio runtime's clock, which tests can pause and advance.
pub(crate) fn runtime_now() -> Instant {
    tokio::time::Instant::now().into_std()
}
