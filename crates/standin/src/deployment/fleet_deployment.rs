//! The running deployment.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use buckthornturn::callers::key_hash;
use buckthornturn::configuration::ConfigObject;
use buckthornturn::interface::StreamDialer;
use http::Method;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;

use crate::deployment::DeploymentError;
use crate::deployment::DeploymentOptions;
use crate::deployment::HostSlot;
use crate::deployment::TargetSlot;
use crate::deployment::deployment_error::ListenSnafu;
use crate::deployment::deployment_error::OperatorSnafu;
use crate::deployment::deployment_error::UnknownSnafu;
use crate::json_client::CallError;
use crate::json_client::JsonClient;
use crate::network::LinkTable;
use crate::network::RelayedDialer;
use crate::store::StoreStandin;

const OPERATOR_TOKEN: &str = "standin-operator";
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Tries to start a host whose predecessor may not have left its addresses yet.
const START_RETRIES: u32 = 20;
const START_RETRY_PAUSE: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A key granted to a customer.
#[derive(Clone, Debug)]
pub struct GrantedKey {
    /// Identifier, to withdraw it.
    pub id: Box<str>,
    /// The key itself.
    pub key: Box<str>,
    /// Revision from which it works.
    pub revision: u64,
}

/// A store, targets and entry hosts, all inside this process.
pub struct FleetDeployment {
    /// Store.
    pub store: StoreStandin,
    /// Targets by name.
    pub targets: IndexMap<Box<str>, TargetSlot>,
    /// Hosts by name.
    pub hosts: IndexMap<Box<str>, HostSlot>,
    /// Configuration as applied.
    pub objects: Vec<ConfigObject>,
    /// Network between them.
    pub links: Arc<LinkTable>,
    common: Value,
}

