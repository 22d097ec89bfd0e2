//! Admission gates of several hosts over an in-memory network and store.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use buckthornturn::admission::BudgetGate;
use buckthornturn::admission::FloorPlanner;
use buckthornturn::admission::LeastInFlight;
use buckthornturn::admission::OwnHost;
use buckthornturn::configuration::ConfigObject;
use buckthornturn::configuration::ConfigurationCell;
use buckthornturn::configuration::ConfigurationState;
use buckthornturn::configuration::PriorityClass;
use buckthornturn::interface::AdmissionGate;
use buckthornturn::interface::AdmissionPermit;
use buckthornturn::interface::AdmissionRefusal;
use buckthornturn::interface::AdmissionRequest;
use buckthornturn::interface::MemberEntry;
use buckthornturn::interface::MemberHealth;
use buckthornturn::interface::MemberView;
use buckthornturn::interface::ObjectStore;
use buckthornturn::interface::PeerCaller;
use buckthornturn::interface::PeerError;
use buckthornturn::interface::PeerHandler;
use buckthornturn::interface::PeerReply;
use buckthornturn::interface::PeerRequest;
use buckthornturn::interface::PlanCell;
use coordination::floor_plan::FloorPlan;
use futures::FutureExt;
use futures::future::BoxFuture;
use indexmap::IndexMap;
use indexmap::IndexSet;
use serde_json::json;
use tokio::task::JoinSet;

use crate::fake_store::FakeStore;

const ONE_WAY_LATENCY: Duration = Duration::from_millis(1);

/// In-memory network that can isolate hosts and lose answers.
#[derive(Default)]
pub struct FakeNetwork {
    /// Handlers of the hosts that run, by host name.
    pub handlers: Mutex<IndexMap<Box<str>, Arc<dyn PeerHandler>>>,
    /// Hosts on the other side of a partition: they reach each other, but no host outside this set.
    pub cut_hosts: Mutex<IndexSet<Box<str>>>,
    /// Whether calls are handled but time out at the caller.
    pub lose_answers: Mutex<bool>,
    pub members: ArcSwap<MemberView>,
    /// Floor plans as each host knows them, by host name.
    pub plans: Mutex<IndexMap<Box<str>, PlanCell>>,
    /// Number of peer calls so far, failed ones included.
    pub call_count: Mutex<usize>,
}

struct FakePeers {
    own: Box<str>,
    network: Arc<FakeNetwork>,
}

impl PeerCaller for FakePeers {
    fn call<'a>(
        &'a self,
        peer: &'a str,
        request: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<PeerReply, PeerError>> {
        async move {
            *self.network.call_count.lock().unwrap() += 1;
            let is_cut = {
                let cut_hosts = self.network.cut_hosts.lock().unwrap();
                cut_hosts.contains(&self.own) != cut_hosts.contains(peer)
            };
            let handler = self.network.handlers.lock().unwrap().get(peer).cloned();
            let Some(handler) = handler.filter(|_| !is_cut) else {
                tokio::time::sleep(timeout).await;
                return Err(PeerError::TimedOut { peer: peer.into() });
            };
            tokio::time::sleep(ONE_WAY_LATENCY).await;
            let reply = handler.handle(self.own.clone(), request).await;
            if *self.network.lose_answers.lock().unwrap() {
                tokio::time::sleep(timeout).await;
                return Err(PeerError::TimedOut { peer: peer.into() });
            }
            tokio::time::sleep(ONE_WAY_LATENCY).await;
            reply
        }
        .boxed()
    }

    /// Members, each with the `plan_shrunk` epoch that its own plan cell reports.
    fn members(&self) -> Arc<MemberView> {
        let mut view = MemberView::clone(&self.network.members.load());
        let plans = self.network.plans.lock().unwrap();
        for member in &mut view.members {
            member.plan_shrunk = plans.get(&member.host).map_or(0, PlanCell::shrunk_epoch);
        }
        Arc::new(view)
    }
}

/// A host of a [`GateFleet`]; dropping it aborts its tasks.
pub struct FleetHost {
    pub name: Box<str>,
    pub gate: Arc<BudgetGate>,
    pub cell: ConfigurationCell,
    pub plans: PlanCell,
    pub tasks: JoinSet<()>,
}

