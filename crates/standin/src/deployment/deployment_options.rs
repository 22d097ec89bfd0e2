//! Options of a deployment.

use std::time::Duration;

use crate::deployment::DeploymentKind;
use crate::network::LinkLatency;
use crate::target_standin::TargetBehaviour;

const DEFAULT_HOST_COUNT: usize = 10;
const DEFAULT_WORK_MS: u64 = 10;

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    /// Which example.
    pub kind: DeploymentKind,
    /// Number of entry hosts, spread evenly over the failure domains.
    pub host_count: usize,
    /// How targets behave; the slots are those of the configuration.
    pub behaviour: TargetBehaviour,
    /// Latency of the network between hosts, targets and store.
    pub latency: LinkLatency,
    /// Most of a service's traffic that may change place in one minute, in percent, in place of the profiles' own.
    pub shift_cap_percent_per_minute: Option<f64>,
    /// How far the platform's host list lags.
    pub host_list_lag: Duration,
}

impl DeploymentOptions {
    /// An example in today's size.
    pub fn new(kind: DeploymentKind) -> Self {
        let behaviour = TargetBehaviour { work_ms: DEFAULT_WORK_MS, ..TargetBehaviour::default() };
        let latency = LinkLatency {
            between_domains: kind.domain_latency(),
            between_regions: kind.region_latency(),
        };
        Self {
            kind,
            host_count: DEFAULT_HOST_COUNT,
            behaviour,
            latency,
            shift_cap_percent_per_minute: None,
            host_list_lag: Duration::ZERO,
        }
    }
}
