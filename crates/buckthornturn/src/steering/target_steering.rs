//! Weights of targets and the selection among them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use arc_swap::ArcSwap;
use coordination::ids::DomainId;
use coordination::placement::DispatchResult;
use coordination::placement::PlacementCandidate;
use coordination::placement::PlacementTable;
use coordination::placement::TargetGroup;
use coordination::placement::TargetRecord;
use coordination::placement::TargetReport;
use coordination::placement::WarmRamp;
use spdlog::info;
use spdlog::warn;

use crate::interface::AdmissionRequest;
use crate::interface::DispatchOutcome;
use crate::interface::TargetCandidate;
use crate::interface::TargetWeights;
use crate::steering::SteeringPlan;

/// The only server error that does not count as a failure of the target.
const NOT_IMPLEMENTED_STATUS: u16 = 501;
const FIRST_SERVER_ERROR_STATUS: u16 = 500;

/// Weights of targets and the selection among them, from the plan in force and from what this host observed.
pub struct TargetSteering {
    own_domain: DomainId,
    plan: Arc<ArcSwap<SteeringPlan>>,
    table: Mutex<PlacementTable>,
}

impl TargetSteering {
    /// Creates the steering of a host in `own_domain` that reads the plan in force from `plan`.
    pub fn new(own_domain: DomainId, plan: Arc<ArcSwap<SteeringPlan>>) -> Self {
        Self { own_domain, plan, table: Mutex::default() }
    }

    /// Adds and removes records of targets to match a new plan; called before the plan is in force. Targets of the
    /// first plan are assumed to be warm. Targets that are added later or return from a drain start cold.
    pub(crate) fn apply_plan(&self, plan: &SteeringPlan) {
        let previous_plan = self.plan.load();
        let mut table = self.lock_table();
        table.retain(|target| plan.targets.contains_key(target));
        for (name, target) in &plan.targets {
            let previous = previous_plan.targets.get(name);
            let is_back =
                previous.is_some_and(|previous| previous.is_drained) && !target.is_drained;
            let group =
                TargetGroup { service: target.service.clone(), domain: target.domain.clone() };
            let ramp = match previous_plan.targets.is_empty() {
                true => WarmRamp::warm(target.warm_up),
                false => WarmRamp::cold(target.warm_up),
            };
            table.insert(name.clone(), group, TargetRecord::new(ramp));
            if let Some(record) = table.record_mut(name) {
                record.ramp.set_warm_up(target.warm_up);
                if is_back {
                    record.ramp.reset_to_cold();
                }
            }
        }
    }

    /// Records what a target reported about itself; reports of unknown targets are ignored.
    pub fn record_report(&self, target: &str, report: TargetReport) {
        let mut table = self.lock_table();
        let was_draining = table.record(target).is_some_and(|record| record.report.is_draining());
        table.apply_report(target, report);
        if was_draining != report.is_draining {
            info!("target report changed", kv: { target:, draining = report.is_draining });
        }
    }

    fn lock_table(&self) -> MutexGuard<'_, PlacementTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TargetWeights for TargetSteering {
    fn weight(&self, target: &str, now: Instant) -> f64 {
        let plan = self.plan.load();
        let Some(planned) = plan.targets.get(target) else { return 0.0 };
        let position = plan.position(&planned.service, &planned.domain);
        if planned.is_drained || position.traffic_weight() <= 0.0 {
            return 0.0;
        }
        let table = self.lock_table();
        match table.record(target) {
            Some(record) if record.report.is_draining() || !record.health.admits(now) => 0.0,
            Some(record) => record.ramp.usable_share(now),
            None => 1.0,
        }
    }

    fn own_domain_share(&self, service: &str) -> f64 {
        self.plan.load().position(service, &self.own_domain).traffic_weight()
    }

    fn choose(
        &self,
        request: &AdmissionRequest,
        candidates: &[TargetCandidate],
        now: Instant,
    ) -> Option<usize> {
        let plan = self.plan.load();
        let placement_candidates: Vec<_> = candidates
            .iter()
            .map(|candidate| PlacementCandidate {
                target: &candidate.target,
                domain: &candidate.failure_domain,
                slots: candidate.slots,
                in_flight: candidate.in_flight,
                round_trip: plan.round_trip(&candidate.failure_domain),
                traffic_weight: plan
                    .position(&request.service, &candidate.failure_domain)
                    .traffic_weight(),
                link_utilization: 0.0,
            })
            .collect();
        let index = self.lock_table().choose(&placement_candidates, 0.0, &mut rand::rng(), now)?;
        let chosen = placement_candidates.get(index)?;
        info!("placement", kv: {
            request_id: = request.request_id,
            target: = chosen.target,
            failure_domain: = chosen.domain,
            candidates = placement_candidates.len(),
            in_flight = chosen.in_flight,
            slots = chosen.slots,
            own_share = self.own_domain_share(&request.service),
            revision = plan.revision
        });
        Some(index)
    }

    fn record_outcome(&self, target: &str, outcome: &DispatchOutcome, now: Instant) {
        let is_ejected = self.lock_table().record_result(target, dispatch_result(outcome), now);
        if is_ejected {
            warn!("target ejected", kv: { target:, outcome:? });
        }
    }
}

fn dispatch_result(outcome: &DispatchOutcome) -> DispatchResult {
    match outcome {
        DispatchOutcome::Answered { status, .. }
            if *status >= FIRST_SERVER_ERROR_STATUS && *status != NOT_IMPLEMENTED_STATUS =>
        {
            DispatchResult::Failed
        }
        DispatchOutcome::Answered { first_byte, .. } => {
            DispatchResult::Succeeded { latency: *first_byte }
        }
        DispatchOutcome::Shed => DispatchResult::Shed,
        DispatchOutcome::NotSent => DispatchResult::Unreachable,
        DispatchOutcome::Failed => DispatchResult::Failed,
        DispatchOutcome::Cancelled => DispatchResult::Cancelled,
    }
}
