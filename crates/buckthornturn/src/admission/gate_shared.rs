//! What the gate's parts share.

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

/// What the gate's parts share: the state under a lock, and their neighbours.
pub(crate) struct GateShared {
    pub(crate) own: OwnHost,
    pub(crate) configuration: ConfigurationCell,
    pub(crate) plans: PlanCell,
    pub(crate) peers: Arc<dyn PeerCaller>,
    pub(crate) weights: Arc<dyn TargetWeights>,
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

    /// The state, after the configuration in force has been applied to it.
    pub(crate) fn lock_core(&self) -> MutexGuard<'_, GateCore> {
        let state = self.configuration.load();
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        if core.revision < state.revision {
            core.apply_configuration(&state, runtime_now());
        }
        core
    }

    /// Takes a slot back and gives it to the request whose turn it is.
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

    /// Serves waiting requests of services that may have got slots.
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

    /// Hands slots to requests that wait. The slot of one that has gone away is taken back.
    pub(crate) fn deliver_slots(&self, deliveries: Vec<SlotDelivery>) {
        for (sender, grant) in deliveries {
            if let Err(grant) = sender.send(grant) {
                self.release_slot(&grant.target, &grant.source);
            }
        }
    }
}

/// Time by the clock of the runtime.
pub(crate) fn runtime_now() -> Instant {
    tokio::time::Instant::now().into_std()
}
