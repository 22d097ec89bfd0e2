//! How long work takes on a target's machine, compared with usual, as the target states it.
//!
//! Load that this answers: targets on shared machines, of which some become two or three times slower for a fraction of a
//! second, because of load that is not of this fleet.

use std::time::Duration;
use std::time::Instant;

/// Time constant with which a statement loses weight against the target's average. Other load on a shared machine changes
/// within a second.
const STATEMENT_DECAY_TIME: Duration = Duration::from_millis(600);
/// Longest time between the head of an answer, with the statement, and its end, for which the statement describes the work.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Time constant of the target's average, which spans many changes of other load. Weighting by time keeps a busy target's
/// average from following one slow moment with many answers.
const AVERAGE_TIME: Duration = Duration::from_secs(10);
/// Bounds of a statement, so that a faulty one neither hides the target nor attracts all requests.
const RATIO_BOUNDS: (f64, f64) = (0.25, 12.0);

/// Duration of work on a target's machine as a multiple of the usual duration; above 1 is slower. Until the target states
/// one it is 1.
#[derive(Clone, Copy, Debug)]
pub struct WorkPace {
    average: f64,
    latest: Option<PaceStatement>,
}

#[derive(Clone, Copy, Debug)]
struct PaceStatement {
    ratio: f64,
    stated_at: Instant,
    /// Ratio that was expected right before the statement.
    expected_before: f64,
}

impl WorkPace {
    /// Records the ratio that an answer of the target states. One that is not a finite positive number is ignored.
    pub fn record(&mut self, ratio: f64, now: Instant) {
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let expected_before = self.expected(now);
        self.average = match self.latest {
            None => ratio,
            Some(latest) => {
                let age = now.saturating_duration_since(latest.stated_at).as_secs_f64();
                let weight = 1.0 - (-age / AVERAGE_TIME.as_secs_f64()).exp();
                self.average + weight * (ratio - self.average)
            }
        };
        self.latest = Some(PaceStatement { ratio, stated_at: now, expected_before });
    }

    /// Returns the ratio to expect now. With the age of the latest statement it moves from that to the target's average.
    pub fn expected(&self, now: Instant) -> f64 {
        let Some(latest) = self.latest else { return self.average };
        let age = now.saturating_duration_since(latest.stated_at).as_secs_f64();
        let weight = (-age / STATEMENT_DECAY_TIME.as_secs_f64()).exp();
        self.average + weight * (latest.ratio - self.average)
    }

    /// Returns the ratio stated with an answer that ends now, and how much longer than expected its work took because of
    /// that. Both are 1 for a target that stated none lately.
    pub fn of_answer(&self, now: Instant) -> (f64, f64) {
        match self.latest {
            Some(latest) if now.saturating_duration_since(latest.stated_at) <= ANSWER_TIME => {
                (latest.ratio, latest.ratio / latest.expected_before)
            }
            _ => (1.0, 1.0),
        }
    }
}

impl Default for WorkPace {
    fn default() -> Self {
        Self { average: 1.0, latest: None }
    }
}
