//! What a target that asks hosts for a pause counts: requests of each host within a pause that it was told of.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Time after the answer that asks for a pause from which the host's requests count.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Requests that a target received, and the pauses that it asked for, by sender.
#[derive(Clone, Debug, Default)]
pub struct PauseLedger {
    senders: IndexMap<Box<str>, SenderPauses>,
}

#[derive(Clone, Debug, Default)]
struct SenderPauses {
    pauses: Vec<(Instant, Duration)>,
    arrivals: Vec<Instant>,
}

/// The pause within which most requests came.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BusiestPause {
    /// Requests of the host that was asked for the pause.
    pub requests: usize,
    /// Number of pauses that were checked.
    pub checks: usize,
}

impl PauseLedger {
    /// Records a request of a host.
    pub fn record_arrival(&mut self, sender: &str, now: Instant) {
        self.senders.entry(sender.into()).or_default().arrivals.push(now);
    }

    /// Records that a host was asked for a pause.
    pub fn record_pause(&mut self, sender: &str, pause: Duration, now: Instant) {
        self.senders.entry(sender.into()).or_default().pauses.push((now, pause));
    }

    /// Returns the pause within which a host sent most requests.
    pub fn busiest_pause(&self) -> BusiestPause {
        let counts = self.senders.values().flat_map(SenderPauses::request_counts);
        counts.fold(BusiestPause::default(), |busiest, requests| BusiestPause {
            requests: busiest.requests.max(requests),
            checks: busiest.checks + 1,
        })
    }
}

impl SenderPauses {
    fn request_counts(&self) -> impl Iterator<Item = usize> {
        self.pauses.iter().map(|(at, pause)| {
            let is_within =
                |arrival: &&Instant| **arrival > *at + NOTICE_TIME && **arrival < *at + *pause;
            self.arrivals.iter().filter(is_within).count()
        })
    }
}
