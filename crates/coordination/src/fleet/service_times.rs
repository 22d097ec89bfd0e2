//! Moving averages of how long targets work on requests of a route.

use std::time::Duration;

use crate::fleet::estimate_error::EstimateError;

/// Weight of the latest measurement in an average of at least `EARLY_COUNT` measurements.
const MEASUREMENT_WEIGHT: f64 = 0.05;
/// Weight of the latest measurement while there are fewer than `EARLY_COUNT`.
const EARLY_WEIGHT: f64 = 0.3;
const EARLY_COUNT: u32 = 10;
/// Service time of a warm object assumed before any measurement, as a share of that of a cold one.
const ASSUMED_WARM_SHARE: f64 = 0.5;
/// Share of warm objects assumed among requests of unclear warmth while no other measurement exists.
const ASSUMED_WARM_LIKELIHOOD: f64 = 0.7;

/// What is known before an answer about whether the target holds the request's object warm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectWarmth {
    /// This host sent the target a request for the object recently.
    Known,
    /// The target is the object's home, to which other hosts send requests for it.
    Likely,
    /// Nobody is known to send requests for the object there.
    Unlikely,
}

/// Moving averages of the service time of one route, kept apart for warm and cold objects.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimes {
    warm: MovingAverage,
    cold: MovingAverage,
    /// Measurements of unclear warmth, made before the other averages existed.
    unclear: MovingAverage,
    error: EstimateError,
}

#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    seconds: f64,
    count: u32,
}

impl ServiceTimes {
    /// Adds a measured service time, without waits, of a target that takes `slowdown` times as long as the average one.
    /// Returns whether the object was warm; `None` if that cannot be told yet.
    ///
    /// The warmth known beforehand decides only until one of the averages exists. After that the time goes to the
    /// nearer average, because a host that starts late measures warm objects long before its first cold one.
    pub fn record(&mut self, time: Duration, warmth: ObjectWarmth, slowdown: f64) -> Option<bool> {
        let seconds = time.as_secs_f64() / slowdown.max(f64::MIN_POSITIVE);
        let is_warm = match (self.warm.value().or(self.cold.value()), warmth) {
            (Some(_), _) => {
                let (warm, cold) = self.averages(seconds);
                seconds < (warm + cold) / 2.0
            }
            (None, ObjectWarmth::Known) => true,
            (None, ObjectWarmth::Unlikely) => false,
            (None, ObjectWarmth::Likely) => {
                self.unclear.add(seconds);
                return None;
            }
        };
        if is_warm {
            self.warm.add(seconds);
        } else {
            self.cold.add(seconds);
        }
        Some(is_warm)
    }

    /// Returns the expected service time in seconds for an object that is warm with the given likelihood, 0 to 1. Before any
    /// measurement `assumed_seconds` is taken for an object that is not warm.
    pub fn expected_seconds(&self, warm_likelihood: f64, assumed_seconds: f64) -> f64 {
        let (warm, cold) = self.averages(assumed_seconds);
        warm_likelihood * warm + (1.0 - warm_likelihood) * cold
    }

    /// Records the whole time until an answer, wait included, and the time that was expected.
    pub fn record_total(&mut self, time: Duration, expected_time: Duration) {
        self.error.record(time.as_secs_f64(), expected_time.as_secs_f64());
    }

    /// Returns the seconds by which an answer may come later than expected.
    pub fn margin_seconds(&self) -> f64 {
        self.error.margin()
    }

    /// Returns the expected service time in seconds for an object that is warm with the given likelihood, 0 to 1; `None` before
    /// any measurement.
    pub fn measured_seconds(&self, warm_likelihood: f64) -> Option<f64> {
        let is_measured = self.warm.count + self.cold.count + self.unclear.count > 0;
        is_measured.then(|| self.expected_seconds(warm_likelihood, 0.0))
    }

    /// Returns the averages for warm and cold objects. One without measurements is derived from the other, and both from
    /// `assumed_cold` if nothing was measured.
    fn averages(&self, assumed_cold: f64) -> (f64, f64) {
        match (self.warm.value(), self.cold.value(), self.unclear.value()) {
            (Some(warm), Some(cold), _) => (warm.min(cold), cold),
            (Some(warm), None, _) => (warm, warm / ASSUMED_WARM_SHARE),
            (None, Some(cold), _) => (cold * ASSUMED_WARM_SHARE, cold),
            (None, None, Some(mean)) => {
                let cold = mean / (1.0 - ASSUMED_WARM_LIKELIHOOD * (1.0 - ASSUMED_WARM_SHARE));
                (cold * ASSUMED_WARM_SHARE, cold)
            }
            (None, None, None) => (assumed_cold * ASSUMED_WARM_SHARE, assumed_cold),
        }
    }
}

impl MovingAverage {
    fn value(&self) -> Option<f64> {
        (self.count > 0).then_some(self.seconds)
    }

    fn add(&mut self, seconds: f64) {
        let weight = match self.count {
            0 => 1.0,
            count if count < EARLY_COUNT => EARLY_WEIGHT,
            _ => MEASUREMENT_WEIGHT,
        };
        self.seconds += weight * (seconds - self.seconds);
        self.count = self.count.saturating_add(1);
    }
}
