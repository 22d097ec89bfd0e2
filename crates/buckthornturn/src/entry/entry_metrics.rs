//! Counters and latency histograms of an entry host, in the text format that scrapers read.

use std::borrow::Cow;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use indexmap::IndexSet;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::entry::EntryState;
use crate::logging::ProcessLog;

/// Most routes and reasons told apart; a configuration may bring hundreds of routes.
const MAX_LABELS: usize = 64;
/// Label of all routes and reasons beyond that.
const OTHER_LABEL: &str = "other";
/// First bound of the histograms, in seconds, and their number: 5 ms to 20 s, each twice the last.
const FIRST_BOUND: f64 = 0.005;
const BOUNDS: u16 = 13;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RouteLabels {
    route: Cow<'static, str>,
    outcome: Cow<'static, str>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct SourceLabels {
    source: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PartLabels {
    part: &'static str,
    result: &'static str,
}

/// Counters and latency histograms of an entry host.
pub struct EntryMetrics {
    registry: Registry,
    requests: Family<RouteLabels, Counter>,
    request_seconds: Histogram,
    wait_seconds: Histogram,
    sent: Counter,
    repeated: Counter,
    store_calls: Family<PartLabels, Counter>,
    token_asks: Family<SourceLabels, Counter>,
    dropped_lines: Gauge<u64, AtomicU64>,
    hosts: Gauge<u64, AtomicU64>,
    targets: Gauge<u64, AtomicU64>,
    ready: Gauge<u64, AtomicU64>,
    labels: Mutex<IndexSet<Box<str>>>,
}

/// How a request went, as metrics count it.
#[derive(Clone, Copy, Debug)]
pub struct RequestCount<'a> {
    /// Route.
    pub route: &'a str,
    /// Status, or why it was not served.
    pub outcome: &'a str,
    /// Time from the caller's request to the end.
    pub took: Duration,
    /// Wait expected at the target chosen last.
    pub wait: Duration,
    /// Times that it was sent to a target.
    pub sent: u64,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BOUND, 2.0, BOUNDS));
        let mut metrics = Self {
            registry: Registry::with_prefix("buckthornturn"),
            requests: Family::default(),
            request_seconds: histogram(),
            wait_seconds: histogram(),
            sent: Counter::default(),
            repeated: Counter::default(),
            store_calls: Family::default(),
            token_asks: Family::default(),
            dropped_lines: Gauge::default(),
            hosts: Gauge::default(),
            targets: Gauge::default(),
            ready: Gauge::default(),
            labels: Mutex::default(),
        };
        metrics.register();
        metrics
    }
}

impl EntryMetrics {
    /// Counts a request that ended.
    pub fn request(&self, count: &RequestCount<'_>) {
        let labels = RouteLabels {
            route: Cow::Owned(self.label(count.route).into()),
            outcome: Cow::Owned(self.label(count.outcome).into()),
        };
        self.requests.get_or_create(&labels).inc();
        self.request_seconds.observe(count.took.as_secs_f64());
        if count.sent > 0 {
            self.wait_seconds.observe(count.wait.as_secs_f64());
            self.sent.inc_by(count.sent);
            self.repeated.inc_by(count.sent - 1);
        }
    }

    /// Counts a call to the store.
    pub fn store_call(&self, part: &'static str, is_answered: bool) {
        let result = if is_answered { "answered" } else { "failed" };
        self.store_calls.get_or_create(&PartLabels { part, result }).inc();
    }

    /// Counts a question to a keeper of tokens by where the token then came from.
    pub fn tokens(&self, source: &'static str) {
        self.token_asks.get_or_create(&SourceLabels { source }).inc();
    }

    /// All metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be written.
    pub fn text(&self, state: &EntryState) -> Result<String, std::fmt::Error> {
        self.dropped_lines.set(ProcessLog::dropped_lines());
        self.ready.set(u64::from(state.is_ready()));
        let (hosts, targets) = state.counts();
        self.hosts.set(hosts);
        self.targets.set(targets);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by route and outcome", self.requests.clone());
        let took = "Time from a caller's request to its end, in seconds";
        registry.register("request_seconds", took, self.request_seconds.clone());
        let wait = "Wait expected at the target chosen, in seconds";
        registry.register("wait_seconds", wait, self.wait_seconds.clone());
        registry.register("sent", "Requests sent to targets", self.sent.clone());
        registry.register("repeated", "Requests sent to a further target", self.repeated.clone());
        let calls = "Calls to the store by part of the state and result";
        registry.register("store_calls", calls, self.store_calls.clone());
        let asks = "Questions for customers' tokens by where the token came from";
        registry.register("token_asks", asks, self.token_asks.clone());
        let dropped = "Log lines dropped since the start";
        registry.register("dropped_log_lines", dropped, self.dropped_lines.clone());
        registry.register("live_hosts", "Other hosts heard lately", self.hosts.clone());
        registry.register("known_targets", "Targets known", self.targets.clone());
        registry.register("ready", "Whether new callers are taken", self.ready.clone());
    }

    fn label<'a>(&self, name: &'a str) -> &'a str {
        let mut labels = self.labels.lock().unwrap_or_else(PoisonError::into_inner);
        match labels.contains(name) || labels.len() < MAX_LABELS {
            true => {
                labels.insert(name.into());
                name
            }
            false => OTHER_LABEL,
        }
    }
}
