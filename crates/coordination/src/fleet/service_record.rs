//! Load and spill state tracked for one service.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::fleet::SpillController;
use crate::fleet::admission_policy::AdmissionPolicy;
use crate::fleet::home_warmth::HomeWarmth;
use crate::fleet::placement_candidate::home_priors;
use crate::fleet::region_split::RegionSplit;
use crate::fleet::room_losses::RoomLosses;
use crate::ids::RegionId;
use crate::ids::TargetId;

/// Least weight of the latest report in the average load that other hosts put on a target.
const MIN_REPORT_WEIGHT: f64 = 0.05;
/// Weight of the first report, below 1 because the first target that answers may be an unusually busy one.
const FIRST_REPORT_WEIGHT: f64 = 0.3;
/// Time constant with which earlier reports lose weight: a few service times. A host that gets few answers then adapts
/// as fast as one that gets many.
const REPORT_DECAY_TIME: Duration = Duration::from_secs(1);
/// Silence, in average report intervals, after which the average decays, and the time constant of the decay. A host
/// that refuses every request gets no more reports, although the targets are free again within a service time, so the
/// decay makes it try again.
const MAX_SILENT_INTERVALS: u32 = 3;
const SILENCE_DECAY_TIME: Duration = Duration::from_millis(500);
/// Weight of the latest interval between reports, and the cap on a single interval.
const INTERVAL_WEIGHT: f64 = 0.2;
const MAX_INTERVAL: Duration = Duration::from_secs(1);
/// Reports a second that the average of the neighbours counts as: a host with a few reports a second cannot tell a busy
/// service from a busy target.
const NEIGHBOUR_REPORT_RATE: f64 = 10.0;
/// Weight of the latest service time in the service's mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Average requests per slot of a service's targets inside and outside the region, as measured by one host.
pub type RegionLoads = (f32, f32);

/// Targets, cold start settings and load averages of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceRecord {
    pub(super) targets: Vec<TargetId>,
    pub(super) cold_rate: f64,
    pub(super) cold_time: Duration,
    pub(super) mean_service_seconds: Option<f64>,
    pub(super) spill: Option<SpillController>,
    /// How requests outside are divided among the other regions.
    pub(super) split: Option<RegionSplit>,
    /// Room that regions lost lately.
    pub(super) losses: IndexMap<RegionId, RoomLosses>,
    /// Average requests of other hosts per slot, inside and outside the own region.
    pub(super) other_loads: [AverageLoad; 2],
    /// What the other hosts of the region measured lately for the same two averages.
    pub(super) neighbour_loads: Option<RegionLoads>,
    /// Order of requests while capacity is short.
    pub(super) admission: AdmissionPolicy,
    /// Warmth of objects on their homes, inside and outside the own region.
    pub(super) home_warmth: [HomeWarmth; 2],
}

/// Moving average of the requests that other hosts have on a target, per slot; decays when reports stop.
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

    /// Reports a second, 0 before the first one.
    fn rate(&self) -> f64 {
        if self.interval.is_zero() { 0.0 } else { 1.0 / self.interval.as_secs_f64() }
    }

    /// Average of this host combined with that of its neighbours, weighted by the number of reports behind it.
    fn combined(&self, neighbours: Option<f64>, now: Instant) -> f64 {
        let own = self.per_slot(now);
        let weight = self.rate() / (self.rate() + NEIGHBOUR_REPORT_RATE);
        neighbours.map_or(own, |neighbours| weight * own + (1.0 - weight) * neighbours)
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
    /// Returns the average requests of other hosts per slot, inside or outside the own region.
    pub(super) fn other_load(&self, is_outside: bool, now: Instant) -> f64 {
        let neighbours =
            self.neighbour_loads.map(|loads| if is_outside { loads.1 } else { loads.0 });
        self.other_loads[usize::from(is_outside)].combined(neighbours.map(f64::from), now)
    }

    /// Returns this host's own averages, rounded to hundredths; `None` without any report.
    pub(super) fn measured_loads(&self, now: Instant) -> Option<RegionLoads> {
        let is_measured = self.other_loads.iter().any(|average| average.reported_at.is_some());
        let rounded =
            |average: &AverageLoad| (average.per_slot(now) as f32 * 100.0).round() / 100.0;
        is_measured.then(|| (rounded(&self.other_loads[0]), rounded(&self.other_loads[1])))
    }

    /// Returns the likelihoods, 0 to 1, that an object is warm on its home inside and outside the own region.
    pub(super) fn home_likelihoods(&self) -> [f64; 2] {
        let spill_share = self.spill.as_ref().map_or(0.0, SpillController::share);
        let priors = home_priors(spill_share);
        [self.home_warmth[0].likelihood(priors[0]), self.home_warmth[1].likelihood(priors[1])]
    }

    /// Records whether an object, of which only other hosts sent requests recently, was warm on its home.
    pub(super) fn record_home_warmth(&mut self, is_outside: bool, is_warm: bool) {
        let spill_share = self.spill.as_ref().map_or(0.0, SpillController::share);
        let side = usize::from(is_outside);
        self.home_warmth[side].record(is_warm, home_priors(spill_share)[side]);
    }

    pub(super) fn record_service_time(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let known = self.mean_service_seconds.unwrap_or(seconds);
        self.mean_service_seconds = Some(known + SERVICE_TIME_WEIGHT * (seconds - known));
    }
}
