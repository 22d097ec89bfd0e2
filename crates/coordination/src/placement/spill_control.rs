//! Feedback control of the share of requests that spill to other failure domains.

use std::time::Duration;
use std::time::Instant;

const LOAD_DEAD_BAND: f64 = 0.1;
const GAIN_PER_LAG: f64 = 0.3;
const MAX_SPILL_SHARE: f64 = 0.9;
const MIN_LAG: Duration = Duration::from_millis(200);

/// One measurement of loads, in requests in flight per slot; 1 is full.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillSample {
    /// Load of this host's own failure domain.
    pub own_load: f64,
    /// Load of the failure domains that would take the spill.
    pub other_load: f64,
    /// Delay until a change of the share shows in the measurement.
    pub lag: Duration,
}

/// Share of requests that go to another failure domain even if this host's own has room.
///
/// An integral controller on the difference of the loads. In one lag it corrects less than 1/e of the difference, the
/// limit below which an integrator with a delay does not overshoot. Differences within a dead band change nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpillControl {
    share: f64,
    updated_at: Option<Instant>,
}

impl SpillControl {
    /// Share of requests to spill, from 0 to `MAX_SPILL_SHARE`.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Adjusts the share by a measurement. The first call only starts the clock.
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
