//! One attempt at a target, counted as in flight until its end.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::AttemptEnd;
use coordination::fleet::PlacementChoice;
use coordination::fleet::TargetLoad;
use coordination::ids::RouteId;

use crate::entry::EntryState;

/// One attempt at a target. Dropped without an end, as when the caller leaves, it counts as abandoned.
pub struct AttemptGuard {
    state: Arc<EntryState>,
    choice: PlacementChoice,
    route: RouteId,
    started_at: Instant,
    is_over: bool,
}

impl AttemptGuard {
    /// An attempt that starts now.
    pub fn new(state: Arc<EntryState>, choice: PlacementChoice, route: RouteId) -> Self {
        Self { state, choice, route, started_at: Instant::now(), is_over: false }
    }

    /// Where it goes.
    pub fn choice(&self) -> &PlacementChoice {
        &self.choice
    }

    /// Time since it started.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Ends it.
    pub fn finish(&mut self, end: AttemptEnd, load: Option<TargetLoad>) {
        if !self.is_over {
            self.is_over = true;
            let now = Instant::now();
            self.state.lock().board.record_end(&self.choice, &self.route, end, load, now);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.finish(AttemptEnd::Abandoned { time: self.elapsed() }, None);
    }
}
