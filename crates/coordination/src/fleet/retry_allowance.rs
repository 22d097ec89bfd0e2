//! Retries that one host may send for a service, so that the retries of all hosts stay within a budget of the fleet.
//! Answers days on which a whole service sheds or fails while hosts of a large fleet restart.

use std::time::Duration;

const MICRO_RETRIES: u64 = 1_000_000;
/// Share of the budget's ratio that hosts use; the rest covers hosts that count a request shortly before its window.
const RATIO_SHARE: f64 = 0.8;
/// Share of the budget's slack that all hosts together may hold as saved retries. The rest covers hosts that were cut
/// off and divide the slack by fewer hosts.
const SLACK_SHARE: f64 = 0.5;
/// Most retries that one host saves, so that a small fleet does not spend its slack at once.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Shortest time between two starts of a host: a process that ended is started again after a delay, and then reads its state.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Budget of retries of a service, summed over all hosts: in any window, at most `ratio` times the first attempts, plus
/// `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBudget {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Retries beyond the ratio in any window.
    pub slack: f64,
    /// Span over which retries are counted.
    pub window: Duration,
}

impl FleetBudget {
    /// Share of a host's part of the slack, 0 to 1, that it starts with. Hosts that restart again and again start as many times
    /// in a window as fit into it.
    fn start_share(&self) -> f64 {
        let share = RESTART_TIME.as_secs_f64() / self.window.as_secs_f64().max(f64::MIN_POSITIVE);
        share.min(1.0)
    }
}

/// Retries that this host may send for one service.
///
/// A host of a large fleet starts without any, because hosts that restart in series would otherwise each bring new
/// ones. It saves at most its part of the slack, so the saved retries of all hosts that count the same fleet stay
/// within the slack, as long as the fleet has no more hosts than `SLACK_SHARE` of the slack: each host may save a whole
/// retry.
#[derive(Clone, Debug, Default)]
pub struct RetryAllowance {
    /// Millionths of a retry; `None` before the first attempt.
    saved: Option<u64>,
}

impl RetryAllowance {
    /// Records a first attempt, which adds a fraction of a retry. `host_count` is the number of hosts that may be
    /// serving, this one included.
    pub fn record_first_attempt(&mut self, budget: FleetBudget, host_count: usize) {
        let part = budget.slack * SLACK_SHARE / host_count.max(1) as f64;
        let capacity = part.clamp(1.0, MAX_SAVED_RETRIES);
        let start = (capacity * budget.start_share()).floor();
        let saved = self.saved.unwrap_or_else(|| micro_retries(start));
        let gained = micro_retries(budget.ratio.clamp(0.0, 1.0) * RATIO_SHARE);
        self.saved = Some((saved + gained).min(micro_retries(capacity)));
    }

    /// Takes one retry; returns `false` if there is none.
    pub fn take_retry(&mut self) -> bool {
        let left = self.saved.and_then(|saved| saved.checked_sub(MICRO_RETRIES));
        if left.is_some() {
            self.saved = left;
        }
        left.is_some()
    }
}

fn micro_retries(retries: f64) -> u64 {
    (retries * MICRO_RETRIES as f64) as u64
}
