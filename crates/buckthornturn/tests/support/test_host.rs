//! The caller-facing service of one host on a real listener, with fakes for the store and the other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use buckthornturn::admission::LocalGate;
use buckthornturn::callers::CallerService;
use buckthornturn::callers::CallerServiceParts;
use buckthornturn::callers::GracefulServer;
use buckthornturn::callers::RequestMetrics;
use buckthornturn::callers::SingleHostSteering;
use buckthornturn::callers::SteerHost;
use buckthornturn::callers::key_hash;
use buckthornturn::configuration::ConfigurationCell;
use buckthornturn::configuration::ConfigurationState;
use buckthornturn::interface::AdmissionGate;
use buckthornturn::interface::AdmissionPermit;
use buckthornturn::interface::AdmissionRefusal;
use buckthornturn::interface::AdmissionRequest;
use buckthornturn::interface::FreshnessCell;
use buckthornturn::interface::TcpDialer;
use buckthornturn::settings::CallerBounds;
use futures::FutureExt;
use futures::future::BoxFuture;
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::task::AbortOnDropHandle;

use crate::support::FakePeers;
use crate::support::FakeStore;
use crate::support::RawAnswer;
use crate::support::exchange;
use crate::support::request;

/// API key of customer `aurora`; its identifier is `ka`.
pub const KEY_AURORA: &str = "bt_ka_secret-of-aurora";
/// API key of customer `boreal`; its identifier is `kb`.
pub const KEY_BOREAL: &str = "bt_kb_secret-of-boreal";

/// Options of a [`TestHost`].
pub struct TestHostOptions {
    /// Name under which the host issues tickets and is known to other hosts.
    pub host: &'static str,
    /// Requests that each target runs at the same time.
    pub slots: u32,
    /// Limit of each route on the time to the first byte of an answer, in milliseconds.
    pub deadline_ms: u64,
    /// Time for which each further attempt waits for its admission.
    pub retry_wait: Duration,
    /// Limits and timeouts of the caller-facing service.
    pub bounds: CallerBounds,
}

impl Default for TestHostOptions {
    fn default() -> Self {
        Self {
            host: "host-1",
            slots: 8,
            deadline_ms: 5_000,
            retry_wait: Duration::ZERO,
            bounds: CallerBounds::default(),
        }
    }
}

/// Gate that admits further attempts of a request after a wait.
struct WaitingGate {
    gate: LocalGate,
    retry_wait: Duration,
}

impl AdmissionGate for WaitingGate {
    fn admit(
        &self,
        request: AdmissionRequest,
    ) -> BoxFuture<'_, Result<AdmissionPermit, AdmissionRefusal>> {
        async move {
            if request.attempt > 0 {
                tokio::time::sleep(self.retry_wait).await;
            }
            self.gate.admit(request).await
        }
        .boxed()
    }
}

/// The caller-facing service of one host, reached over TCP.
pub struct TestHost {
    /// Address of the listener for callers.
    pub address: SocketAddr,
    /// Configuration in force; a test changes it with [`TestHost::change_configuration`].
    pub cell: ConfigurationCell,
    /// Time of the last confirmation of the key state; confirmed once at start.
    pub freshness: FreshnessCell,
    /// Store that holds the claims of idempotency keys.
    pub store: Arc<FakeStore>,
    /// Other hosts; none is known until a test sets one.
    pub peers: Arc<FakePeers>,
    /// Service behind the listener.
    pub service: Arc<CallerService>,
    server: GracefulServer,
    _watch: AbortOnDropHandle<()>,
}

impl TestHost {
    /// Starts `host-1` in front of targets, with the default options.
    pub async fn start(targets: &[SocketAddr]) -> Self {
        Self::start_with(targets, TestHostOptions::default()).await
    }

