//! Guard that counts one attempt at a target as in flight until the attempt ends.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::AttemptEnd;
use coordination::fleet::PlacementChoice;
use coordination::fleet::TargetLoad;
use coordination::ids::RouteId;

use crate::entry::EntryState;

/// One attempt at a target, counted as in flight while this value lives. An attempt that is dropped without
/// [`finish`](Self::finish), for example because the caller disconnected, is reported as abandoned.
pub struct AttemptGuard {
    state: Arc<EntryState>,
    choice: PlacementChoice,
    route: RouteId,
    started_at: Instant,
    is_over: bool,
}

impl AttemptGuard {
    /// Starts the clock of an attempt at the chosen target. The target board must have counted the choice already.
    pub fn new(state: Arc<EntryState>, choice: PlacementChoice, route: RouteId) -> Self {
        Self { state, choice, route, started_at: Instant::now(), is_over: false }
    }

    /// Target that the attempt goes to, with the load estimates it was chosen by.
    pub fn choice(&self) -> &PlacementChoice {
        &self.choice
    }

    /// Time since the attempt started.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Reports the end of the attempt, and the load that the target stated in its answer, if any. Only the first call
    /// counts.
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
