//! State that a host shares with other hosts: configuration, floor plans and membership.

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

/// Capacity of the queue of peers known to have newer state; hints beyond it are dropped.
const MAX_QUEUED_HINTS: usize = 64;

/// Position of this host among the relays of its failure domain, from 0; `None` if it is no relay.
type RelayRank = watch::Receiver<Option<usize>>;

/// State that a host shares with other hosts, and the tasks that keep it up to date from the store and from peers.
pub struct SharedState {
    /// Configuration in force on this host.
    pub configuration: ConfigurationCell,
    /// Latest confirmation that this host has all accepted changes of keys.
    pub freshness: FreshnessCell,
    /// Floor plans that this host knows.
    pub plans: PlanCell,
    /// Status of this host as sent in heartbeats.
    pub status: Arc<HostStatus>,
    /// Sends requests to other hosts and lists the known members.
    pub peers: MeshCaller,
    /// Appends changes of configuration to the log in the store.
    pub appender: Arc<dyn ChangeAppender>,
    /// Client of the store.
    pub store: Arc<dyn ObjectStore>,
    /// Call budget and circuit breaker of the store client, with counts of its calls.
    pub store_guard: Arc<StoreGuard>,
}

impl SharedState {
    /// Starts all tasks that keep the state up to date, and registers the handlers for requests of peers. The tasks run
    /// until `tasks` is dropped.
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

/// Checks the rules between objects of a state; the error names every problem.
fn check_rules(state: &ConfigurationState) -> Result<(), Box<str>> {
    let problems: Vec<_> = ConfigRules::check(state).iter().map(ToString::to_string).collect();
    match problems.is_empty() {
        true => Ok(()),
        false => Err(problems.join("; ").into()),
    }
}
