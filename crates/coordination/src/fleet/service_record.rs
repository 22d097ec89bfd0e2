//! What is known of one service's requests.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::SpillController;
use crate::ids::TargetId;

/// Least weight of the latest report in what others usually have on a target.
const MIN_REPORT_WEIGHT: f64 = 0.05;
/// Weight of the first report: the first target that answers may be a busy one.
const FIRST_REPORT_WEIGHT: f64 = 0.3;
/// Time in which earlier reports lose their weight to later ones: some service times. A host that gets few answers learns as
/// soon as one that gets many.
const REPORT_DECAY_TIME: Duration = Duration::from_secs(1);
/// Silences, in usual intervals between reports, after which all is forgotten by and by, and the time that this takes. A host
/// that refused all hears no more, while the targets are done within a service time: it has to try again.
const MAX_SILENT_INTERVALS: u32 = 3;
const SILENCE_DECAY_TIME: Duration = Duration::from_millis(500);
/// Weight of the latest interval between reports, and the longest that counts.
const INTERVAL_WEIGHT: f64 = 0.2;
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Weight of the latest service time in the mean of a target's slots.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// What is known of one service's requests.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceRecord {
    pub(super) targets: Vec<TargetId>,
    pub(super) cold_rate: f64,
    pub(super) cold_time: Duration,
    pub(super) mean_service_seconds: Option<f64>,
    pub(super) spill: Option<SpillController>,
    /// Others' requests for each slot, inside and outside the region.
    pub(super) other_loads: [AverageLoad; 2],
}

/// Moving average of what other hosts have on a target for each of its slots; forgotten without reports.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AverageLoad {
    per_slot: f64,
    reported_at: Option<Instant>,
    interval: Duration,
}

impl AverageLoad {
    pub(super) fn per_slot(&self, now: Instant) -> f64 {
        let excess = self.age(now).saturating_sub(self.interval * MAX_SILENT_INTERVALS);
        self.per_slot * (-excess.as_secs_f64() / SILENCE_DECAY_TIME.as_secs_f64()).exp()
    }

    pub(super) fn add(&mut self, per_slot: f64, now: Instant) {
        let known = self.per_slot(now);
        let weight = 1.0 - (-self.age(now).as_secs_f64() / REPORT_DECAY_TIME.as_secs_f64()).exp();
        let weight = if self.reported_at.is_none() {
            FIRST_REPORT_WEIGHT
        } else {
            weight.max(MIN_REPORT_WEIGHT)
        };
        let interval = match self.reported_at {
            None => MAX_INTERVAL,
            Some(_) => {
                let latest = self.age(now).min(MAX_INTERVAL).mul_f64(INTERVAL_WEIGHT);
                self.interval.mul_f64(1.0 - INTERVAL_WEIGHT) + latest
            }
        };
        *self = Self {
            per_slot: known + weight * (per_slot - known),
            reported_at: Some(now),
            interval,
        };
    }

    fn age(&self, now: Instant) -> Duration {
        self.reported_at
            .map_or(Duration::ZERO, |reported_at| now.saturating_duration_since(reported_at))
    }
}

impl ServiceRecord {
    pub(super) fn record_service_time(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let known = self.mean_service_seconds.unwrap_or(seconds);
        self.mean_service_seconds = Some(known + SERVICE_TIME_WEIGHT * (seconds - known));
    }
}
