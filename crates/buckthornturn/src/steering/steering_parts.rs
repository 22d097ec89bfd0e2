//! Assembly of one host's steering.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use kameo::actor::Spawn;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::callers::SteerHost;
use crate::configuration::ConfigurationCell;
use crate::interface::PeerCaller;
use crate::steering::CallerSteering;
use crate::steering::SteeringActor;
use crate::steering::SteeringPlan;
use crate::steering::TargetSteering;
use crate::steering::steering_actor::UpdatePlan;

/// Time between two updates of the plan while the configuration does not change.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Steering of one host, as used by the admission gate, the look-ups of callers and the poller of targets.
pub struct SteeringParts {
    /// Weights of targets for the admission gate; also receives the reports of targets.
    pub targets: Arc<TargetSteering>,
    /// Answers the look-ups of callers.
    pub callers: Arc<CallerSteering>,
    actor: SteeringActor,
}

impl SteeringParts {
    /// Creates the steering of `own_host`. Until `spawn` has computed the first plan, every target has weight 0.
    pub fn new(
        own_host: SteerHost,
        configuration: ConfigurationCell,
        peers: Arc<dyn PeerCaller>,
    ) -> Self {
        let plan = Arc::new(ArcSwap::from_pointee(SteeringPlan::default()));
        let own_domain = own_host.failure_domain.clone();
        let targets = Arc::new(TargetSteering::new(own_domain.clone(), Arc::clone(&plan)));
        let callers =
            Arc::new(CallerSteering::new(own_host, configuration.clone(), Arc::clone(&plan)));
        let actor = SteeringActor {
            own_domain,
            configuration,
            peers,
            plan,
            targets: Arc::clone(&targets),
            callers: Arc::clone(&callers),
            members: None,
            limiters: IndexMap::new(),
        };
        Self { targets, callers, actor }
    }

    /// Spawns the task that updates the plan at each change of the configuration and every `UPDATE_INTERVAL`, because
    /// shifts progress with time.
    pub fn spawn(self, tasks: &mut JoinSet<()>) {
        tasks.spawn(async move {
            let mut changes = self.actor.configuration.subscribe();
            let actor = SteeringActor::spawn(self.actor);
            let mut ticks = tokio::time::interval(UPDATE_INTERVAL);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    _ = ticks.tick() => {}
                    change = changes.changed() => if change.is_err() { return },
                }
                if actor.ask(UpdatePlan).await.is_err() {
                    return;
                }
            }
        });
    }
}
