//! A fleet of hosts and their store, without targets or callers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use buckthornturn::HostProcess;
use buckthornturn::interface::ConfigChange;
use buckthornturn::settings::HostSettings;
use serde_json::json;

use crate::measure::MeasureError;
use crate::store::StoreStandin;

const DOMAIN_COUNT: usize = 6;
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(2);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Hosts spread over six failure domains of one region, and their store. There are no targets or callers.
pub(crate) struct StateFleet {
    pub(crate) store: StoreStandin,
    pub(crate) hosts: Vec<HostProcess>,
    pub(crate) seeds: Vec<SocketAddr>,
}

impl StateFleet {
    pub(crate) async fn start(hosts: usize) -> Result<Self, MeasureError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreStandin::start(any_port).await.map_err(|error| usage_error(&error))?;
        let mut fleet = Self { store, hosts: Vec::new(), seeds: Vec::new() };
        fleet.start_hosts_up_to(hosts).await?;
        Ok(fleet)
    }

    /// Starts hosts until `hosts` of them run, with the current seeds, and adds each to the host list.
    pub(crate) async fn start_hosts_up_to(&mut self, hosts: usize) -> Result<(), MeasureError> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        for number in self.hosts.len()..hosts {
            let name = format!("host-{number}");
            let domain = format!("domain-{}", number % DOMAIN_COUNT);
            let settings: HostSettings = serde_json::from_value(json!({
                "host": name, "failure_domain": domain, "region": "region",
                "listeners": { "callers": any_port, "operators": any_port, "mesh": any_port },
                "store": { "address": self.store.address() }, "seeds": self.seeds,
            }))
            .map_err(|error| usage_error(&error))?;
            let process =
                HostProcess::start(settings).await.map_err(|error| usage_error(&error))?;
            let row = json!({
                "host": name, "failure_domain": domain, "region": "region",
                "mesh": process.mesh_address(), "leaving": false,
            });
            self.store.put_host(&name, row);
            self.hosts.push(process);
        }
        Ok(())
    }

    /// Ends all hosts without a graceful shutdown.
    pub(crate) fn kill_all_hosts(&mut self) {
        self.hosts.clear();
    }

    /// Adds a failure domain to the configuration through a host and returns the revision of the change. Host numbers wrap
    /// around.
    pub(crate) async fn append_domain(&self, host: usize, name: &str) -> Result<u64, MeasureError> {
        let change: ConfigChange = serde_json::from_value(json!({
            "operation": "put", "object": {
                "kind": "domain", "name": name, "region": "region",
            },
        }))
        .map_err(|error| usage_error(&error))?;
        let appender = &self.hosts[host % self.hosts.len()].state().appender;
        let receipt =
            appender.append(vec![change], None).await.map_err(|error| usage_error(&error))?;
        Ok(receipt.revision)
    }

    /// Waits until a revision is in force on all hosts from index `first` on and returns the seconds that it took.
    pub(crate) async fn seconds_until_in_force(
        &self,
        revision: u64,
        first: usize,
    ) -> Result<f64, MeasureError> {
        let start = Instant::now();
        let is_late = |host: &&HostProcess| host.state().configuration.load().revision < revision;
        while self.hosts[first..].iter().any(|host| is_late(&host)) {
            if start.elapsed() > IN_FORCE_TIMEOUT {
                return Err(MeasureError::Failed {
                    reason: "a revision was not in force on all hosts in time".into(),
                });
            }
            tokio::time::sleep(REVISION_POLL_INTERVAL).await;
        }
        Ok(start.elapsed().as_secs_f64())
    }

    /// Returns the bytes that each host has sent to other hosts since its start.
    pub(crate) fn bytes_sent_by_host(&self) -> Vec<u64> {
        self.hosts.iter().map(|host| host.mesh_counters().wire_bytes().1).collect()
    }

    /// Returns the number of calls that the store has received.
    pub(crate) fn store_calls(&self) -> u64 {
        self.store.counters()["total"].as_u64().unwrap_or(0)
    }

    /// Returns the largest number of calls that the store received in one second, from second `from` of its counters on.
    pub(crate) fn peak_store_calls(&self, from: f64) -> u64 {
        let report = self.store.counters();
        let seconds = report["per_second"].as_array().cloned().unwrap_or_default();
        let count = |second: &serde_json::Value| {
            second["reads"].as_u64().unwrap_or(0) + second["writes"].as_u64().unwrap_or(0)
        };
        seconds.iter().skip(from as usize).map(count).max().unwrap_or(0)
    }

    /// Returns the seconds since the store began to count calls.
    pub(crate) fn store_seconds(&self) -> f64 {
        self.store.counters()["seconds"].as_f64().unwrap_or(0.0)
    }
}

fn usage_error(error: &dyn std::error::Error) -> MeasureError {
    MeasureError::Failed { reason: error.to_string().into() }
}
