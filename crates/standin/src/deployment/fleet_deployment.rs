//! Starts and controls a deployment: a store, targets and entry hosts in this process.

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
/// A killed host may still hold its addresses for a moment, so a start on them is retried.
const MAX_START_RETRIES: u32 = 20;
const START_RETRY_PAUSE: Duration = Duration::from_millis(100);
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A bearer key that was granted to a customer.
#[derive(Clone, Debug)]
pub struct GrantedKey {
    /// Identifier of the key in `/v1/keys/`, with which it can be withdrawn.
    pub id: Box<str>,
    /// Secret that callers send as a bearer token.
    pub key: Box<str>,
    /// Revision of the configuration that added the key; a host accepts the key from this revision on.
    pub revision: u64,
}

/// A store, targets and entry hosts, all inside this process.
pub struct FleetDeployment {
    /// Stand-in of the platform's store, which also serves the host list.
    pub store: StoreStandin,
    /// Targets by name, in the order of the configuration, running or not.
    pub targets: IndexMap<Box<str>, TargetSlot>,
    /// Entry hosts by name, running or not.
    pub hosts: IndexMap<Box<str>, HostSlot>,
    /// Configuration as it was applied at the start, with the addresses of the targets; later changes are not followed.
    pub objects: Vec<ConfigObject>,
    /// Simulated network between store, targets and hosts, in which links can be cut.
    pub links: Arc<LinkTable>,
    common_settings: Value,
}

