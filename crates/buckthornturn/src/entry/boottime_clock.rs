//! A monotonic clock that also advances while the machine is suspended.

use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A monotonic clock that also advances while the machine is suspended, which [`Instant`] does not. Quota tokens that were
/// lent for a second must not be spent after the machine was suspended for a minute.
#[derive(Clone, Copy, Debug)]
pub struct BoottimeClock {
    started_at: Instant,
    boot_time_at_start: Duration,
}

impl BoottimeClock {
    /// Creates a clock that agrees with [`Instant::now`] at this moment.
    pub fn start() -> Self {
        Self { started_at: Instant::now(), boot_time_at_start: time_since_boot() }
    }

    /// The current moment: [`Instant::now`] plus the time that the machine was suspended since the start.
    pub fn now(&self) -> Instant {
        self.at(time_since_boot())
    }

    fn at(&self, since_boot: Duration) -> Instant {
        self.started_at + since_boot.saturating_sub(self.boot_time_at_start)
    }
}

fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

#[cfg(test)]
#[path = "boottime_clock_tests.rs"]
mod tests;
