//! Hosts without targets or callers, and their store.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use buckthornturn::HostProcess;
use buckthornturn::interface::ConfigChange;
use buckthornturn::settings::HostSettings;
use serde_json::json;

use crate::measure::MeasureError;
use crate::store::StoreStandin;

const DOMAINS: usize = 6;
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Hosts without targets or callers, over six failure domains, and their store.
pub(crate) struct StateFleet {
    pub(crate) store: StoreStandin,
    pub(crate) hosts: Vec<HostProcess>,
    pub(crate) seeds: Vec<SocketAddr>,
}

impl StateFleet {
    pub(crate) async fn start(hosts: usize) -> Result<Self, MeasureError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreStandin::start(any).await.map_err(|error| fail(&error))?;
        let mut fleet = Self { store, hosts: Vec::new(), seeds: Vec::new() };
        fleet.grow(hosts).await?;
        Ok(fleet)
    }

    /// Starts hosts up to a number.
    pub(crate) async fn grow(&mut self, hosts: usize) -> Result<(), MeasureError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        for number in self.hosts.len()..hosts {
            let name = format!("host-{number}");
            let domain = format!("domain-{}", number % DOMAINS);
            let settings: HostSettings = serde_json::from_value(json!({
                "host": name, "failure_domain": domain, "region": "region",
                "listeners": { "callers": any, "operators": any, "mesh": any },
                "store": { "address": self.store.address() }, "seeds": self.seeds,
            }))
            .map_err(|error| fail(&error))?;
            let process = HostProcess::start(settings).await.map_err(|error| fail(&error))?;
            let row = json!({
                "host": name, "failure_domain": domain, "region": "region",
                "mesh": process.mesh_address(), "leaving": false,
            });
            self.store.put_host(&name, row);
            self.hosts.push(process);
        }
        Ok(())
    }

    /// Ends every host at once.
    pub(crate) fn end_all(&mut self) {
        self.hosts.clear();
    }

    /// Has a change accepted through a host; returns its revision.
    pub(crate) async fn change(&self, host: usize, name: &str) -> Result<u64, MeasureError> {
        let change: ConfigChange = serde_json::from_value(json!({
            "operation": "put", "object": {
                "kind": "domain", "name": name, "region": "region",
            },
        }))
        .map_err(|error| fail(&error))?;
        let appender = &self.hosts[host % self.hosts.len()].state().appender;
        let receipt = appender.append(vec![change], None).await.map_err(|error| fail(&error))?;
        Ok(receipt.revision)
    }

    /// Seconds until a revision is in force on all hosts from number `first` on.
    pub(crate) async fn seconds_until(
        &self,
        revision: u64,
        first: usize,
    ) -> Result<f64, MeasureError> {
        let start = Instant::now();
        let late = |host: &&HostProcess| host.state().configuration.load().revision < revision;
        while self.hosts[first..].iter().any(|host| late(&host)) {
            if start.elapsed() > IN_FORCE_TIMEOUT {
                return Err(MeasureError::Usage { reason: "not in force in time".into() });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(start.elapsed().as_secs_f64())
    }

    /// Bytes that each host has written to others.
    pub(crate) fn bytes_out(&self) -> Vec<u64> {
        self.hosts.iter().map(|host| host.mesh_counters().wire_bytes().1).collect()
    }

    /// Calls that the store has counted.
    pub(crate) fn calls(&self) -> u64 {
        self.store.counters()["total"].as_u64().unwrap_or(0)
    }

    /// Most calls in one second that the store has counted from second `from` on.
    pub(crate) fn peak_calls(&self, from: f64) -> u64 {
        let report = self.store.counters();
        let seconds = report["per_second"].as_array().cloned().unwrap_or_default();
        let count = |second: &serde_json::Value| {
            second["reads"].as_u64().unwrap_or(0) + second["writes"].as_u64().unwrap_or(0)
        };
        seconds.iter().skip(from as usize).map(count).max().unwrap_or(0)
    }

    /// Seconds for which the store has counted.
    pub(crate) fn counted_seconds(&self) -> f64 {
        self.store.counters()["seconds"].as_f64().unwrap_or(0.0)
    }
}

fn fail(error: &dyn std::error::Error) -> MeasureError {
    MeasureError::Usage { reason: error.to_string().into() }
}
