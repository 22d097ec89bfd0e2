//! Startup of the components of a host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use coordination::ids::HostId;
use coordination::ids::Incarnation;
use tokio::task::JoinSet;

use crate::admission::BudgetGate;
use crate::admission::FloorPlanner;
use crate::admission::OwnHost;
use crate::callers::CallerService;
use crate::callers::CallerServiceParts;
use crate::callers::RequestMetrics;
use crate::callers::SteerHost;
use crate::interface::PeerCaller;
use crate::interface::StreamDialer;
use crate::membership::HostIdentity;
use crate::mesh::PeerRegistry;
use crate::mesh::RequestKind;
use crate::operators::OperatorService;
use crate::operators::StatusReport;
use crate::settings::HostSettings;
use crate::settings::OperatorSettings;
use crate::shared_state::SharedState;
use crate::steering::CallerSteering;
use crate::steering::SteeringParts;
use crate::steering::TargetSteering;
use crate::targets::TargetPoller;

/// Running steering tasks, as used by the other components.
pub(crate) struct StartedSteering {
    /// Weights of targets and the choice among them, used by the admission gate.
    pub(crate) targets: Arc<TargetSteering>,
    /// Choice of the hosts that look-ups return to callers.
    pub(crate) callers: Arc<CallerSteering>,
}

/// Starts admission: the gate, its handler for requests of peers, and the floor planner.
pub(crate) fn start_gate(
    own_host: OwnHost,
    state: &SharedState,
    steering: &StartedSteering,
    registry: &PeerRegistry,
    tasks: &mut JoinSet<()>,
) -> Arc<BudgetGate> {
    let weights = Arc::clone(&steering.targets);
    let peers: Arc<dyn PeerCaller> = Arc::new(state.peers.clone());
    let (configuration, plans) = (state.configuration.clone(), state.plans.clone());
    let gate = BudgetGate::new(
        own_host.clone(),
        configuration,
        plans.clone(),
        Arc::clone(&peers),
        weights,
    );
    registry.register(&[RequestKind::BorrowTokens, RequestKind::LeaseSlots], gate.peer_handler());
    gate.spawn_tasks(tasks);
    let planner = FloorPlanner::new(own_host, plans, peers, Arc::clone(&state.store));
    gate.spawn_planner(planner, tasks);
    Arc::new(gate)
}

/// Starts steering and the polling of targets' health reports.
pub(crate) fn start_steering(
    own_host: &OwnHost,
    caller_address: SocketAddr,
    state: &SharedState,
    dialer: Arc<dyn StreamDialer>,
    tasks: &mut JoinSet<()>,
) -> StartedSteering {
    let peers: Arc<dyn PeerCaller> = Arc::new(state.peers.clone());
    let steer_host = SteerHost {
        address: caller_address,
        failure_domain: own_host.failure_domain.clone(),
        region: own_host.region.clone(),
    };
    let configuration = state.configuration.clone();
    let steering = SteeringParts::new(steer_host, configuration.clone(), Arc::clone(&peers));
    let poller = TargetPoller::new(
        own_host.host.clone(),
        own_host.failure_domain.clone(),
        configuration,
        state.plans.clone(),
        peers,
        Arc::clone(&steering.targets),
    )
    .with_dialer(dialer);
    let started = StartedSteering {
        targets: Arc::clone(&steering.targets),
        callers: Arc::clone(&steering.callers),
    };
    steering.spawn(tasks);
    poller.spawn_polling(tasks);
    started
}

pub(crate) fn operator_service(
    host: HostId,
    operators: Vec<OperatorSettings>,
    state: &SharedState,
    gate: Arc<BudgetGate>,
) -> OperatorService {
    let report = StatusReport {
        peers: Arc::new(state.peers.clone()),
        plans: state.plans.clone(),
        freshness: state.freshness.clone(),
        gate,
    };
    let (configuration, appender) = (state.configuration.clone(), Arc::clone(&state.appender));
    OperatorService::new(host, configuration, appender, operators, report)
}

pub(crate) fn own_host(settings: &HostSettings) -> OwnHost {
    OwnHost {
        host: settings.host.clone(),
        incarnation: process_incarnation(),
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
    }
}

pub(crate) fn host_identity(
    own_host: &OwnHost,
    caller_address: SocketAddr,
    mesh_address: SocketAddr,
) -> HostIdentity {
    HostIdentity {
        host: own_host.host.clone(),
        incarnation: own_host.incarnation,
        failure_domain: own_host.failure_domain.clone(),
        region: own_host.region.clone(),
        caller_address,
        mesh_address,
    }
}

/// Creates the service for requests of callers.
pub(crate) fn caller_service(
    settings: &HostSettings,
    own_host: &OwnHost,
    state: &SharedState,
    steering: &StartedSteering,
    gate: Arc<BudgetGate>,
    dialer: Arc<dyn StreamDialer>,
) -> Arc<CallerService> {
    Arc::new(CallerService::new(CallerServiceParts {
        host: own_host.host.clone(),
        incarnation: own_host.incarnation,
        cell: state.configuration.clone(),
        freshness: state.freshness.clone(),
        gate,
        steering: Arc::clone(&steering.callers) as _,
        store: Arc::clone(&state.store),
        peers: Arc::new(state.peers.clone()),
        bounds: settings.caller_bounds.clone(),
        metrics: Arc::new(RequestMetrics::new(settings.metrics.as_ref())),
        dialer,
    }))
}

/// Incarnation of this process: its start time in microseconds since 1970, so that a later start has a larger number.
fn process_incarnation() -> Incarnation {
    let age = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(age.as_micros()).unwrap_or(u64::MAX)
}