    /// Starts a host in front of targets, all of service `s` in failure domain `d`.
    pub async fn start_with(targets: &[SocketAddr], options: TestHostOptions) -> Self {
        let cell = ConfigurationCell::new();
        cell.replace_if_newer(Arc::new(configuration(targets, &options)));
        let freshness = FreshnessCell::default();
        freshness.record_confirmation(Instant::now(), "test");
        let (store, peers) = (Arc::new(FakeStore::default()), Arc::new(FakePeers::default()));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let own = SteerHost { address, failure_domain: "d".into(), region: "r".into() };
        let service = Arc::new(CallerService::new(CallerServiceParts {
            host: options.host.into(),
            incarnation: 1,
            cell: cell.clone(),
            freshness: freshness.clone(),
            gate: Arc::new(WaitingGate {
                gate: LocalGate::new(cell.clone(), 1),
                retry_wait: options.retry_wait,
            }),
            steering: Arc::new(SingleHostSteering::new(own)),
            store: Arc::clone(&store) as _,
            peers: Arc::clone(&peers) as _,
            bounds: options.bounds.clone(),
            metrics: Arc::new(RequestMetrics::default()),
            dialer: TcpDialer::shared(),
        }));
        let watch = tokio::spawn(service.active().clone().watch_configuration(cell.clone()));
        let server = GracefulServer::start(
            listener,
            Arc::clone(&service),
            Arc::clone(&peers) as _,
            options.host.into(),
            options.bounds,
            None,
        );
        let _watch = AbortOnDropHandle::new(watch);
        Self { address, cell, freshness, store, peers, service, server, _watch }
    }

    /// Sends a request on its own connection, with the key of `aurora` unless a header sets another, and reads the answer.
    pub async fn send(&self, line: &str, headers: &[&str], body: &str) -> RawAnswer {
        exchange(self.address, request(line, headers, body)).await
    }

    /// Fetches a ticket for customer `aurora`; returns it as a request header line.
    pub async fn fetch_ticket(&self) -> String {
        let line = "POST /.well-known/buckthornturn/ticket?service=s";
        let answer = self.send(line, &[], "").await;
        let body: serde_json::Value = serde_json::from_str(answer.body()).unwrap();
        format!("buckthornturn-ticket: {}", body["ticket"].as_str().unwrap())
    }

    /// Applies a change to the configuration in force and raises its revision by one.
    pub fn change_configuration(&self, change: impl FnOnce(&mut ConfigurationState)) {
        let mut state = (*self.cell.load()).clone();
        change(&mut state);
        state.revision += 1;
        self.cell.replace_if_newer(Arc::new(state));
    }

    /// Shuts down gracefully; returns whether all running requests finished within the limit.
    pub async fn shut_down(self, limit: Duration) -> bool {
        self.server.shut_down(limit).await
    }
}

fn configuration(targets: &[SocketAddr], options: &TestHostOptions) -> ConfigurationState {
    let route = |name: &str, open: bool, repeatable: bool| {
        json!({
            "name": name, "path_prefix": format!("/{name}"), "open": open, "repeatable": repeatable,
            "deadline_ms": options.deadline_ms, "max_body_bytes": 1_000_000,
        })
    };
    let mut objects = vec![
        json!({ "kind": "domain", "name": "d", "region": "r" }),
        json!({
            "kind": "service", "name": "s", "hosts": ["s.example"],
            "routes": [route("read", false, true), route("pay", false, false), route("open", true, true)],
        }),
    ];
    for (number, address) in targets.iter().enumerate() {
        objects.push(json!({
            "kind": "target", "name": format!("t-{number}"), "service": "s",
            "failure_domain": "d", "address": address, "slots": options.slots,
        }));
    }
    for (customer, id, key) in [("aurora", "ka", KEY_AURORA), ("boreal", "kb", KEY_BOREAL)] {
        objects.push(json!({
            "kind": "customer", "name": customer, "rate_per_second": 10_000.0, "burst": 10_000.0,
            "services": ["s"],
        }));
        objects.push(json!({
            "kind": "key", "id": id, "customer": customer, "sha256": key_hash(key),
        }));
    }
    let mut state = ConfigurationState::default();
    for object in objects {
        state.put(serde_json::from_value(object).unwrap());
    }
    state.revision = 1;
    state
}
