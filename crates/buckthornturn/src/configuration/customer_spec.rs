//! Customer spec.

use coordination::ids::CustomerId;
use coordination::ids::ServiceId;
use serde::Deserialize;
use serde::Serialize;

const DEFAULT_WEIGHT: u32 = 1;

/// A customer with its limits over the whole fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// Name of the customer.
    pub name: CustomerId,
    /// Requests a second over all hosts together.
    pub rate_per_second: f64,
    /// Requests that may come at once over all hosts together.
    pub burst: f64,
    /// Share of slots relative to other customers when slots are short.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Services whose keyed routes it may use.
    pub services: Vec<ServiceId>,
}

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}
