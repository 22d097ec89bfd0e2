//! Warm ramp.

use std::time::Duration;
use std::time::Instant;

const COLD_SLOT_SHARE: f64 = 0.2;

/// Ramp of a target that starts cold: few slots at first, all of them after its warm-up time in use.
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
    /// A target that is warm already.
    pub fn warm(warm_up: Duration) -> Self {
        Self { warm_up, state: RampState::Warm }
    }

    /// A target that nobody has used yet.
    pub fn cold(warm_up: Duration) -> Self {
        Self { warm_up, state: RampState::Cold }
    }

    /// Puts a warm-up time in force from the next start on.
    pub fn set_warm_up(&mut self, warm_up: Duration) {
        self.warm_up = warm_up;
    }

    /// The target lost what made it warm.
    pub fn reset_to_cold(&mut self) {
        self.state = RampState::Cold;
    }

    /// The target runs a request.
    pub fn record_use(&mut self, now: Instant) {
        self.state = match self.state {
            RampState::Cold => RampState::Warming { since: now },
            RampState::Warming { since } if now >= since + self.warm_up => RampState::Warm,
            state => state,
        };
    }

    /// Share of its slots that may be filled, above 0 to 1.
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
