//! Counters and latency histograms of an entry host, in the OpenMetrics text format.

use std::borrow::Cow;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use coordination::admission_bounds::ConnectionRole;
use coordination::admission_budget::AdmissionBudget;
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

/// Number of distinct route and outcome names used as label values, which bounds the series of a configuration with hundreds
/// of routes.
const MAX_LABEL_VALUES: usize = 64;
/// Label value that stands for all names beyond [`MAX_LABEL_VALUES`].
const OTHER_LABEL: &str = "other";
/// Upper bound of the first histogram bucket and the number of buckets: 5 ms to 20 s, each bound twice the last.
const FIRST_BUCKET_SECONDS: f64 = 0.005;
const BUCKET_COUNT: u16 = 13;

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
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RoleLabels {
    role: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PartLabels {
    part: &'static str,
    result: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct EntryLabels {
    part: &'static str,
}

/// Counters and latency histograms of an entry host, which any thread may update.
pub struct EntryMetrics {
    registry: Registry,
    requests: Family<RouteLabels, Counter>,
    request_seconds: Histogram,
    wait_seconds: Histogram,
    sent: Counter,
    repeated: Counter,
    store_calls: Family<PartLabels, Counter>,
    unreadable_entries: Family<EntryLabels, Counter>,
    token_asks: Family<SourceLabels, Counter>,
    dropped_lines: Gauge<u64, AtomicU64>,
    hosts: Gauge<u64, AtomicU64>,
    targets: Gauge<u64, AtomicU64>,
    limited_targets: Gauge<u64, AtomicU64>,
    paused_targets: Gauge<u64, AtomicU64>,
    failing_targets: Gauge<u64, AtomicU64>,
    crashing_requests: Gauge<u64, AtomicU64>,
    reaches_targets: Gauge<u64, AtomicU64>,
    buffered_upload_bytes: Gauge<u64, AtomicU64>,
    over_budget: Family<ReasonLabels, Counter>,
    connections: Family<RoleLabels, Gauge<u64, AtomicU64>>,
    budget_bytes: Gauge<u64, AtomicU64>,
    ready: Gauge<u64, AtomicU64>,
    label_values: Mutex<IndexSet<Box<str>>>,
}

/// Figures of one finished request, as [`EntryMetrics::count_request`] takes them.
#[derive(Clone, Copy, Debug)]
pub struct RequestSample<'a> {
    /// Name of the request's route.
    pub route: &'a str,
    /// `answered`, or the reason why the request was refused.
    pub outcome: &'a str,
    /// Time from the arrival of the request to its end.
    pub took: Duration,
    /// Expected wait at the target that was chosen last.
    pub wait: Duration,
    /// Number of times that the request was sent to a target; 0 leaves the wait uncounted.
    pub sent: u64,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT));
        let mut metrics = Self {
            registry: Registry::with_prefix("buckthornturn"),
            requests: Family::default(),
            request_seconds: histogram(),
            wait_seconds: histogram(),
            sent: Counter::default(),
            repeated: Counter::default(),
            store_calls: Family::default(),
            unreadable_entries: Family::default(),
            token_asks: Family::default(),
            dropped_lines: Gauge::default(),
            hosts: Gauge::default(),
            targets: Gauge::default(),
            limited_targets: Gauge::default(),
            paused_targets: Gauge::default(),
            failing_targets: Gauge::default(),
            crashing_requests: Gauge::default(),
            reaches_targets: Gauge::default(),
            buffered_upload_bytes: Gauge::default(),
            over_budget: Family::default(),
            connections: Family::default(),
            budget_bytes: Gauge::default(),
            ready: Gauge::default(),
            label_values: Mutex::default(),
        };
        metrics.register();
        metrics
    }
}

impl EntryMetrics {
    /// Counts a finished request and observes its latency.
    pub fn count_request(&self, sample: &RequestSample<'_>) {
        let labels = RouteLabels {
            route: Cow::Owned(self.bounded_label(sample.route).into()),
            outcome: Cow::Owned(self.bounded_label(sample.outcome).into()),
        };
        self.requests.get_or_create(&labels).inc();
        self.request_seconds.observe(sample.took.as_secs_f64());
        if sample.sent > 0 {
            self.wait_seconds.observe(sample.wait.as_secs_f64());
            self.sent.inc_by(sample.sent);
            self.repeated.inc_by(sample.sent - 1);
        }
    }

    /// Counts a call for a part of the state by whether it was answered.
    pub fn count_store_call(&self, part: &'static str, is_answered: bool) {
        let result = if is_answered { "answered" } else { "failed" };
        self.store_calls.get_or_create(&PartLabels { part, result }).inc();
    }

