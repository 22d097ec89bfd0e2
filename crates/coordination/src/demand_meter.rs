//! Estimates demand in units a second.

use std::time::Duration;
use std::time::Instant;

/// Length of a measurement window; the average halves its weight with each one.
const WINDOW: Duration = Duration::from_millis(500);
const WINDOWS_PER_SECOND: u64 = 2;
/// Windows without a call that are averaged one by one; a longer gap is skipped.
const MAX_IDLE_WINDOWS: u32 = 32;

/// Exponentially weighted moving average of demand, in units a second.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    window_start: Instant,
    window_amount: u64,
    average_per_second: u64,
}

impl DemandMeter {
    /// Creates a meter with a demand of 0 whose first window starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self { window_start: now, window_amount: 0, average_per_second: 0 }
    }

    /// Adds a demand of `amount` units to the current window.
    pub fn count(&mut self, amount: u64, now: Instant) {
        self.close_elapsed_windows(now);
        self.window_amount = self.window_amount.saturating_add(amount);
    }

    /// Demand now, in units a second: the average, or what the current window has counted so far if that is higher.
    pub fn per_second(&mut self, now: Instant) -> u64 {
        self.close_elapsed_windows(now);
        self.average_per_second.max(self.window_amount)
    }

    fn close_elapsed_windows(&mut self, now: Instant) {
        let mut windows = 0;
        while now.saturating_duration_since(self.window_start) >= WINDOW {
            let current = self.window_amount.saturating_mul(WINDOWS_PER_SECOND);
            self.average_per_second = self.average_per_second / 2 + current / 2;
            self.window_amount = 0;
            self.window_start += WINDOW;
            windows += 1;
            if windows == MAX_IDLE_WINDOWS {
                self.window_start = now;
            }
        }
    }
}
