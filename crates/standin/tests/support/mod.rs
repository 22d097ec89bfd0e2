//! Fleet of several hosts and a store inside the test process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use buckthornturn::HostProcess;
use buckthornturn::callers::key_hash;
use buckthornturn::interface::AppendError;
use buckthornturn::interface::ConfigChange;
use buckthornturn::interface::MemberView;
use buckthornturn::interface::ObjectStore;
use buckthornturn::interface::PeerCaller;
use buckthornturn::settings::HostSettings;
use buckthornturn::settings::StoreSettings;
use buckthornturn::store::HttpStore;
use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;
use standin::json_client::JsonClient;
use standin::network::LinkTable;
use standin::network::RelayedDialer;
use standin::store::StoreStandin;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const DOMAINS: usize = 3;
const PLATFORM_DOMAIN: &str = "platform";
const UNRESPONSIVE_HOST: &str = "absent";

/// Hosts spread over three failure domains, with their store; dropping the fleet stops all of them.
pub struct StateFleet {
    /// Stand-in for the store that all hosts use; tests inject faults through it.
    pub store: StoreStandin,
    hosts: Vec<Option<HostProcess>>,
    mesh_addresses: Vec<SocketAddr>,
    silent_listener: Option<std::net::TcpListener>,
    links: Option<Arc<LinkTable>>,
}

impl StateFleet {
    /// Starts a store and `hosts` hosts, without a simulated network.
    pub async fn start(hosts: usize) -> Self {
        Self::start_on(hosts, None).await
    }

    /// Starts a store and hosts on a network whose failure domains can be cut off.
    pub async fn start_on_network(hosts: usize) -> Self {
        let links = LinkTable::default();
        links.add_domain(PLATFORM_DOMAIN, PLATFORM_DOMAIN);
        for domain in 0..DOMAINS {
            links.add_domain(&format!("domain-{domain}"), "region");
        }
        Self::start_on(hosts, Some(Arc::new(links))).await
    }

