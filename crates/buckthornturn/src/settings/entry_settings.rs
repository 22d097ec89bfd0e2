//! Settings of an entry host that runs on the platform.

use std::net::SocketAddr;
use std::time::Duration;

use coordination::ids::DomainId;
use coordination::ids::HostId;
use coordination::ids::RegionId;
use indexmap::IndexMap;
use serde::Deserialize;

use crate::settings::LogSettings;

/// Settings of an entry host that runs on the platform. Unknown fields are ignored, as the platform may add some.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EntrySettings {
    /// Name of this host, unique in the fleet.
    pub host: HostId,
    /// Failure domain that it stands in.
    pub failure_domain: DomainId,
    /// Region that it stands in.
    pub region: RegionId,
    /// Region of each failure domain.
    pub domains: IndexMap<DomainId, RegionId>,
    /// Addresses that it listens on.
    pub listeners: EntryListeners,
    /// The platform's store.
    pub platform: PlatformSettings,
    /// Mesh addresses of some other hosts.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Processor share that this host may use, in cores; callers are spread over hosts by it.
    #[serde(default = "default_capacity_cores")]
    pub capacity_cores: f64,
    /// Bounds that the platform holds all hosts to together.
    pub bounds: EntryBounds,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

impl EntrySettings {
    /// Part of all callers, 0 to 1, that this host's region is expected to have: its part of the failure domains.
    pub fn expected_caller_share(&self) -> f64 {
        let domains_in_region =
            self.domains.values().filter(|region| **region == self.region).count();
        domains_in_region as f64 / self.domains.len().max(1) as f64
    }
}

/// One core, for hosts that do not say.
fn default_capacity_cores() -> f64 {
    1.0
}

/// Addresses that an entry host listens on.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EntryListeners {
    /// For callers.
    pub callers: SocketAddr,
    /// For look-ups.
    pub look_ups: SocketAddr,
    /// For the question whether it is ready.
    pub readiness: SocketAddr,
    /// For other hosts, TCP and UDP.
    pub mesh: SocketAddr,
    /// For scrapes of metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// Where the platform's store is.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct PlatformSettings {
    /// Address of the store.
    pub store: SocketAddr,
}

/// Bounds that the platform holds all hosts to together.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EntryBounds {
    /// Most repeats as a share of requests.
    pub retry_ratio: f64,
    /// Most seconds for which callers keep the answer to a look-up.
    pub look_up_life_seconds: f64,
    /// Time between the signal to end and the end by force, in seconds.
    pub shutdown_seconds: f64,
}

impl EntryBounds {
    /// Time between the signal to end and the end by force.
    pub fn shutdown_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.shutdown_seconds.max(0.0))
    }
}
