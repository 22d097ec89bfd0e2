//! Guard that releases a request's slot when the request ends.

use std::sync::Arc;

use crate::admission::gate_shared::GateShared;
use crate::admission::gate_shared::runtime_now;
use crate::admission::service_state::SlotGrant;
use crate::interface::DispatchOutcome;
use crate::interface::PermitGuard;

/// Releases a request's slot and reports the outcome when it is dropped. The outcome is `Cancelled` unless `finish` sets
/// another.
pub(crate) struct SlotGuard {
    shared: Arc<GateShared>,
    grant: SlotGrant,
    target_region: Box<str>,
    outcome: DispatchOutcome,
}

impl SlotGuard {
    pub(crate) fn new(shared: Arc<GateShared>, grant: SlotGrant, target_region: Box<str>) -> Self {
        Self { shared, grant, target_region, outcome: DispatchOutcome::Cancelled }
    }
}

impl PermitGuard for SlotGuard {
    fn record_transfer(&mut self, bytes: u64) {
        if self.target_region == self.shared.own.region {
            return;
        }
        let mut core = self.shared.lock_core();
        for ends in core.link_ends(&self.target_region) {
            if let Some(meter) = core.links.get_mut(&ends) {
                meter.record_transfer(bytes, runtime_now());
            }
        }
    }

    fn finish(mut self: Box<Self>, outcome: DispatchOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.shared.weights.record_outcome(&self.grant.target, &self.outcome, runtime_now());
        self.shared.release_slot(&self.grant.target, &self.grant.source);
    }
}
