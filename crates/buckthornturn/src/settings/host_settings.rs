//! Settings of a host and their defaults.

use std::net::SocketAddr;
use std::time::Duration;

use coordination::ids::DomainId;
use coordination::ids::HostId;
use coordination::ids::RegionId;
use serde::Deserialize;

use crate::settings::CallerBounds;
use crate::settings::LogSettings;
use crate::settings::OperatorSettings;
use crate::settings::TlsSettings;

const DEFAULT_STORE_CALLS_PER_SECOND: f64 = 20.0;
const DEFAULT_STORE_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_SHUTDOWN_SECONDS: u64 = 30;

/// Settings of a host, read once at its start. Unknown fields are errors.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of this host, unique in the fleet.
    pub host: HostId,
    /// Failure domain in which this host runs.
    pub failure_domain: DomainId,
    /// Region of this host's failure domain.
    pub region: RegionId,
    /// Addresses on which this host accepts connections.
    pub listeners: ListenerSettings,
    /// How this host reaches the platform's object store.
    pub store: StoreSettings,
    /// Mesh addresses of some other hosts, which are contacted while the store is unavailable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Operators whose requests this host accepts.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
    /// Certificates of the listeners; without them the listeners use plain TCP.
    #[serde(default)]
    pub tls: TlsSettings,
    /// Level and format of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Where metrics are sent; `None` disables them.
    #[serde(default)]
    pub metrics: Option<MetricsSettings>,
    /// Limits on the resources that callers may use.
    #[serde(default)]
    pub caller_bounds: CallerBounds,
    /// Maximum time for which a graceful shutdown waits for running requests, in seconds.
    #[serde(default = "default_shutdown_seconds")]
    pub shutdown_seconds: u64,
}

impl HostSettings {
    /// Maximum time for which a graceful shutdown waits for running requests.
    pub fn shutdown_timeout(&self) -> Duration {
        Duration::from_secs(self.shutdown_seconds)
    }
}

/// Listen addresses of a host. With port 0 the operating system chooses a free port.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenerSettings {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for requests of operators.
    pub operators: SocketAddr,
    /// Address for traffic between hosts.
    pub mesh: SocketAddr,
}

/// How a host reaches the platform's object store.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Maximum wait for an answer, in milliseconds. A watch adds its own wait to it.
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
    /// Maximum rate of calls from this host, in calls per second, averaged over a few seconds.
    #[serde(default = "default_store_calls_per_second")]
    pub calls_per_second: f64,
}

impl StoreSettings {
    /// Maximum wait for an answer; a watch adds its own wait to it.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Where a host sends its metrics.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// UDP address of a statsd server.
    pub statsd: SocketAddr,
}

fn default_shutdown_seconds() -> u64 {
    DEFAULT_SHUTDOWN_SECONDS
}

fn default_store_calls_per_second() -> f64 {
    DEFAULT_STORE_CALLS_PER_SECOND
}

fn default_store_timeout_ms() -> u64 {
    DEFAULT_STORE_TIMEOUT_MS
}
