//! Customers and their limits.

use coordination::ids::CustomerId;
use coordination::ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

const DEFAULT_WEIGHT: u32 = 1;

/// A customer and its limits. The limits apply to all hosts of the fleet together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// Name of the customer, unique in the configuration.
    pub name: CustomerId,
    /// Sustained rate in requests per second, summed over all hosts; above 0.
    pub rate_per_second: f64,
    /// Requests that may arrive at once, summed over all hosts; at least 1.
    pub burst: f64,
    /// Weight of the customer when customers compete for slots; 1 if not given. Slots are shared in proportion to it.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Services whose routes with a key requirement accept the customer's keys.
    pub services: Vec<ServiceId>,
}

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}
