//! Actor that keeps the steering plan up to date.

use std::sync::Arc;
use std::time::Instant;
use std::time::SystemTime;

use arc_swap::ArcSwap;
use coordination::ids::DomainId;
use coordination::ids::ServiceId;
use coordination::shift::ShiftLimiter;
use indexmap::IndexMap;
use kameo::Actor;
use kameo::message::Context;
use kameo::message::Message;
use spdlog::info;

use crate::configuration::ConfigurationCell;
use crate::interface::MemberView;
use crate::interface::PeerCaller;
use crate::steering::CallerSteering;
use crate::steering::SteeringPlan;
use crate::steering::TargetSteering;

/// Keeps the plan in force up to date: recomputes it at each `UpdatePlan`.
#[derive(Actor)]
pub struct SteeringActor {
    pub(crate) own_domain: DomainId,
    pub(crate) configuration: ConfigurationCell,
    pub(crate) peers: Arc<dyn PeerCaller>,
    pub(crate) plan: Arc<ArcSwap<SteeringPlan>>,
    pub(crate) targets: Arc<TargetSteering>,
    pub(crate) callers: Arc<CallerSteering>,
    pub(crate) members: Option<Arc<MemberView>>,
    pub(crate) limiters: IndexMap<ServiceId, ShiftLimiter>,
}

/// Message that recomputes the plan for the current time, configuration and members.
pub struct UpdatePlan;

impl SteeringActor {
    fn update_plan(&mut self) {
        let state = self.configuration.load();
        let now = Instant::now();
        let plan =
            SteeringPlan::new(&state, &self.own_domain, &mut self.limiters, now, SystemTime::now());
        self.callers.decay_block_counts(now);
        self.update_members();
        let previous_plan = self.plan.load_full();
        if plan == *previous_plan {
            return;
        }
        log_shifts(&previous_plan, &plan);
        self.targets.apply_plan(&plan);
        self.plan.store(Arc::new(plan));
    }
}

impl SteeringActor {
    fn update_members(&mut self) {
        let members = self.peers.members();
        let is_current = self.members.as_ref().is_some_and(|known| Arc::ptr_eq(known, &members));
        if !is_current {
            self.callers.set_members(&members);
            self.members = Some(members);
        }
    }
}

impl Message<UpdatePlan> for SteeringActor {
    type Reply = ();

    async fn handle(&mut self, _message: UpdatePlan, _context: &mut Context<Self, ()>) {
        self.update_plan();
    }
}

/// Logs one line for each failure domain whose position has reached another tenth since the previous plan.
fn log_shifts(previous_plan: &SteeringPlan, plan: &SteeringPlan) {
    for (service, domains) in &plan.services {
        for (domain, planned) in domains {
            let position = planned.position.value();
            let previous = previous_plan.position(service, domain).value();
            let tenth = |value: f64| (value * 10.0).ceil() as i64;
            if tenth(position) != tenth(previous) {
                info!("shift", kv: {
                    service: = service,
                    failure_domain: = domain,
                    traffic_weight = planned.position.traffic_weight(),
                    caller_weight = planned.position.caller_weight(),
                    revision = plan.revision
                });
            }
        }
    }
}
