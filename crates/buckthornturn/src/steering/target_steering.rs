//! Target steering.

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

const NOT_IMPLEMENTED: u16 = 501;
const FIRST_SERVER_ERROR: u16 = 500;

/// Weights of targets and the choice among them, from the plan in force and what this host saw.
pub struct TargetSteering {
    own_domain: DomainId,
    plan: Arc<ArcSwap<SteeringPlan>>,
    table: Mutex<PlacementTable>,
}

impl TargetSteering {
    /// Steering of a host that reads its plan from a cell.
    pub fn new(own_domain: DomainId, plan: Arc<ArcSwap<SteeringPlan>>) -> Self {
        Self { own_domain, plan, table: Mutex::default() }
    }

    /// Starts and drops records as targets come and go. Those of a first plan are taken to be warm; those that
    /// come later, or back from a drain, start cold.
    pub(crate) fn follow(&self, plan: &SteeringPlan) {
        let before = self.plan.load();
        let mut table = self.table();
        table.retain(|target| plan.targets.contains_key(target));
        for (name, target) in &plan.targets {
            let known = before.targets.get(name);
            let is_back = known.is_some_and(|known| known.drained) && !target.drained;
            let group =
                TargetGroup { service: target.service.clone(), domain: target.domain.clone() };
            let ramp = match before.targets.is_empty() {
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

    /// Takes a target's report of itself.
    pub fn reported(&self, target: &str, report: TargetReport) {
        let mut table = self.table();
        let was_draining = table.record(target).is_some_and(|record| record.report.is_draining());
        table.apply_report(target, report);
        if was_draining != report.is_draining {
            info!("target report changed", kv: { target:, draining = report.is_draining });
        }
    }

    fn table(&self) -> MutexGuard<'_, PlacementTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TargetWeights for TargetSteering {
    fn weight(&self, target: &str, now: Instant) -> f64 {
        let plan = self.plan.load();
        let Some(planned) = plan.targets.get(target) else { return 0.0 };
        let position = plan.position(&planned.service, &planned.domain);
        if planned.drained || position.traffic_weight() <= 0.0 {
            return 0.0;
        }
        let table = self.table();
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
        let known: Vec<_> = candidates
            .iter()
            .map(|candidate| PlacementCandidate {
                target: &candidate.target,
                domain: &candidate.failure_domain,
                slots: candidate.slots,
                in_flight: candidate.in_flight,
                round_trip: plan.distance(&candidate.failure_domain),
                traffic_weight: plan
                    .position(&request.service, &candidate.failure_domain)
                    .traffic_weight(),
                link_utilization: 0.0,
            })
            .collect();
        let index = self.table().choose(&known, 0.0, &mut rand::rng(), now)?;
        let chosen = known.get(index)?;
        info!("placement", kv: {
            request_id: = request.request_id,
            target: = chosen.target,
            failure_domain: = chosen.domain,
            candidates = known.len(),
            in_flight = chosen.in_flight,
            slots = chosen.slots,
            own_share = self.own_domain_share(&request.service),
            revision = plan.revision
        });
        Some(index)
    }

    fn record_outcome(&self, target: &str, outcome: &DispatchOutcome, now: Instant) {
        let ejected = self.table().record_result(target, dispatch_result(outcome), now);
        if ejected {
            warn!("target ejected", kv: { target:, outcome:? });
        }
    }
}

fn dispatch_result(outcome: &DispatchOutcome) -> DispatchResult {
    match outcome {
        DispatchOutcome::Answered { status, .. }
            if *status >= FIRST_SERVER_ERROR && *status != NOT_IMPLEMENTED =>
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
