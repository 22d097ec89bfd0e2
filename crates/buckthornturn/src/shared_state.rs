//! The parts of a host that know what is in force and who is here.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::configuration::ConfigRules;
use crate::configuration::ConfigurationCell;
use crate::configuration::ConfigurationState;
use crate::interface::ChangeAppender;
use crate::interface::FreshnessCell;
use crate::interface::MemberView;
use crate::interface::ObjectStore;
use crate::interface::PlanCell;
use crate::membership::HeartbeatLoop;
use crate::membership::HostIdentity;
use crate::membership::HostListReader;
use crate::membership::HostStatus;
use crate::membership::MemberActor;
use crate::membership::MemberHandler;
use crate::membership::PeerHint;
use crate::mesh::MeshCaller;
use crate::mesh::MeshThread;
use crate::mesh::PeerRegistry;
use crate::mesh::RequestKind;
use crate::state::ChangePusher;
use crate::state::ConfigurationReplica;
use crate::state::LogAppender;
use crate::state::PeerSync;
use crate::state::StateHandler;
use crate::state::StoreFollower;
use crate::state::StoreReader;
use crate::store::HttpStore;
use crate::store::StoreGuard;

/// Hints at peers that may wait.
const MAX_QUEUED_HINTS: usize = 64;

/// This host's place among the relays of its failure domain.
type RelayRank = watch::Receiver<Option<usize>>;

/// The parts of a host that know what is in force and who is here.
pub struct SharedState {
    /// Configuration in force.
    pub configuration: ConfigurationCell,
    /// How fresh the state of keys is.
    pub freshness: FreshnessCell,
    /// Floor plans known.
    pub plans: PlanCell,
    /// What this host says about itself.
    pub status: Arc<HostStatus>,
    /// Calls to peers.
    pub peers: MeshCaller,
    /// Accepts changes.
    pub appender: Arc<dyn ChangeAppender>,
    /// Store.
    pub store: Arc<dyn ObjectStore>,
    /// Counts of calls to the store.
    pub store_guard: Arc<StoreGuard>,
}

impl SharedState {
    /// Starts the parts; their tasks go into `tasks`.
    pub fn start(
        identity: HostIdentity,
        seeds: Vec<SocketAddr>,
        configuration: ConfigurationCell,
        http_store: &HttpStore,
        mesh: &MeshThread,
        registry: &PeerRegistry,
        tasks: &mut JoinSet<()>,
    ) -> Self {
        let freshness = FreshnessCell::default();
        let plans = PlanCell::default();
        let store_guard = http_store.guard();
        let store: Arc<dyn ObjectStore> = Arc::new(http_store.clone());
        let status = Arc::new(HostStatus::new(
            identity,
            configuration.clone(),
            freshness.clone(),
            plans.clone(),
            Arc::clone(&store_guard),
        ));
        let published = Arc::new(ArcSwap::from_pointee(MemberView::default()));
        let peers = MeshCaller::new(mesh, Arc::clone(&published));
        let actor = MemberActor::new(Arc::clone(&status), published);
        let rank = actor.relay_rank();
        let members = MemberActor::spawn(actor);
        let keeper = ConfigurationReplica::new(configuration.clone());
        let reader = StoreReader::new(Arc::clone(&store), Arc::clone(&keeper), freshness.clone());
        let (appender, append_task) = LogAppender::new(
            Arc::clone(&store),
            reader,
            Arc::clone(&keeper),
            Box::new(check_rules),
        );
        let state = Self {
            configuration,
            freshness,
            plans,
            status,
            peers,
            appender: Arc::new(appender),
            store,
            store_guard,
        };
        tasks.spawn(append_task.run());
        let (hints, hint_receiver) = mpsc::channel(MAX_QUEUED_HINTS);
        state.start_membership(&members, seeds, hints.clone(), rank.clone(), tasks);
        state.start_state(&keeper, hint_receiver, rank, tasks);
        state.register_handlers(members, keeper, hints, registry);
        state
    }

    fn start_membership(
        &self,
        members: &ActorRef<MemberActor>,
        seeds: Vec<SocketAddr>,
        hints: mpsc::Sender<PeerHint>,
        rank: RelayRank,
        tasks: &mut JoinSet<()>,
    ) {
        let heartbeat_loop = HeartbeatLoop::new(
            members.clone(),
            Arc::clone(&self.status),
            self.peers.clone(),
            seeds,
            self.configuration.clone(),
            self.freshness.clone(),
            hints,
        );
        tasks.spawn(heartbeat_loop.run());
        let list_reader = HostListReader::new(
            Arc::clone(&self.store),
            members.clone(),
            Arc::clone(&self.status),
            self.peers.clone(),
            rank,
        );
        tasks.spawn(list_reader.run());
    }

    fn register_handlers(
        &self,
        members: ActorRef<MemberActor>,
        keeper: Arc<ConfigurationReplica>,
        hints: mpsc::Sender<PeerHint>,
        registry: &PeerRegistry,
    ) {
        let handler = MemberHandler::new(members, Arc::clone(&self.status));
        registry.register(&[RequestKind::Heartbeat, RequestKind::PushHosts], Arc::new(handler));
        let state_kinds = [
            RequestKind::PullChanges,
            RequestKind::PushChanges,
            RequestKind::PullState,
            RequestKind::PullPlans,
            RequestKind::PushPlans,
        ];
        let handler = StateHandler::new(keeper, self.plans.clone(), self.peers.clone(), hints);
        registry.register(&state_kinds, Arc::new(handler));
    }

    fn start_state(
        &self,
        keeper: &Arc<ConfigurationReplica>,
        hints: mpsc::Receiver<PeerHint>,
        rank: RelayRank,
        tasks: &mut JoinSet<()>,
    ) {
        let follower = StoreFollower::new(
            Arc::clone(&self.store),
            Arc::clone(keeper),
            self.plans.clone(),
            self.freshness.clone(),
            rank,
        );
        tasks.spawn(Arc::clone(&follower).follow_configuration());
        tasks.spawn(Arc::clone(&follower).follow_plans());
        tasks.spawn(follower.write_snapshots());
        let spreader = ChangePusher::new(
            Arc::clone(keeper),
            self.plans.clone(),
            Arc::clone(&self.status),
            self.peers.clone(),
        );
        tasks.spawn(Arc::clone(&spreader).push_changes());
        tasks.spawn(spreader.push_plans());
        let (plans, peers) = (self.plans.clone(), self.peers.clone());
        tasks.spawn(PeerSync::new(Arc::clone(keeper), plans, peers, hints).run());
    }
}

/// Accepts a state in which no rule between its objects is broken.
fn check_rules(state: &ConfigurationState) -> Result<(), Box<str>> {
    let problems: Vec<_> = ConfigRules::check(state).iter().map(ToString::to_string).collect();
    match problems.is_empty() {
        true => Ok(()),
        false => Err(problems.join("; ").into()),
    }
}