impl FleetDeployment {
    /// Starts every part and applies the configuration, with the targets' addresses put in.
    ///
    /// # Errors
    ///
    /// Fails if a part does not start or the configuration does not come in force everywhere.
    pub async fn start(options: &DeploymentOptions) -> Result<Self, DeploymentError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreStandin::start(any).await.context(ListenSnafu { part: "store" })?;
        store.set_host_lag(options.host_list_lag);
        let common = json!({
            "store": { "address": store.address() },
            "operators": [{
                "name": "standin", "role": "write", "token_sha256": key_hash(OPERATOR_TOKEN),
            }],
        });
        let mut objects = options.kind.objects()?;
        set_shift_cap(&mut objects, options.shift_cap_percent_per_minute);
        let targets = start_targets(&mut objects, options).await?;
        let hosts = place_hosts(&objects, options.hosts);
        let links = Arc::new(LinkTable::new(options.latency));
        let mut deployment = Self { store, targets, hosts, objects, links, common };
        deployment.lay_out_network();
        let names: Vec<_> = deployment.hosts.keys().cloned().collect();
        for name in names {
            deployment.start_host(&name).await?;
        }
        deployment.apply().await?;
        Ok(deployment)
    }

    /// Starts a host that does not run, on its earlier addresses if they are free, and puts it into the host list.
    ///
    /// # Errors
    ///
    /// Fails if there is no such host or it does not start.
    pub async fn start_host(&mut self, name: &str) -> Result<(), DeploymentError> {
        let host = self.hosts.get_mut(name).ok_or(unknown("host", name))?;
        let dialer = RelayedDialer::new(Arc::clone(&self.links), host.failure_domain.clone());
        let dialer: Arc<dyn StreamDialer> = Arc::new(dialer);
        let mut result = host.start(&self.common, Arc::clone(&dialer)).await;
        for _ in 0..START_RETRIES {
            if result.is_ok() {
                break;
            }
            tokio::time::sleep(START_RETRY_PAUSE).await;
            result = host.start(&self.common, Arc::clone(&dialer)).await;
        }
        if result.is_err() {
            host.forget_addresses();
            result = host.start(&self.common, dialer).await;
        }
        self.links.add_address(host.mesh, &host.failure_domain);
        self.links.add_address(host.callers, &host.failure_domain);
        self.store.put_host(name, host.list_row(false));
        result
    }

    /// Place of a host.
    ///
    /// # Errors
    ///
    /// Fails if there is none of that name.
    pub fn host_mut(&mut self, name: &str) -> Result<&mut HostSlot, DeploymentError> {
        self.hosts.get_mut(name).ok_or(unknown("host", name))
    }

    /// Place of a target.
    ///
    /// # Errors
    ///
    /// Fails if there is none of that name.
    pub fn target_mut(&mut self, name: &str) -> Result<&mut TargetSlot, DeploymentError> {
        self.targets.get_mut(name).ok_or(unknown("target", name))
    }

    /// Calls the operators' listener of the first host that runs.
    ///
    /// # Errors
    ///
    /// Fails if no host runs or the call fails.
    pub async fn operate(
        &self,
        method: Method,
        path: &str,
        body: Value,
    ) -> Result<Value, DeploymentError> {
        let host = self.hosts.values().find(|host| host.is_running());
        self.operate_at(host, method, path, body).await
    }

    /// Calls the operators' listener of the last host that runs.
    ///
    /// # Errors
    ///
    /// Fails if no host runs or the call fails.
    pub async fn operate_last(
        &self,
        method: Method,
        path: &str,
        body: Value,
    ) -> Result<Value, DeploymentError> {
        let host = self.hosts.values().rev().find(|host| host.is_running());
        self.operate_at(host, method, path, body).await
    }

    async fn operate_at(
        &self,
        host: Option<&HostSlot>,
        method: Method,
        path: &str,
        body: Value,
    ) -> Result<Value, DeploymentError> {
        let operators = host.ok_or(unknown("host", "any that runs"))?.operators;
        operator_client(operators)
            .call(method, path, body)
            .await
            .context(OperatorSnafu { action: path })
    }

    /// Grants a customer a key.
    ///
    /// # Errors
    ///
    /// Fails if the customer does not exist or the change is not accepted.
    pub async fn grant(&self, customer: &str) -> Result<GrantedKey, DeploymentError> {
        let answer =
            self.operate(Method::POST, "/v1/keys", json!({ "customer": customer })).await?;
        let text = |name: &str| answer[name].as_str().unwrap_or_default().into();
        let revision = answer["revision"].as_u64().unwrap_or(0);
        Ok(GrantedKey { id: text("id"), key: text("key"), revision })
    }

    /// Waits until a revision is in force on every host that runs.
    ///
    /// # Errors
    ///
    /// Fails if it takes too long, and names the hosts.
    pub async fn wait_in_force(&self, revision: u64) -> Result<(), DeploymentError> {
        let end = Instant::now() + IN_FORCE_TIMEOUT;
        loop {
            let late = self.hosts_before(revision).await;
            if late.is_empty() {
                return Ok(());
            }
            if Instant::now() >= end {
                let hosts = late.join(", ").into();
                return Err(DeploymentError::NotInForce { revision, hosts });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn hosts_before(&self, revision: u64) -> Vec<Box<str>> {
        let mut late = Vec::new();
        for host in self.hosts.values().filter(|host| host.is_running()) {
            let status = self.status(host).await;
            match status.map(|status| status["revision"].as_u64()) {
                Ok(Some(current)) if current >= revision => {}
                _ => late.push(host.name.clone()),
            }
        }
        late
    }

    /// What a host says about itself.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub async fn status(&self, host: &HostSlot) -> Result<Value, CallError> {
        operator_client(host.operators).call(Method::GET, "/v1/status", Value::Null).await
    }

    /// Executions by request identifier, over all targets.
    pub fn executions(&self) -> IndexMap<Box<str>, u32> {
        let mut total: IndexMap<Box<str>, u32> = IndexMap::new();
        for (id, count) in self.targets.values().flat_map(|target| target.ledger().executions()) {
            *total.entry(id).or_default() += count;
        }
        total
    }

    /// The store stands in the first failure domain.
    fn lay_out_network(&self) {
        let domains = self.objects.iter().filter_map(|object| match object {
            ConfigObject::Domain(spec) => Some(spec),
            _ => None,
        });
        for (number, domain) in domains.enumerate() {
            self.links.add_domain(&domain.name, &domain.region);
            if number == 0 {
                self.links.add_address(self.store.address(), &domain.name);
            }
        }
        for target in self.targets.values() {
            self.links.add_address(target.address, &target.failure_domain);
        }
    }

    async fn apply(&self) -> Result<(), DeploymentError> {
        let changes: Vec<_> = self
            .objects
            .iter()
            .map(|object| json!({ "operation": "put", "object": object }))
            .collect();
        let answer = self.operate(Method::POST, "/v1/apply", json!({ "changes": changes })).await?;
        self.wait_in_force(answer["revision"].as_u64().unwrap_or(1)).await
    }
}

fn set_shift_cap(objects: &mut [ConfigObject], cap: Option<f64>) {
    for object in objects {
        if let (ConfigObject::Profile(spec), Some(cap)) = (object, cap) {
            spec.shift_cap_percent_per_minute = cap;
        }
    }
}

async fn start_targets(
    objects: &mut [ConfigObject],
    options: &DeploymentOptions,
) -> Result<IndexMap<Box<str>, TargetSlot>, DeploymentError> {
    let mut targets = IndexMap::new();
    for object in objects {
        let ConfigObject::Target(spec) = object else { continue };
        let mut behaviour = options.behaviour.clone();
        behaviour.slots = spec.slots;
        let (name, service) = (spec.name.clone(), spec.service.clone());
        let target =
            TargetSlot::start(name, service, spec.failure_domain.clone(), behaviour).await?;
        spec.address = target.address;
        targets.insert(spec.name.clone(), target);
    }
    Ok(targets)
}

fn place_hosts(objects: &[ConfigObject], count: usize) -> IndexMap<Box<str>, HostSlot> {
    let domains: Vec<_> = objects
        .iter()
        .filter_map(|object| match object {
            ConfigObject::Domain(spec) => Some(spec),
            _ => None,
        })
        .collect();
    let mut hosts = IndexMap::new();
    for (number, domain) in domains.iter().cycle().take(count).enumerate() {
        let name: Box<str> = format!("{}-{}", domain.name, number / domains.len() + 1).into();
        let slot = HostSlot::new(name.clone(), domain.name.clone(), domain.region.clone());
        hosts.insert(name, slot);
    }
    hosts
}

fn operator_client(address: SocketAddr) -> JsonClient {
    JsonClient::with_token(address, OPERATOR_TOKEN)
}

fn unknown(kind: &'static str, name: &str) -> DeploymentError {
    UnknownSnafu { kind, name }.build()
}
