//! Number of requests from which a target turns further ones away, as learned from its refusals.

use std::time::Duration;
use std::time::Instant;

/// Time after which a learned number no longer holds. Targets state it nowhere, and one that restarts or recovers may take more.
const LIMIT_LIFE: Duration = Duration::from_secs(10);

/// Largest number of requests that a target runs and queues, as far as its refusals tell.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueLimit {
    /// Requests on the target when it turned one away, and when that was.
    refused: Option<(f64, Instant)>,
}

impl QueueLimit {
    /// Records that the target turned a request away while `load` others were on it.
    pub fn record_refusal(&mut self, load: f64, now: Instant) {
        let load = self.places(now).map_or(load, |places| places.min(load));
        self.refused = Some((load, now));
    }

    /// Records that the target has `load` requests.
    pub fn record_load(&mut self, load: f64) {
        if let Some((places, _)) = &mut self.refused {
            *places = places.max(load);
        }
    }

    /// Returns the largest number of requests that the target takes; `None` while it is not known.
    pub fn places(&self, now: Instant) -> Option<f64> {
        let (places, refused_at) = self.refused?;
        let is_recent = now.saturating_duration_since(refused_at) < LIMIT_LIFE;
        is_recent.then_some(places)
    }
}
