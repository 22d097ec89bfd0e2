//! A clock that counts while the machine stands still.

use std::time::Duration;
use std::time::Instant;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A clock that counts while the machine stands still, as the steady clock does not. Tokens that were lent for a second must
/// not be spent after a machine was suspended for a minute.
#[derive(Clone, Copy, Debug)]
pub struct BoottimeClock {
    started_at: Instant,
    boot_time_at_start: Duration,
}

impl BoottimeClock {
    /// A clock that agrees with the steady one now.
    pub fn start() -> Self {
        Self { started_at: Instant::now(), boot_time_at_start: time_since_boot() }
    }

    /// The moment now, later than the steady clock's by all standstills since the start.
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
