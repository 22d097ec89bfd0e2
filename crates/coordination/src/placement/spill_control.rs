//! Spill control.

use std::time::Duration;
use std::time::Instant;

const LOAD_DEAD_BAND: f64 = 0.1;
const GAIN_PER_LAG: f64 = 0.3;
const MAX_SPILL_SHARE: f64 = 0.9;
const MIN_LAG: Duration = Duration::from_millis(200);

/// Loads as they were measured, 1 being full.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillSample {
    /// Load of the own failure domain.
    pub own_load: f64,
    /// Load of those that would take the rest.
    pub other_load: f64,
    /// Time from a decision until it shows in the measurement.
    pub lag: Duration,
}

/// Share of requests that go to another failure domain although the own one has room.
///
/// It follows the difference of the loads slowly enough for the measurement's lag: in one lag it makes up less than
/// 1/e of the difference, below which a delayed integrator does not overshoot. Differences inside a dead band move
/// nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpillControl {
    share: f64,
    updated_at: Option<Instant>,
}

impl SpillControl {
    /// Share now.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Takes a measurement.
    pub fn update(&mut self, sample: SpillSample, now: Instant) {
        let elapsed = match self.updated_at.replace(now) {
            Some(before) => now.saturating_duration_since(before),
            None => Duration::ZERO,
        };
        let lag = sample.lag.max(MIN_LAG).as_secs_f64();
        let load_difference = sample.own_load - sample.other_load;
        let excess = match load_difference.abs() {
            size if size.is_finite() => (size - LOAD_DEAD_BAND).clamp(0.0, 1.0),
            _ => 0.0,
        };
        let lag_fraction = (elapsed.as_secs_f64() / lag).min(1.0);
        let step = GAIN_PER_LAG * lag_fraction * excess * load_difference.signum();
        self.share = (self.share + step).clamp(0.0, MAX_SPILL_SHARE);
    }
}
