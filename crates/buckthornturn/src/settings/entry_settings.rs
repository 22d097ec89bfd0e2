//! Settings of entry hosts that run on the platform.

use std::net::SocketAddr;
use std::time::Duration;

use coordination::admission_bounds::AdmissionBounds;
use coordination::fleet::ColdTolerance;
use coordination::fleet::FleetBudget;
use coordination::fleet::QuotaTolerance;
use coordination::fleet::SpillPace;
use coordination::ids::DomainId;
use coordination::ids::HostId;
use coordination::ids::RegionId;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::settings::LogSettings;

/// Settings of an entry host that runs on the platform. Unknown fields are ignored, as the platform may add some.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EntrySettings {
    /// Name of this host, unique in the fleet.
    pub host: HostId,
    /// Failure domain in which this host runs.
    pub failure_domain: DomainId,
    /// Region of this host's failure domain.
    pub region: RegionId,
    /// All failure domains of the fleet with their regions.
    pub domains: IndexMap<DomainId, RegionId>,
    /// Addresses on which this host accepts connections.
    pub listeners: EntryListeners,
    /// Where this host reaches the platform.
    pub platform: PlatformSettings,
    /// Mesh addresses of some other hosts, from which this host learns about the rest of the fleet.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Processor time that this host may use, in cores. Callers are distributed over hosts in proportion to it.
    #[serde(default = "default_capacity_cores")]
    pub capacity_cores: f64,
    /// Memory that the process may take, in MB; without it the defaults of buffers apply.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may have, with those that the platform reserves; without it the default number of
    /// connections applies.
    #[serde(default)]
    pub max_descriptors: Option<f64>,
    /// Limits of the platform that apply to all hosts together.
    pub bounds: EntryBounds,
    /// Names of the bounds that were not stated, whose defaults are in force.
    #[serde(skip)]
    pub default_bounds: Box<[Box<str>]>,
    /// Level and format of the log.
    #[serde(default)]
    pub log: LogSettings,
}

impl EntrySettings {
    /// Bounds of the connections and buffers of the process.
    pub fn admission_bounds(&self) -> AdmissionBounds {
        let whole = |limit: Option<f64>| limit.map(|limit| limit as u64);
        AdmissionBounds::from_limits(whole(self.memory_mb), whole(self.max_descriptors))
    }

    /// Returns the share of all callers that is expected in this host's region, from 0 to 1. It is estimated as the
    /// share of failure domains that lie in the region.
    pub fn expected_caller_share(&self) -> f64 {
        let domains_in_region =
            self.domains.values().filter(|region| **region == self.region).count();
        domains_in_region as f64 / self.domains.len().max(1) as f64
    }
}

/// Default of one core for settings that do not give the capacity.
fn default_capacity_cores() -> f64 {
    1.0
}

/// Listen addresses of an entry host.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct EntryListeners {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for look-ups, by which callers find an entry host.
    pub look_ups: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    /// Address for traffic between hosts, over both TCP and UDP.
    pub mesh: SocketAddr,
    /// Address from which metrics can be scraped; `None` disables it.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
}

/// How an entry host reaches the platform.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct PlatformSettings {
    /// Address of the platform's store.
    pub store: SocketAddr,
}

/// Limits of the platform that apply to all hosts together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EntryBounds {
    /// Retry budget: maximum number of retries as a fraction of requests.
    pub retry_ratio: f64,
    /// Retry budget: retries of all hosts beyond the ratio, for each service and window.
    #[serde(default = "default_retry_slack")]
    pub retry_slack: f64,
    /// Retry budget: span over which retries are counted, in seconds.
    #[serde(default = "default_retry_window_seconds")]
    pub retry_window_seconds: f64,
    /// Limits of customers: span over which requests are counted, in seconds.
    #[serde(default = "default_quota_window_seconds")]
    pub quota_window_seconds: f64,
    /// Limits of customers: requests beyond a limit that all hosts may admit in a window, as a fraction of the limit.
    #[serde(default = "default_quota_overage")]
    pub quota_overage: f64,
    /// Limits of customers: further requests beyond a limit in a window.
    #[serde(default = "default_quota_slack")]
    pub quota_slack: f64,
    /// Cold targets: requests that a target may get in a second from all hosts, as a multiple of its rate for cold targets.
    #[serde(default = "default_cold_overage")]
    pub cold_overage: f64,
    /// Cold targets: further requests in a second.
    #[serde(default = "default_cold_slack")]
    pub cold_slack: f64,
    /// Shifts: largest part of a region's requests that may run in other regions than in the two seconds before.
    #[serde(default = "default_region_shift")]
    pub region_shift: f64,
    /// Maximum time for which callers may cache the answer to a look-up, in seconds.
    pub look_up_life_seconds: f64,
    /// Time from the termination signal until the platform kills the process, in seconds.
    pub shutdown_seconds: f64,
    /// Largest number of requests of one caller's connection that run side by side; 1 serves them one after another.
    #[serde(default = "default_side_by_side_requests")]
    pub side_by_side_requests: usize,
}

/// Default of one retry in a window for each of many hosts, for settings that do not give the slack.
fn default_retry_slack() -> f64 {
    60.0
}

fn default_retry_window_seconds() -> f64 {
    10.0
}

fn default_quota_window_seconds() -> f64 {
    QuotaTolerance::default().window.as_secs_f64()
}

fn default_quota_overage() -> f64 {
    QuotaTolerance::default().overage
}

fn default_quota_slack() -> f64 {
    QuotaTolerance::default().slack
}

fn default_cold_overage() -> f64 {
    ColdTolerance::default().overage
}

fn default_cold_slack() -> f64 {
    ColdTolerance::default().slack
}

fn default_region_shift() -> f64 {
    0.15
}

/// Default of eight, as callers send few requests ahead.
fn default_side_by_side_requests() -> usize {
    8
}

impl EntryBounds {
    /// All bounds by the names that they have in the settings file.
    pub fn values(&self) -> IndexMap<Box<str>, Value> {
        let fields = serde_json::to_value(self).ok();
        let fields = fields.and_then(|value| value.as_object().cloned()).unwrap_or_default();
        fields.into_iter().map(|(name, value)| (name.into(), value)).collect()
    }

    /// Budget of retries that all hosts share.
    pub fn retry_budget(&self) -> FleetBudget {
        FleetBudget {
            ratio: self.retry_ratio.max(0.0),
            slack: self.retry_slack.max(0.0),
            window: seconds(self.retry_window_seconds),
        }
    }

    /// What customers' limits allow beyond their figures.
    pub fn quota_tolerance(&self) -> QuotaTolerance {
        QuotaTolerance {
            window: seconds(self.quota_window_seconds),
            overage: self.quota_overage.clamp(0.0, 1.0),
            slack: self.quota_slack.max(0.0),
        }
    }

    /// How fast requests may move to other regions and back.
    pub fn spill_pace(&self) -> SpillPace {
        SpillPace::new(self.region_shift)
    }

    /// What cold targets may get beyond their rate.
    pub fn cold_tolerance(&self) -> ColdTolerance {
        ColdTolerance { overage: self.cold_overage.max(0.0), slack: self.cold_slack.max(0.0) }
    }

    /// Time from the termination signal until the platform kills the process; zero if the setting is negative.
    pub fn shutdown_timeout(&self) -> Duration {
        seconds(self.shutdown_seconds)
    }
}

/// Time of a setting in seconds; zero if it is negative or no time.
fn seconds(setting: f64) -> Duration {
    Duration::try_from_secs_f64(setting.max(0.0)).unwrap_or_default()
}
