//! Shared record of how current the state of keys is on this host.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;

use crate::interface::KeyFreshness;

/// The latest confirmation that this host has every accepted change of keys. Clones share it. It is written
/// when the store or other hosts confirm the state, and read for each request.
#[derive(Clone, Debug, Default)]
pub struct FreshnessCell {
    latest: Arc<ArcSwapOption<Confirmation>>,
}

#[derive(Debug)]
struct Confirmation {
    confirmed_at: Instant,
    source: Box<str>,
}

impl FreshnessCell {
    /// Records that the state of keys was current at `confirmed_at`. A confirmation no later than the latest is ignored.
    pub fn record_confirmation(&self, confirmed_at: Instant, source: &str) {
        let confirmation = Arc::new(Confirmation { confirmed_at, source: source.into() });
        self.latest.rcu(|known| match known {
            Some(known) if known.confirmed_at >= confirmed_at => Some(Arc::clone(known)),
            _ => Some(Arc::clone(&confirmation)),
        });
    }

    /// Returns the age of the latest confirmation without allocating; `None` if there was none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let latest = self.latest.load();
        latest.as_ref().map(|confirmation| now.saturating_duration_since(confirmation.confirmed_at))
    }

    /// Returns age and source of the latest confirmation.
    pub fn freshness(&self, now: Instant) -> KeyFreshness {
        let latest = self.latest.load();
        let source = latest.as_ref().map_or("none", |confirmation| &confirmation.source);
        KeyFreshness { age: self.age(now), source: source.into() }
    }
}
