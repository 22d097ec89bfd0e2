//! How fresh the state of keys is on this host.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwapOption;

use crate::interface::KeyFreshness;

/// The latest confirmation that no change of keys was accepted which this host does not have. It is published by
/// the part that follows the configuration and read on the path of each request.
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
    /// Takes a confirmation that was true at `at`; an earlier one than the known is ignored.
    pub fn record_confirmation(&self, confirmed_at: Instant, source: &str) {
        let confirmation = Arc::new(Confirmation { confirmed_at, source: source.into() });
        self.latest.rcu(|known| match known {
            Some(known) if known.confirmed_at >= confirmed_at => Some(Arc::clone(known)),
            _ => Some(Arc::clone(&confirmation)),
        });
    }

    /// Age of the confirmation now, without an allocation; `None` if there was none.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let latest = self.latest.load();
        latest.as_ref().map(|confirmation| now.saturating_duration_since(confirmation.confirmed_at))
    }

    /// Age and source of the confirmation now.
    pub fn freshness(&self, now: Instant) -> KeyFreshness {
        let latest = self.latest.load();
        let source = latest.as_ref().map_or("none", |confirmation| &confirmation.source);
        KeyFreshness { age: self.age(now), source: source.into() }
    }
}