    /// Counts entries that cannot be decoded, each of their versions once, by the part of the state or the message they are in.
    pub fn count_unreadable(&self, part: &'static str, count: u64) {
        if count > 0 {
            self.unreadable_entries.get_or_create(&EntryLabels { part }).inc_by(count);
        }
    }

    /// Counts a token request to a keeper by the source that the token then came from.
    pub fn count_token_request(&self, source: &'static str) {
        self.token_asks.get_or_create(&SourceLabels { source }).inc();
    }

    /// Sets the gauges to the values of now and encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn encode_text(&self, state: &EntryState) -> Result<String, std::fmt::Error> {
        self.dropped_lines.set(ProcessLog::dropped_lines());
        self.ready.set(u64::from(state.is_ready()));
        let (hosts, targets) = state.host_and_target_counts();
        self.hosts.set(hosts);
        self.targets.set(targets);
        self.buffered_upload_bytes.set(state.buffers().used_bytes() as u64);
        self.set_budget_metrics(state.gate().budget());
        let core = state.lock();
        self.limited_targets.set(core.board.limited_targets() as u64);
        self.paused_targets.set(core.board.paused_targets(Instant::now()) as u64);
        self.failing_targets.set(core.board.failing_targets(Instant::now()) as u64);
        self.crashing_requests.set(core.crashes.refused_requests() as u64);
        self.reaches_targets.set(u64::from(!core.reach.is_lost()));
        drop(core);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn set_budget_metrics(&self, budget: &AdmissionBudget) {
        let counts = budget.counts();
        let reasons = [
            ("evicted-for-connections", counts.evicted_for_connections),
            ("evicted-for-bytes", counts.evicted_for_bytes),
            ("refused-all-busy", counts.refused_all_busy),
            ("refused-still-closing", counts.refused_still_closing),
            ("refused-bytes", counts.refused_bytes),
        ];
        for (reason, count) in reasons {
            let counter = self.over_budget.get_or_create(&ReasonLabels { reason });
            counter.inner().store(count, Ordering::Relaxed);
        }
        for role in ConnectionRole::ALL {
            let gauge = self.connections.get_or_create(&RoleLabels { role: role.name() });
            gauge.set(budget.open_connections(role) as u64);
        }
        self.budget_bytes.set(budget.used_bytes() as u64);
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
        let unreadable = "Versions of entries that cannot be decoded, by where they were read";
        registry.register("unreadable_entries", unreadable, self.unreadable_entries.clone());
        let asks = "Questions for customers' tokens by where the token came from";
        registry.register("token_asks", asks, self.token_asks.clone());
        let dropped = "Log lines dropped since the start";
        registry.register("dropped_log_lines", dropped, self.dropped_lines.clone());
        registry.register("live_hosts", "Other hosts heard lately", self.hosts.clone());
        registry.register("known_targets", "Targets known", self.targets.clone());
        let limited = "Targets that state a limit over the requests of all hosts";
        registry.register("limited_targets", limited, self.limited_targets.clone());
        let paused = "Targets that get no requests of this host because they asked for a pause";
        registry.register("paused_targets", paused, self.paused_targets.clone());
        let failing = "Targets avoided because they fail requests of this host or of others";
        registry.register("failing_targets", failing, self.failing_targets.clone());
        let refused = "Requests that crashed several targets and are refused";
        registry.register("crashing_requests", refused, self.crashing_requests.clone());
        let reaches = "Whether this host can open connections to targets";
        registry.register("reaches_targets", reaches, self.reaches_targets.clone());
        let buffered = "Bytes of large request bodies that are kept for a retry";
        registry.register("buffered_upload_bytes", buffered, self.buffered_upload_bytes.clone());
        let over = "Connections and buffers over the budget of the process, by reason";
        registry.register("over_budget", over, self.over_budget.clone());
        let open = "Open connections by role";
        registry.register("connections", open, self.connections.clone());
        let bytes = "Bytes of all buffers that draw on the budget of the process";
        registry.register("budget_bytes", bytes, self.budget_bytes.clone());
        registry.register("ready", "Whether new callers are taken", self.ready.clone());
    }

    fn bounded_label<'a>(&self, name: &'a str) -> &'a str {
        let mut label_values = self.label_values.lock().unwrap_or_else(PoisonError::into_inner);
        match label_values.contains(name) || label_values.len() < MAX_LABEL_VALUES {
            true => {
                label_values.insert(name.into());
                name
            }
            false => OTHER_LABEL,
        }
    }
}
