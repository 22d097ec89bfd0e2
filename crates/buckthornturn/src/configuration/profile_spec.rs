//! Steering profiles: limits and policies that apply to services.

use std::time::Duration;

use coordination::ids::ProfileId;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::DrainScope;

/// Priority class of a route. When slots or link bandwidth are short, an earlier class is served first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// A person waits for the answer, and the request cannot be made later.
    Urgent,
    /// Traffic without special needs; the default.
    #[default]
    Normal,
    /// Traffic that may be slow but has to be delivered.
    Archive,
}

/// How a request is handled when the state of its key is older than the profile allows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StaleKeyChoice {
    /// Serves the request, so that a host without contact to the store keeps the service available.
    Serve,
    /// Refuses the request without running it, so that a key withdrawn in the meantime is not accepted.
    Refuse,
}

/// Trade-off between availability while the host is cut off and certainty that withdrawn keys are refused.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StaleKeyPolicy {
    /// Age of the last confirmation of the keys from which the choices below apply, in milliseconds.
    pub after_ms: u64,
    /// Choice for requests of routes that are repeatable.
    pub repeatable: StaleKeyChoice,
    /// Choice for requests that may be executed only once.
    pub non_repeatable: StaleKeyChoice,
}

impl Default for StaleKeyPolicy {
    fn default() -> Self {
        Self {
            after_ms: 3_000,
            repeatable: StaleKeyChoice::Serve,
            non_repeatable: StaleKeyChoice::Refuse,
        }
    }
}

/// Limits of the queue for a service's slots; each host has its own queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueuePolicy {
    /// Maximum time that a request waits for a slot, in milliseconds.
    pub max_wait_ms: u64,
    /// Maximum number of waiting requests of one customer.
    pub max_waiting_per_customer: u32,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self { max_wait_ms: 2_000, max_waiting_per_customer: 64 }
    }
}

/// A drain that starts at a given time without an operator's action.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledDrain {
    /// Whether `name` is a target, a failure domain or a region.
    pub scope: DrainScope,
    /// Name of the target, failure domain or region to drain.
    pub name: Box<str>,
    /// Time at which the drain starts, RFC 3339 in UTC.
    pub start: Box<str>,
    /// Time by which the traffic has to be moved, RFC 3339 in UTC; later than `start`.
    pub by: Box<str>,
}

/// A steering profile. Assignments apply it to services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProfileSpec {
    /// Name of the profile, to which assignments refer.
    pub name: ProfileId,
    /// Maximum share of a service's traffic that may move elsewhere in one minute, in percent; above 0.
    #[serde(default = "default_shift_cap_percent_per_minute")]
    pub shift_cap_percent_per_minute: f64,
    /// Maximum share of a region's slots that steering plans to fill, in percent; above 0.
    #[serde(default = "default_max_utilization_percent")]
    pub max_utilization_percent: f64,
    /// Retry budget: maximum number of retries as a share of requests, in percent.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: f64,
    /// Limits of the queue for slots.
    #[serde(default)]
    pub queue: QueuePolicy,
    /// Handling of requests when the state of keys is stale.
    #[serde(default)]
    pub stale_keys: StaleKeyPolicy,
    /// Drains that start at a given time.
    #[serde(default)]
    pub schedule: Vec<ScheduledDrain>,
    /// Body bytes that cost one token of a customer's rate; with 0 each request costs one token, whatever its size.
    #[serde(default)]
    pub bytes_per_token: u64,
}

impl ProfileSpec {
    /// Maximum time that a request waits for a slot.
    pub fn max_wait(&self) -> Duration {
        Duration::from_millis(self.queue.max_wait_ms)
    }
}

fn default_shift_cap_percent_per_minute() -> f64 {
    20.0
}

fn default_max_utilization_percent() -> f64 {
    90.0
}

fn default_retry_budget_percent() -> f64 {
    10.0
}
