//! Moving averages of how long targets work on requests of a route.

use std::time::Duration;

/// Weight of the latest measurement in an average of at least `EARLY_COUNT` measurements.
const MEASUREMENT_WEIGHT: f64 = 0.05;
/// Weight of the latest measurement while there are fewer than `EARLY_COUNT`.
const EARLY_WEIGHT: f64 = 0.3;
const EARLY_COUNT: u32 = 10;
/// Service time assumed before any measurement, as a share of the route's latency objective.
const ASSUMED_OBJECTIVE_SHARE: f64 = 0.8;
/// Service time of a warm object assumed before any measurement, as a share of that of a cold one.
const ASSUMED_WARM_SHARE: f64 = 0.5;

/// Moving averages of the service time of one route, kept apart for warm and cold objects.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTimes {
    warm: MovingAverage,
    cold: MovingAverage,
}

#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    seconds: f64,
    count: u32,
}

impl ServiceTimes {
    /// Adds a measured service time, without waits, of a target that takes `slowdown` times as long as the average one.
    /// If the object is not known to be warm, the time goes to the nearer of the two averages.
    pub fn record(&mut self, time: Duration, is_known_warm: bool, slowdown: f64) {
        let seconds = time.as_secs_f64() / slowdown.max(f64::MIN_POSITIVE);
        let is_nearer_warm = match (self.warm.value(), self.cold.value()) {
            (Some(warm), Some(cold)) => seconds < (warm + cold) / 2.0,
            _ => false,
        };
        match is_known_warm || is_nearer_warm {
            true => self.warm.add(seconds),
            false => self.cold.add(seconds),
        }
    }

    /// Returns the expected service time in seconds for an object that is warm with the given likelihood, 0 to 1.
    pub fn expected_seconds(&self, warm_likelihood: f64, latency_objective: Duration) -> f64 {
        let assumed = latency_objective.as_secs_f64() * ASSUMED_OBJECTIVE_SHARE;
        let cold = self.cold.value().unwrap_or(assumed);
        let warm = self.warm.value().unwrap_or(cold * ASSUMED_WARM_SHARE).min(cold);
        warm_likelihood * warm + (1.0 - warm_likelihood) * cold
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
