//! Targets: the servers that execute requests.

use std::net::SocketAddr;

use coordination::ids::DomainId;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;
use serde::Deserialize;
use serde::Serialize;

const DEFAULT_WARM_UP_SECONDS: u64 = 10;

/// A target: one server that executes requests of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Name of the target, unique in the configuration.
    pub name: TargetId,
    /// Service whose requests it executes.
    pub service: ServiceId,
    /// Failure domain in which it runs.
    pub failure_domain: DomainId,
    /// Address on which it accepts requests; no two targets share one.
    pub address: SocketAddr,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Path of its health and load report, `{"healthy":bool,"draining":bool,"in_flight":n,"slots":n}`.
    #[serde(default = "default_health_path")]
    pub health_path: Box<str>,
    /// Time from first use until it runs at full speed, in seconds.
    #[serde(default = "default_warm_up_seconds")]
    pub warm_up_seconds: u64,
}

fn default_health_path() -> Box<str> {
    "/health".into()
}

fn default_warm_up_seconds() -> u64 {
    DEFAULT_WARM_UP_SECONDS
}