/// Size of a fleet and limits in its configuration.
#[derive(Clone, Copy)]
pub struct FleetShape {
    pub hosts: usize,
    pub domains: usize,
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Rate limit of each customer, in requests per second.
    pub rate: f64,
    /// Burst limit of each customer, in requests.
    pub burst: f64,
    pub customers: usize,
}

/// Admission gates of several hosts; hosts `h1`, `h2` ... are spread over domains `d1`, `d2` ... in turn, and each region
/// has two domains.
pub struct GateFleet {
    pub network: Arc<FakeNetwork>,
    pub store: Arc<FakeStore>,
    pub hosts: Vec<FleetHost>,
    pub shape: FleetShape,
}

impl GateFleet {
    /// Starts a fleet whose plans give every host a floor, and waits 3 s for the gates to apply them.
    pub async fn start(shape: FleetShape) -> Self {
        let fleet = Self::without_plans(shape);
        for plan in fleet.initial_plans() {
            fleet.distribute_plan(&plan);
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        fleet
    }

    /// Starts a fleet whose hosts have no floor plan.
    pub fn without_plans(shape: FleetShape) -> Self {
        let network = Arc::new(FakeNetwork::default());
        let members = (0..shape.hosts).map(|index| member(index, shape.domains)).collect();
        network.members.store(Arc::new(MemberView { members }));
        let state = Arc::new(configuration(shape));
        let store = Arc::new(FakeStore::default());
        let hosts = (0..shape.hosts).map(|index| host(index, shape, &network, &state)).collect();
        Self { network, store, hosts, shape }
    }

    /// Starts the planner of each host, and a task that distributes the plans in the store to all hosts every 50 ms.
    pub fn start_planners(&mut self) {
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let peers =
                Arc::new(FakePeers { own: host.name.clone(), network: Arc::clone(&self.network) });
            let store: Arc<dyn ObjectStore> = self.store.clone();
            let own = own_host(index, self.shape.domains);
            let planner = FloorPlanner::new(own, host.plans.clone(), peers, store);
            host.gate.spawn_planner(planner, &mut host.tasks);
        }
        let cells: Vec<_> = self.hosts.iter().map(|host| host.plans.clone()).collect();
        let store = Arc::clone(&self.store);
        let domains = self.shape.domains;
        self.hosts[0].tasks.spawn(async move {
            loop {
                for plan in
                    (1..=domains).filter_map(|domain| stored_plan(&store, &format!("d{domain}")))
                {
                    for cell in &cells {
                        cell.insert_if_newer(plan.clone());
                    }
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
    }

    /// Plan of a failure domain in the store, or `None` if none is stored.
    pub fn stored_plan(&self, domain: &str) -> Option<FloorPlan> {
        stored_plan(&self.store, domain)
    }

    /// First plan of each failure domain, with all its hosts as holders.
    pub fn initial_plans(&self) -> Vec<FloorPlan> {
        let plan = |domain| {
            let name: Box<str> = format!("d{}", domain + 1).into();
            let holders = (0..self.shape.hosts)
                .filter(|host| host % self.shape.domains == domain)
                .map(|host| (host_name(host), 1));
            FloorPlan::first(name, holders.collect())
        };
        (0..self.shape.domains).map(plan).collect()
    }

    /// Hands a plan to all hosts.
    pub fn distribute_plan(&self, plan: &FloorPlan) {
        for host in &self.hosts {
            host.plans.insert_if_newer(plan.clone());
        }
    }

    /// Changes the health of a host in the membership view of all hosts.
    pub fn set_health(&self, host: usize, health: MemberHealth) {
        let mut view = MemberView::clone(&self.network.members.load());
        view.members[host].health = health;
        self.network.members.store(Arc::new(view));
    }

    /// Simulates a crash of a host: aborts its tasks and removes it from the network.
    pub fn kill_host(&mut self, host: usize) {
        self.network.handlers.lock().unwrap().shift_remove(&self.hosts[host].name);
        self.hosts[host].tasks.abort_all();
    }

    /// Applies a change to the configuration of all hosts.
    pub fn reconfigure(&self, change: impl Fn(&mut ConfigurationState)) {
        for host in &self.hosts {
            let mut state = ConfigurationState::clone(&host.cell.load());
            state.revision += 1;
            change(&mut state);
            host.cell.replace_if_newer(Arc::new(state));
        }
    }

    /// Asks a host's gate to admit a request of customer `t{customer}`, with a deadline in 5 s.
    pub async fn admit(
        &self,
        host: usize,
        customer: usize,
    ) -> Result<AdmissionPermit, AdmissionRefusal> {
        self.hosts[host].gate.admit(request(customer, Duration::from_secs(5))).await
    }
}

/// A repeatable first attempt of customer `t{customer}` whose deadline is `timeout` from now.
pub fn request(customer: usize, timeout: Duration) -> AdmissionRequest {
    AdmissionRequest {
        request_id: "r".into(),
        customer: Some(format!("t{customer}").into()),
        service: "s".into(),
        route: "all".into(),
        priority: PriorityClass::Normal,
        repeatable: true,
        deadline: now() + timeout,
        body_bytes: None,
        excluded: Vec::new(),
        attempt: 0,
    }
}

/// Current time of the runtime's clock, which a test may have paused.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

fn stored_plan(store: &FakeStore, domain: &str) -> Option<FloorPlan> {
    serde_json::from_slice(&store.stored_value(&format!("plan/{domain}"))?).ok()
}

fn host_name(index: usize) -> Box<str> {
    format!("h{}", index + 1).into()
}

fn own_host(index: usize, domains: usize) -> OwnHost {
    OwnHost {
        host: host_name(index),
        incarnation: 1,
        failure_domain: format!("d{}", index % domains + 1).into(),
        region: format!("r{}", index % domains / 2 + 1).into(),
    }
}

fn member(index: usize, domains: usize) -> MemberEntry {
    let own = own_host(index, domains);
    MemberEntry {
        host: own.host,
        incarnation: 1,
        failure_domain: own.failure_domain,
        region: own.region,
        callers: None,
        mesh: ([127, 0, 0, 1], 1).into(),
        health: MemberHealth::Live,
        revision: 1,
        heard_ago: Some(Duration::ZERO),
        plan_shrunk: 0,
        store_reached: true,
        confirmation_age: None,
    }
}

fn host(
    index: usize,
    shape: FleetShape,
    network: &Arc<FakeNetwork>,
    state: &Arc<ConfigurationState>,
) -> FleetHost {
    let own = own_host(index, shape.domains);
    let name = own.host.clone();
    let (cell, plans) = (ConfigurationCell::new(), PlanCell::default());
    cell.replace_if_newer(Arc::clone(state));
    let peers = Arc::new(FakePeers { own: name.clone(), network: Arc::clone(network) });
    let weights = Arc::new(LeastInFlight);
    let gate = BudgetGate::new(own, cell.clone(), plans.clone(), peers, weights);
    network.handlers.lock().unwrap().insert(name.clone(), gate.peer_handler());
    network.plans.lock().unwrap().insert(name.clone(), plans.clone());
    let mut tasks = JoinSet::new();
    gate.spawn_tasks(&mut tasks);
    FleetHost { name, gate: Arc::new(gate), cell, plans, tasks }
}

fn configuration(shape: FleetShape) -> ConfigurationState {
    let mut objects = vec![
        json!({"kind": "service", "name": "s", "hosts": ["s"], "routes": []}),
        json!({"kind": "profile", "name": "p"}),
        json!({"kind": "assignment", "name": "a", "service": "s", "profile": "p"}),
    ];
    for domain in 0..shape.domains {
        let region = format!("r{}", domain / 2 + 1);
        objects.push(json!({
            "kind": "domain", "name": format!("d{}", domain + 1), "region": region
        }));
    }
    for target in 0..shape.targets {
        let domain = format!("d{}", target % shape.domains + 1);
        objects.push(json!({
            "kind": "target", "name": format!("x{target}"), "service": "s", "failure_domain": domain,
            "address": "127.0.0.1:1", "slots": shape.slots
        }));
    }
    for customer in 0..shape.customers {
        objects.push(json!({
            "kind": "customer", "name": format!("t{customer}"), "rate_per_second": shape.rate,
            "burst": shape.burst, "services": ["s"]
        }));
    }
    let mut state = ConfigurationState { revision: 1, ..ConfigurationState::default() };
    for object in objects {
        state.put(serde_json::from_value::<ConfigObject>(object).unwrap());
    }
    state
}
