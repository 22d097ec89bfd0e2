//! How the latest calls of a host to the store ended, for one part of the state.

use std::time::Duration;
use std::time::Instant;

/// Time after a failed call for which a host leaves the store to others, if others reach it.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Result of the latest calls to the store. A host that reads through a relay makes none.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    failed_at: Option<Instant>,
    is_following: bool,
}

impl StoreContact {
    /// Records that the store answered a call.
    pub fn record_answer(&mut self) {
        *self = Self { failed_at: None, is_following: true };
    }

    /// Records that a call to the store failed.
    pub fn record_failure(&mut self, now: Instant) {
        *self = Self { failed_at: Some(now), is_following: false };
    }

    /// Records that the part is read through a relay now.
    pub fn record_relayed(&mut self) {
        self.is_following = false;
    }

    /// Returns whether the latest call was answered or none was made. Other hosts take this one for a relay only then.
    pub fn reaches_store(&self) -> bool {
        self.failed_at.is_none()
    }

    /// Returns whether the host may call the store, to find out whether it reaches it again.
    pub fn may_try(&self, now: Instant) -> bool {
        self.failed_at.is_none_or(|at| now.saturating_duration_since(at) > RETRY_DELAY)
    }

    /// Returns whether the host follows the store itself and the latest call was answered.
    pub fn follows_store(&self) -> bool {
        self.is_following
    }

    /// Returns whether other hosts may wait here for changes.
    pub fn serves_watches(&self) -> bool {
        self.is_following
    }
}
