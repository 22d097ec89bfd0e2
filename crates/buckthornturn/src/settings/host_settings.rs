//! Settings of a host.

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

/// Settings of a host.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of this host, unique in the fleet.
    pub host: HostId,
    /// Failure domain it stands in.
    pub failure_domain: DomainId,
    /// Region it stands in.
    pub region: RegionId,
    /// Addresses it listens on.
    pub listeners: ListenerSettings,
    /// The platform's object store.
    pub store: StoreSettings,
    /// Mesh addresses of some other hosts, asked while the store is out.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Operators that may act through this host.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
    /// TLS.
    #[serde(default)]
    pub tls: TlsSettings,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
    /// Metrics; none are sent without it.
    #[serde(default)]
    pub metrics: Option<MetricsSettings>,
    /// Bounds on what callers may take.
    #[serde(default)]
    pub caller_bounds: CallerBounds,
    /// Longest time that a graceful shutdown waits for running requests, in seconds.
    #[serde(default = "default_shutdown_seconds")]
    pub shutdown_seconds: u64,
}

impl HostSettings {
    /// Longest time that a graceful shutdown waits for running requests.
    pub fn shutdown_timeout(&self) -> Duration {
        Duration::from_secs(self.shutdown_seconds)
    }
}

/// Addresses a host listens on; port 0 lets the system choose.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenerSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other hosts.
    pub mesh: SocketAddr,
}

/// Where the platform's object store is.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address.
    pub address: SocketAddr,
    /// Longest wait for an answer, in milliseconds; watches add their own wait.
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
    /// Most calls a second that this host makes, over a few seconds.
    #[serde(default = "default_store_calls_per_second")]
    pub calls_per_second: f64,
}

impl StoreSettings {
    /// Longest wait for an answer.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Where metrics go.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// UDP address that takes statsd lines.
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