impl FleetDeployment {
    /// Starts the store, the targets and the hosts, and applies the configuration with the addresses of the targets.
    ///
    /// # Errors
    ///
    /// Fails if a store, target or host does not start, or the configuration does not take effect on every host in time.
    pub async fn start(options: &DeploymentOptions) -> Result<Self, DeploymentError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreStandin::start(any_port).await.context(ListenSnafu { part: "store" })?;
        store.set_host_lag(options.host_list_lag);
        let common_settings = json!({
            "store": { "address": store.address() },
            "operators": [{
                "name": "standin", "role": "write", "token_sha256": key_hash(OPERATOR_TOKEN),
            }],
        });
        let mut objects = options.kind.objects()?;
        set_shift_cap(&mut objects, options.shift_cap_percent_per_minute);
        let targets = start_targets(&mut objects, options).await?;
        let hosts = distribute_hosts(&objects, options.host_count);
        let links = Arc::new(LinkTable::new(options.latency));
        let mut deployment = Self { store, targets, hosts, objects, links, common_settings };
        deployment.register_network_addresses();
        let names: Vec<_> = deployment.hosts.keys().cloned().collect();
        for name in names {
            deployment.start_host(&name).await?;
        }
        deployment.apply_configuration().await?;
        Ok(deployment)
    }

    /// Starts a host that does not run and adds it to the host list. It keeps its earlier addresses, unless they are
    /// still in use after all retries.
    ///
    /// # Errors
    ///
    /// Fails if there is no such host or it does not start.
    pub async fn start_host(&mut self, name: &str) -> Result<(), DeploymentError> {
        let host = self.hosts.get_mut(name).ok_or(unknown_part_error("host", name))?;
        let dialer = RelayedDialer::new(Arc::clone(&self.links), host.failure_domain.clone());
        let dialer: Arc<dyn StreamDialer> = Arc::new(dialer);
        let mut result = host.start(&self.common_settings, Arc::clone(&dialer)).await;
        for _ in 0..MAX_START_RETRIES {
            if result.is_ok() {
                break;
            }
            tokio::time::sleep(START_RETRY_PAUSE).await;
            result = host.start(&self.common_settings, Arc::clone(&dialer)).await;
        }
        if result.is_err() {
            host.reset_addresses();
            result = host.start(&self.common_settings, dialer).await;
        }
        self.links.add_address(host.mesh, &host.failure_domain);
        self.links.add_address(host.callers, &host.failure_domain);
        self.store.put_host(name, host.host_list_entry(false));
        result
    }

    /// Returns the slot of a host, to stop, kill or pause it.
    ///
    /// # Errors
    ///
    /// Fails if there is none of that name.
    pub fn host_mut(&mut self, name: &str) -> Result<&mut HostSlot, DeploymentError> {
        self.hosts.get_mut(name).ok_or(unknown_part_error("host", name))
    }

    /// Returns the slot of a target, to kill or restart it or change its behaviour.
    ///
    /// # Errors
    ///
    /// Fails if there is none of that name.
    pub fn target_mut(&mut self, name: &str) -> Result<&mut TargetSlot, DeploymentError> {
        self.targets.get_mut(name).ok_or(unknown_part_error("target", name))
    }

    /// Calls the operator API of the first running host.
    ///
    /// # Errors
    ///
    /// Fails if no host runs or the call fails.
    pub async fn call_operator_api(
        &self,
        method: Method,
        path: &str,
        body: Value,
    ) -> Result<Value, DeploymentError> {
        let host = self.hosts.values().find(|host| host.is_running());
        self.call_operator_api_on(host, method, path, body).await
    }

    /// Calls the operator API of the last running host, so that two operators can work through different hosts.
    ///
    /// # Errors
    ///
    /// Fails if no host runs or the call fails.
    pub async fn call_operator_api_on_last_host(
        &self,
        method: Method,
        path: &str,
        body: Value,
    ) -> Result<Value, DeploymentError> {
        let host = self.hosts.values().rev().find(|host| host.is_running());
        self.call_operator_api_on(host, method, path, body).await
    }

    async fn call_operator_api_on(
        &self,
        host: Option<&HostSlot>,
        method: Method,
        path: &str,
        body: Value,
    ) -> Result<Value, DeploymentError> {
        let operators = host.ok_or(unknown_part_error("host", "any that runs"))?.operators;
        operator_client(operators)
            .call(method, path, body)
            .await
            .context(OperatorSnafu { action: path })
    }

    /// Grants a new key to a customer. The key works on a host once its revision is in force there.
    ///
    /// # Errors
    ///
    /// Fails if no host runs, the customer does not exist or the change is not accepted.
    pub async fn grant_key(&self, customer: &str) -> Result<GrantedKey, DeploymentError> {
        let answer = self
            .call_operator_api(Method::POST, "/v1/keys", json!({ "customer": customer }))
            .await?;
        let text = |name: &str| answer[name].as_str().unwrap_or_default().into();
        let revision = answer["revision"].as_u64().unwrap_or(0);
        Ok(GrantedKey { id: text("id"), key: text("key"), revision })
    }

    /// Waits until every running host has applied `revision` or a later one.
    ///
    /// # Errors
    ///
    /// Fails after ten seconds with the names of the hosts that have not applied it.
    pub async fn wait_in_force(&self, revision: u64) -> Result<(), DeploymentError> {
        let deadline = Instant::now() + IN_FORCE_TIMEOUT;
        loop {
            let late_hosts = self.hosts_behind_revision(revision).await;
            if late_hosts.is_empty() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let hosts = late_hosts.join(", ").into();
                return Err(DeploymentError::NotInForce { revision, hosts });
            }
            tokio::time::sleep(REVISION_POLL_INTERVAL).await;
        }
    }

    async fn hosts_behind_revision(&self, revision: u64) -> Vec<Box<str>> {
        let mut late_hosts = Vec::new();
        for host in self.hosts.values().filter(|host| host.is_running()) {
            let status = self.host_status(host).await;
            match status.map(|status| status["revision"].as_u64()) {
                Ok(Some(current)) if current >= revision => {}
                _ => late_hosts.push(host.name.clone()),
            }
        }
        late_hosts
    }

    /// Returns the status of a host as its operator API reports it.
    ///
    /// # Errors
    ///
    /// Fails if the host does not run or does not answer in time.
    pub async fn host_status(&self, host: &HostSlot) -> Result<Value, CallError> {
        operator_client(host.operators).call(Method::GET, "/v1/status", Value::Null).await
    }

    /// Returns how often all targets together executed each request, by request identifier.
    pub fn executions(&self) -> IndexMap<Box<str>, u32> {
        let mut total: IndexMap<Box<str>, u32> = IndexMap::new();
        for (id, count) in self.targets.values().flat_map(|target| target.ledger().executions()) {
            *total.entry(id).or_default() += count;
        }
        total
    }

    /// Registers failure domains and addresses with the simulated network; the store is in the first failure domain.
    fn register_network_addresses(&self) {
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

    async fn apply_configuration(&self) -> Result<(), DeploymentError> {
        let changes: Vec<_> = self
            .objects
            .iter()
            .map(|object| json!({ "operation": "put", "object": object }))
            .collect();
        let answer = self
            .call_operator_api(Method::POST, "/v1/apply", json!({ "changes": changes }))
            .await?;
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

fn distribute_hosts(objects: &[ConfigObject], count: usize) -> IndexMap<Box<str>, HostSlot> {
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

fn unknown_part_error(kind: &'static str, name: &str) -> DeploymentError {
    UnknownSnafu { kind, name }.build()
}