    async fn start_on(hosts: usize, links: Option<Arc<LinkTable>>) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreStandin::start(any_port).await.unwrap();
        if let Some(links) = &links {
            links.add_address(store.address(), PLATFORM_DOMAIN);
        }
        let mut fleet = Self {
            store,
            hosts: (0..hosts).map(|_| None).collect(),
            mesh_addresses: vec![any_port; hosts],
            silent_listener: None,
            links,
        };
        for number in 0..hosts {
            fleet.restart(number).await;
        }
        fleet
    }

    /// Starts a host without seeds, for the first time or in the place of one that was killed.
    pub async fn restart(&mut self, number: usize) {
        self.start_with_seeds(number, &[]).await;
    }

    /// Starts a host with the mesh addresses of other hosts as seeds.
    pub async fn start_with_seeds(&mut self, number: usize, seeds: &[usize]) {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let domain = format!("domain-{}", number % DOMAINS);
        let seeds: Vec<_> = seeds.iter().map(|seed| self.mesh_addresses[*seed]).collect();
        let settings: HostSettings = serde_json::from_value(json!({
            "host": host_name(number), "failure_domain": domain, "region": "region",
            "listeners": { "callers": any_port, "operators": any_port, "mesh": any_port },
            "store": { "address": self.store.address(), "timeout_ms": 500, "calls_per_second": 200 },
            "seeds": seeds,
            "operators": [{
                "name": "test", "role": "write", "token_sha256": key_hash("token"),
            }],
        }))
        .unwrap();
        let process = match &self.links {
            Some(links) => {
                let dialer = RelayedDialer::new(Arc::clone(links), domain.as_str().into());
                HostProcess::start_with_dialer(settings, Arc::new(dialer)).await.unwrap()
            }
            None => HostProcess::start(settings).await.unwrap(),
        };
        if let Some(links) = &self.links {
            links.add_address(process.mesh_address(), &domain);
        }
        self.mesh_addresses[number] = process.mesh_address();
        let row = json!({
            "host": host_name(number), "failure_domain": domain, "region": "region",
            "mesh": process.mesh_address(), "leaving": false,
        });
        self.store.put_host(&host_name(number), row);
        self.hosts[number] = Some(process);
    }

    /// Simulated network of the fleet; panics if the fleet was started without one.
    pub fn links(&self) -> &LinkTable {
        self.links.as_ref().unwrap()
    }

    /// Stops a host at once by dropping its process.
    pub fn kill(&mut self, number: usize) {
        drop(self.hosts[number].take());
    }

    /// Process of a running host; panics if the host was killed.
    pub fn host(&self, number: usize) -> &HostProcess {
        self.hosts[number].as_ref().unwrap()
    }

    /// Numbers of the running hosts.
    pub fn running_hosts(&self) -> Vec<usize> {
        (0..self.hosts.len()).filter(|number| self.hosts[*number].is_some()).collect()
    }

    /// Names of all hosts of a failure domain, killed ones included.
    pub fn host_names_in(&self, domain: &str) -> Vec<Box<str>> {
        let numbers = 0..self.hosts.len();
        numbers
            .filter(|number| format!("domain-{}", number % DOMAINS) == domain)
            .map(host_name)
            .collect()
    }

    /// Adds a customer through a host and returns the revision of the change.
    pub async fn put_customer(
        &self,
        host: usize,
        customer: impl AsRef<str>,
    ) -> Result<u64, AppendError> {
        self.put_customer_at(host, customer, None).await
    }

    /// Adds a customer through a host; with `expected`, only if that revision is the latest.
    pub async fn put_customer_at(
        &self,
        host: usize,
        customer: impl AsRef<str>,
        expected: Option<u64>,
    ) -> Result<u64, AppendError> {
        let change: ConfigChange = serde_json::from_value(json!({
            "operation": "put",
            "object": {
                "kind": "customer", "name": customer.as_ref(), "rate_per_second": 1.0, "burst": 1.0,
                "services": [],
            },
        }))
        .unwrap();
        let appender = &self.host(host).state().appender;
        Ok(appender.append(vec![change], expected).await?.revision)
    }

    /// Repeats adding a customer until it is accepted and returns the revision; panics after `limit`.
    pub async fn put_until_accepted(&self, host: usize, customer: &str, limit: Duration) -> u64 {
        let end = Instant::now() + limit;
        loop {
            match self.put_customer(host, customer).await {
                Ok(revision) => return revision,
                Err(error) => assert!(Instant::now() < end, "{error}"),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Revision in force on a host.
    pub fn revision(&self, host: usize) -> u64 {
        self.host(host).state().configuration.load().revision
    }

    /// Number of customers in the configuration of a host.
    pub fn customer_count(&self, host: usize) -> usize {
        self.host(host).state().configuration.load().customers.len()
    }

    /// Waits until exactly this revision is in force on all running hosts; panics after `limit`.
    pub async fn wait_revision(&self, revision: u64, limit: Duration) {
        let revisions =
            || self.running_hosts().into_iter().map(|host| self.revision(host)).collect::<Vec<_>>();
        wait_until(
            limit,
            || revisions().iter().all(|known| *known == revision),
            || format!("revision {revision} not everywhere: {:?}", revisions()),
        )
        .await;
    }

    /// Waits until a host sees a member in the named state of health; panics after `limit`.
    pub async fn wait_member(&self, host: usize, member: usize, health: &str, limit: Duration) {
        let seen = || {
            let view = self.member_view(host);
            view.member(&host_name(member)).map(|member| format!("{:?}", member.health))
        };
        wait_until(limit, || seen().as_deref() == Some(health), || format!("{:?}", seen())).await;
    }

    /// Incarnation of a member, which grows with each start of its process, as a host sees it.
    pub fn incarnation(&self, host: usize, member: usize) -> u64 {
        self.member_view(host).member(&host_name(member)).unwrap().incarnation
    }

    /// Age of the oldest confirmation of keys among the running hosts; the maximum if one has none.
    pub fn oldest_confirmation(&self) -> Duration {
        let age = |host: usize| self.host(host).state().freshness.age(Instant::now());
        let ages = self.running_hosts().into_iter().map(|host| age(host).unwrap_or(Duration::MAX));
        ages.max().unwrap_or(Duration::MAX)
    }

    /// Waits until the confirmations of all running hosts are younger than `age` at once; panics after `limit`.
    pub async fn wait_keys_confirmed(&self, age: Duration, limit: Duration) {
        wait_until(
            limit,
            || self.oldest_confirmation() < age,
            || format!("{:?}", self.oldest_confirmation()),
        )
        .await;
    }

    /// Waits until an object is in the store, or not if `present` is false; panics after `limit`.
    pub async fn wait_object(&self, key: &str, present: bool, limit: Duration) {
        let store = self.store_client();
        let end = Instant::now() + limit;
        while store.get(key).await.unwrap().is_some() != present {
            assert!(Instant::now() < end, "{key}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Creates an object in the store; panics if it exists.
    pub async fn put_object(&self, key: &str, value: &Value) {
        self.store_client().put(key, Bytes::from(value.to_string()), None).await.unwrap();
    }

    /// Replaces an object in the store; panics if it does not exist.
    pub async fn replace_object(&self, key: &str, value: &Value) {
        let store = self.store_client();
        let version = store.get(key).await.unwrap().unwrap().version;
        store.put(key, Bytes::from(value.to_string()), Some(version)).await.unwrap();
    }

    /// Grants a customer a key through a host, withdraws it and returns the answer to the withdrawal.
    pub async fn withdraw_new_key(&self, host: usize, customer: &str) -> Value {
        let client = JsonClient::with_token(self.host(host).operator_address(), "token");
        let body = json!({ "customer": customer });
        let granted = client.call(Method::POST, "/v1/keys", body).await.unwrap();
        let path = format!("/v1/keys/{}", granted["id"].as_str().unwrap());
        client.call(Method::DELETE, &path, Value::Null).await.unwrap()
    }

    /// Adds a host that never answers to the host list: a listener that accepts nothing holds its address.
    pub fn list_unresponsive_host(&mut self, domain: &str) {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let row = json!({
            "host": UNRESPONSIVE_HOST, "failure_domain": domain, "region": "region",
            "mesh": listener.local_addr().unwrap(), "leaving": false,
        });
        self.store.put_host(UNRESPONSIVE_HOST, row);
        self.silent_listener = Some(listener);
    }

    /// Waits until a host has the host that never answers as a member; panics after `limit`.
    pub async fn wait_unresponsive_host(&self, host: usize, limit: Duration) {
        let known = || self.member_view(host).member(UNRESPONSIVE_HOST).is_some();
        wait_until(limit, known, || "the listed host is not known".into()).await;
    }

    /// Waits until exactly this epoch of a floor plan is known on all running hosts; panics after `limit`.
    pub async fn wait_floor_plan(&self, domain: &str, epoch: u64, limit: Duration) {
        let epochs = || {
            let plans =
                self.running_hosts().into_iter().map(|host| self.host(host).state().plans.load());
            plans.map(|plans| plans.get(domain).map(|plan| plan.epoch)).collect::<Vec<_>>()
        };
        let done = || epochs().iter().all(|known| *known == Some(epoch));
        wait_until(limit, done, || format!("{:?}", epochs())).await;
    }

    fn member_view(&self, host: usize) -> Arc<MemberView> {
        self.host(host).state().peers.members()
    }

    fn store_client(&self) -> HttpStore {
        let settings = StoreSettings {
            address: self.store.address(),
            timeout_ms: 1_000,
            calls_per_second: 1_000.0,
        };
        HttpStore::new("test".into(), &settings)
    }
}

fn host_name(number: usize) -> Box<str> {
    format!("host-{number}").into()
}

async fn wait_until(limit: Duration, done: impl Fn() -> bool, state: impl Fn() -> String) {
    let end = Instant::now() + limit;
    while !done() {
        assert!(Instant::now() < end, "{}", state());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
