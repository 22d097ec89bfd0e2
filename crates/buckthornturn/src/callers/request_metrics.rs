//! StatsD metrics of callers' requests.

use std::net::UdpSocket;
use std::time::Duration;

use cadence::CountedExt;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;

use crate::settings::MetricsSettings;

const METRIC_PREFIX: &str = "buckthornturn.request";
const MAX_QUEUED_METRICS: usize = 4_096;

/// Sends the durations and results of requests to StatsD; without a client it sends nothing.
#[derive(Default)]
pub struct RequestMetrics {
    client: Option<StatsdClient>,
}

impl RequestMetrics {
    /// Opens the StatsD client. Without settings, or if the socket cannot be opened, no metrics are sent.
    pub fn new(settings: Option<&MetricsSettings>) -> Self {
        Self { client: settings.and_then(open_client) }
    }

    /// Records the time spent in a stage: `queue`, `connect`, `first_byte` or `total`.
    pub fn record_time(&self, stage: &str, time: Duration) {
        if let Some(client) = &self.client {
            let _ = client.time(stage, time);
        }
    }

    /// Counts the end of a request: `answered`, or the reason of the refusal.
    pub fn count_end(&self, end: &str) {
        if let Some(client) = &self.client {
            let _ = client.incr(end);
        }
    }
}

fn open_client(settings: &MetricsSettings) -> Option<StatsdClient> {
    let local_address = if settings.statsd.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(local_address).ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(settings.statsd, socket).ok()?;
    let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
    Some(StatsdClient::from_sink(METRIC_PREFIX, sink))
}
