//! Slow start of targets that are cold.

use std::time::Duration;
use std::time::Instant;

const COLD_SLOT_SHARE: f64 = 0.2;

/// Slow start of a target: a cold target gets `COLD_SLOT_SHARE` of its slots, and all of them after it has been in use
/// for its warm-up time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmRamp {
    warm_up: Duration,
    state: RampState,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum RampState {
    Warm,
    Cold,
    Warming { since: Instant },
}

impl WarmRamp {
    /// Creates the ramp of a target that may use all of its slots at once.
    pub fn warm(warm_up: Duration) -> Self {
        Self { warm_up, state: RampState::Warm }
    }

    /// Creates the ramp of a target that has not been used yet.
    pub fn cold(warm_up: Duration) -> Self {
        Self { warm_up, state: RampState::Cold }
    }

    /// Changes the warm-up time, which also applies to a warm-up in progress.
    pub fn set_warm_up(&mut self, warm_up: Duration) {
        self.warm_up = warm_up;
    }

    /// Marks the target as cold, for instance after a restart.
    pub fn reset_to_cold(&mut self) {
        self.state = RampState::Cold;
    }

    /// Records that the target got a request. The first one starts the warm-up, one after the warm-up time ends it.
    pub fn record_use(&mut self, now: Instant) {
        self.state = match self.state {
            RampState::Cold => RampState::Warming { since: now },
            RampState::Warming { since } if now >= since + self.warm_up => RampState::Warm,
            state => state,
        };
    }

    /// Share of the target's slots that may be record_use, above 0 to 1; `COLD_SLOT_SHARE` while it is cold.
    pub fn usable_share(&self, now: Instant) -> f64 {
        match self.state {
            RampState::Warm => 1.0,
            RampState::Cold => COLD_SLOT_SHARE,
            RampState::Warming { since } => {
                let elapsed = now.saturating_duration_since(since).as_secs_f64();
                let fraction = elapsed / self.warm_up.as_secs_f64().max(f64::MIN_POSITIVE);
                (COLD_SLOT_SHARE + (1.0 - COLD_SLOT_SHARE) * fraction).min(1.0)
            }
        }
    }
}
