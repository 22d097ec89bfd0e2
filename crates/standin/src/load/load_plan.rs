//! What the callers send.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

const DEFAULT_TIMEOUT_MS: u64 = 30_000;
const DEFAULT_MAX_REQUESTS: usize = 500_000;
const DEFAULT_MAX_IN_FLIGHT: usize = 512;

/// A load, bounded in count and time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Entry hosts that callers know at the start.
    pub entry_hosts: Vec<SocketAddr>,
    /// Targets, asked at the end what they executed.
    #[serde(default)]
    pub targets: Vec<SocketAddr>,
    /// Time during which requests start, in seconds.
    pub seconds: f64,
    /// Seed of arrivals and choices.
    #[serde(default)]
    pub seed: u64,
    /// Time after which a caller gives a request up, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Most requests of one customer in the whole run.
    #[serde(default = "default_max_requests")]
    pub max_requests_per_customer: usize,
    /// Most requests of one customer in flight; further ones are counted as not sent.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight_per_customer: usize,
    /// Kinds of requests.
    pub requests: Vec<RequestTemplate>,
    /// Customers.
    pub customers: Vec<CustomerLoad>,
}

/// One kind of request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestTemplate {
    /// Name in the report.
    pub name: Box<str>,
    /// Service, for the look-up.
    pub service: Box<str>,
    /// `Host` header.
    pub host: Box<str>,
    /// Method.
    #[serde(default = "default_method")]
    pub method: Box<str>,
    /// Path with query; a path ending in `/bytes/N` asks for N bytes.
    pub path: Box<str>,
    /// Bytes of the body that is sent.
    #[serde(default)]
    pub body_bytes: u64,
    /// Pause before each piece of the body that is sent, in milliseconds.
    #[serde(default)]
    pub body_pause_ms: u64,
    /// Whether it must run at most once, so that a ticket is fetched first.
    #[serde(default)]
    pub once: bool,
    /// Whether it is sent without a key.
    #[serde(default)]
    pub open: bool,
    /// Whether it is large, so that its latency is kept apart from the customer's.
    #[serde(default)]
    pub bulk: bool,
    /// Share of the customer's requests relative to the other kinds.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

/// What one customer's callers send.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerLoad {
    /// Customer.
    pub customer: Box<str>,
    /// Its key.
    pub key: Box<str>,
    /// Requests a second that are sent.
    pub requests_per_second: f64,
    /// Rate that it may have over all hosts together.
    pub rate_per_second: f64,
    /// Burst that it may have over all hosts together.
    pub burst: f64,
    /// Services it uses; every one if empty.
    #[serde(default)]
    pub services: Vec<Box<str>>,
    /// Times at which it sends several times as much.
    #[serde(default)]
    pub surges: Vec<CustomerSurge>,
}

/// A time at which a customer sends several times as much.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSurge {
    /// Start, in seconds of the run.
    pub from_s: f64,
    /// End, in seconds of the run.
    pub to_s: f64,
    /// Factor.
    pub factor: f64,
}

impl LoadPlan {
    /// Time during which requests start.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// Time after which a caller gives a request up.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Kinds of requests that a customer sends, by index.
    pub fn template_indices(&self, load: &CustomerLoad) -> Vec<usize> {
        let is_used = |request: &RequestTemplate| {
            load.services.is_empty() || load.services.contains(&request.service)
        };
        (0..self.requests.len()).filter(|index| is_used(&self.requests[*index])).collect()
    }
}

impl CustomerLoad {
    /// Requests a second at a moment of the run.
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
