//! Notices that the process was paused.

use std::time::Duration;
use std::time::Instant;

/// Notices gaps between checks. After a gap beyond the bound the process counts as paused until it is confirmed that
/// nothing was taken over from it meanwhile.
#[derive(Clone, Debug)]
pub struct PauseCheck {
    max_gap: Duration,
    last_checked_at: Instant,
    is_paused: bool,
}

impl PauseCheck {
    /// A check that starts now.
    pub fn new(max_gap: Duration, now: Instant) -> Self {
        Self { max_gap, last_checked_at: now, is_paused: false }
    }

    /// Checks; returns whether the process counts as paused.
    pub fn check(&mut self, now: Instant) -> bool {
        self.is_paused |= now.saturating_duration_since(self.last_checked_at) > self.max_gap;
        self.last_checked_at = self.last_checked_at.max(now);
        self.is_paused
    }

    /// Ends the pause.
    pub fn resume(&mut self) {
        self.is_paused = false;
    }
}
