//! How far the expected times of answers are off.

/// Weight of the latest answer in the moving averages.
const ANSWER_WEIGHT: f64 = 0.05;
/// Mean deviations by which an answer may be later than expected: about 19 of 20 answers come earlier if the errors are
/// normally distributed.
const MARGIN_DEVIATIONS: f64 = 2.0;

/// Moving averages of the errors of the expected times of one route, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EstimateError {
    mean: f64,
    deviation: f64,
}

impl EstimateError {
    /// Records an answer that took `seconds` where `expected_seconds` were expected.
    pub(super) fn record(&mut self, seconds: f64, expected_seconds: f64) {
        let error = seconds - expected_seconds;
        self.deviation += ANSWER_WEIGHT * ((error - self.mean).abs() - self.deviation);
        self.mean += ANSWER_WEIGHT * (error - self.mean);
    }

    /// Seconds by which an answer may come later than expected.
    pub(super) fn margin(&self) -> f64 {
        (self.mean + MARGIN_DEVIATIONS * self.deviation).max(0.0)
    }
}
