//! Profile spec.

use std::time::Duration;

use coordination::ids::ProfileId;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::DrainScope;

/// Class of a route; an earlier one goes first when slots or links are short.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum PriorityClass {
    /// A person is waiting and it cannot be done later.
    Urgent,
    /// Ordinary traffic.
    #[default]
    Normal,
    /// May arrive slowly but must arrive.
    Archive,
}

/// What happens to a request when the state of its key is older than the profile's bound.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StaleKeyChoice {
    /// Serve it: being cut off must not stop the service.
    Serve,
    /// Refuse it, not run: a withdrawn key must not work.
    Refuse,
}

/// The profile's choice between serving while cut off and stopping withdrawn keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StaleKeyPolicy {
    /// Age of the last confirmation from which the choices apply, in milliseconds.
    pub after_ms: u64,
    /// Choice for repeatable requests.
    pub repeatable: StaleKeyChoice,
    /// Choice for non-repeatable requests.
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

/// Bounds of the queue in front of a service's slots on each host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueuePolicy {
    /// Longest wait for a slot, in milliseconds.
    pub max_wait_ms: u64,
    /// Most requests that wait for one customer.
    pub max_waiting_per_customer: u32,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self { max_wait_ms: 2_000, max_waiting_per_customer: 64 }
    }
}

/// A drain that starts by itself on its date.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledDrain {
    /// What is drained.
    pub scope: DrainScope,
    /// Name of the target, failure domain or region.
    pub name: Box<str>,
    /// Start, RFC 3339 in UTC.
    pub start: Box<str>,
    /// End, RFC 3339 in UTC.
    pub by: Box<str>,
}

/// A named steering profile.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProfileSpec {
    /// Name of the profile.
    pub name: ProfileId,
    /// Most of a service's traffic that may change place in one minute, in percent.
    #[serde(default = "default_shift_cap_percent_per_minute")]
    pub shift_cap_percent_per_minute: f64,
    /// Most of a region's slots that steering fills, in percent.
    #[serde(default = "default_max_utilization_percent")]
    pub max_utilization_percent: f64,
    /// Most retries as a share of requests, in percent.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: f64,
    /// Bounds of queues.
    #[serde(default)]
    pub queue: QueuePolicy,
    /// Choice when key state is old.
    #[serde(default)]
    pub stale_keys: StaleKeyPolicy,
    /// Drains by date.
    #[serde(default)]
    pub schedule: Vec<ScheduledDrain>,
    /// Body bytes that count as one request against a customer's rate; 0 counts each request as one.
    #[serde(default)]
    pub bytes_per_token: u64,
}

impl ProfileSpec {
    /// Longest wait for a slot.
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
