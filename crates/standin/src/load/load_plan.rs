//! Plan of a load: customers, their rates and their requests.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

const DEFAULT_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_MAX_REQUESTS: usize = 500_000;
const DEFAULT_MAX_IN_FLIGHT: usize = 512;

/// Load of all customers, bounded in count and time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Entry hosts that callers send look-ups to.
    pub entry_hosts: Vec<SocketAddr>,
    /// Addresses of targets, whose executions are read at the end of the run.
    #[serde(default)]
    pub targets: Vec<SocketAddr>,
    /// Time during which requests start, in seconds.
    pub seconds: f64,
    /// Seed of arrival times and choices of templates.
    #[serde(default)]
    pub seed: u64,
    /// Time after which a caller abandons a request, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Limit of one customer's requests in the whole run.
    #[serde(default = "default_max_requests")]
    pub max_requests_per_customer: usize,
    /// Limit of one customer's requests in flight; further ones are recorded as not sent.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight_per_customer: usize,
    /// Templates of requests; records refer to them by index.
    pub requests: Vec<RequestTemplate>,
    /// Customers that send requests; records refer to them by index.
    pub customers: Vec<CustomerLoad>,
}

/// Template of the requests of one kind.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestTemplate {
    /// Name of this kind of request in the report.
    pub name: Box<str>,
    /// Service named in look-ups and in requests for tickets.
    pub service: Box<str>,
    /// Value of the `Host` header.
    pub host: Box<str>,
    /// HTTP method, `GET` if left out.
    #[serde(default = "default_method")]
    pub method: Box<str>,
    /// Path with query; a path ending in `/bytes/N` requests an answer of N bytes.
    pub path: Box<str>,
    /// Length of the body that is sent, in bytes.
    #[serde(default)]
    pub body_bytes: u64,
    /// Pause before each piece of the body that is sent, in milliseconds.
    #[serde(default)]
    pub body_pause_ms: u64,
    /// Whether the body has any length up to `body_bytes`, a sixth of it on average, and is sent in one of several ways: with a
    /// length or in chunks, at once or with the pauses, in whole or broken off.
    #[serde(default)]
    pub mixed: bool,
    /// Whether the request must run at most once; a ticket is then fetched first.
    #[serde(default)]
    pub once: bool,
    /// Whether the request is sent without a key.
    #[serde(default)]
    pub open: bool,
    /// Whether the request is large: its latency is left out of the customer's, and attempts have no timeout of their own.
    #[serde(default)]
    pub bulk: bool,
    /// Weight of this template among those that a customer sends.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

/// Load of one customer's callers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerLoad {
    /// Name of the customer.
    pub customer: Box<str>,
    /// Key that its callers send as a bearer token.
    pub key: Box<str>,
    /// Mean rate at which requests are sent, in requests a second.
    pub requests_per_second: f64,
    /// Configured rate limit over all hosts together, in requests a second.
    pub rate_per_second: f64,
    /// Configured burst over all hosts together, in requests.
    pub burst: f64,
    /// Services that the customer uses; empty means all of them.
    #[serde(default)]
    pub services: Vec<Box<str>>,
    /// Intervals with a multiple of the customer's usual rate; the first that matches applies.
    #[serde(default)]
    pub surges: Vec<CustomerSurge>,
}

/// Interval in which a customer sends at a multiple of its usual rate.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSurge {
    /// Start, in seconds since the start of the run.
    pub from_s: f64,
    /// End (exclusive), in seconds since the start of the run.
    pub to_s: f64,
    /// Factor applied to `requests_per_second`.
    pub factor: f64,
}

impl LoadPlan {
    /// Time during which requests start.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// Time after which a caller abandons a request.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Indices of the templates that a customer sends.
    pub fn template_indices(&self, load: &CustomerLoad) -> Vec<usize> {
        let is_used = |request: &RequestTemplate| {
            load.services.is_empty() || load.services.contains(&request.service)
        };
        (0..self.requests.len()).filter(|index| is_used(&self.requests[*index])).collect()
    }
}

impl CustomerLoad {
    /// Mean rate of requests at a time in seconds since the start of the run, surges included.
    pub fn requests_per_second_at(&self, seconds: f64) -> f64 {
        let surge = self.surges.iter().find(|surge| (surge.from_s..surge.to_s).contains(&seconds));
        self.requests_per_second * surge.map_or(1.0, |surge| surge.factor)
    }
}

fn default_timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

fn default_max_requests() -> usize {
    DEFAULT_MAX_REQUESTS
}

fn default_max_in_flight() -> usize {
    DEFAULT_MAX_IN_FLIGHT
}

fn default_method() -> Box<str> {
    "GET".into()
}

fn default_weight() -> f64 {
    1.0
}
