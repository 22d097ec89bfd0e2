//! Detects that the process was paused.

use std::time::Duration;
use std::time::Instant;

/// Detects a pause of the process by the gap between two checks. After a gap that is too long the process counts as
/// paused until the caller has confirmed that no other host took over its floors in the meantime.
#[derive(Clone, Debug)]
pub struct PauseCheck {
    max_gap: Duration,
    last_checked_at: Instant,
    is_paused: bool,
}

impl PauseCheck {
    /// Creates a check that reports a pause if two checks are more than `max_gap` apart.
    pub fn new(max_gap: Duration, now: Instant) -> Self {
        Self { max_gap, last_checked_at: now, is_paused: false }
    }

    /// Performs a check and returns whether the process counts as paused. Must be called more often than
    /// once in `max_gap`.
    pub fn check(&mut self, now: Instant) -> bool {
        self.is_paused |= now.saturating_duration_since(self.last_checked_at) > self.max_gap;
        self.last_checked_at = self.last_checked_at.max(now);
        self.is_paused
    }

    /// Ends the paused state once the confirmation is there.
    pub fn resume(&mut self) {
        self.is_paused = false;
    }
}
