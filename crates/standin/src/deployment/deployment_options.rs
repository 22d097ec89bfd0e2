//! Size, network and target behaviour of a deployment.

use std::time::Duration;

use crate::deployment::DeploymentKind;
use crate::network::LinkLatency;
use crate::target_standin::TargetBehaviour;

const DEFAULT_HOST_COUNT: usize = 10;
const DEFAULT_WORK_MS: u64 = 10;

/// Options with which a deployment is started.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    /// Example whose configuration is applied.
    pub kind: DeploymentKind,
    /// Number of entry hosts, spread evenly over the failure domains.
    pub host_count: usize,
    /// Behaviour of every target; `slots` is replaced by the slots that the configuration gives the target.
    pub behaviour: TargetBehaviour,
    /// One-way latency of the simulated network between hosts, targets and store.
    pub latency: LinkLatency,
    /// Largest share of a service's traffic that may move in one minute, in percent; `None` keeps the value of each
    /// profile.
    pub shift_cap_percent_per_minute: Option<f64>,
    /// Delay after which a change of a host shows in the platform's host list.
    pub host_list_lag: Duration,
}

impl DeploymentOptions {
    /// Returns the options of an example at its default size and latency, with a host list that does not lag.
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
