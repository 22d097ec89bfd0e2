//! Bounds how fast the share of a service's requests that run outside their region changes, and says which requests those
//! are. Answers regions with more callers than targets, and waves and starts, where all hosts of a region would send their
//! surplus elsewhere within a second and fetch it back within the next.

use std::time::Duration;
use std::time::Instant;

/// Fastest change of the share, a second. The platform allows 0.15 in two seconds (`max_region_shift`); the rest covers that
/// windows of few requests scatter.
const MAX_CHANGE_PER_SECOND: f64 = 0.05;
/// Fastest change while targets of the region were lost, when nothing else can serve their callers.
const MAX_LOSS_CHANGE_PER_SECOND: f64 = 1.0;
/// Time after the loss of a target of the region in which the faster change holds.
const LOSS_RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Requests for each slot of the region from which on more is sent outside: nearly all slots are in use.
const HIGH_PRESSURE: f64 = 0.85;
/// Requests for each slot of the region up to which less is sent outside: a third of the slots is free.
const LOW_PRESSURE: f64 = 0.6;
/// Time over which the pressure is averaged: a few service times.
const PRESSURE_AVERAGE_TIME: Duration = Duration::from_millis(500);

/// Weight of the latest decision in the share of requests that are refused.
const DECISION_WEIGHT: f64 = 0.03;
/// Least share of requests that counts as served, so that pressure stays bounded.
const MIN_SERVED_SHARE: f64 = 0.1;

/// Least surplus of a region that a host which has just started sends outside: the parts that callers and targets stand in
/// are estimates.
const MIN_SURPLUS_SHARE: f64 = 0.2;

/// Share of requests to send outside from the first one on, where a region has a part of all callers and a part of all
/// slots. Sent outside, it leaves the region as busy as the others.
pub fn surplus_share(caller_share: f64, slot_share: f64) -> f64 {
    let surplus = 1.0 - slot_share / caller_share.max(f64::MIN_POSITIVE);
    if surplus >= MIN_SURPLUS_SHARE { surplus.min(1.0) } else { 0.0 }
}

/// The share of a service's requests that runs outside the region of its callers.
#[derive(Clone, Debug)]
pub struct SpillController {
    share: f64,
    pressure: f64,
    refused_share: f64,
    updated_at: Instant,
    target_lost_at: Option<Instant>,
}

impl SpillController {
    /// A band that starts with a share of requests outside.
    pub fn new(share: f64, now: Instant) -> Self {
        Self { share, pressure: 0.0, refused_share: 0.0, updated_at: now, target_lost_at: None }
    }

    /// A target of the region was lost.
    pub fn record_target_loss(&mut self, now: Instant) {
        self.target_lost_at = Some(now);
    }

    /// A request that was to run inside was refused or not. Refused requests are pressure too, though they fill no slot.
    pub fn record_decision(&mut self, is_refused: bool) {
        self.refused_share +=
            DECISION_WEIGHT * (f64::from(u8::from(is_refused)) - self.refused_share);
    }

    /// Takes the requests for each slot, inside the region and outside, and moves the share.
    pub fn update_share(&mut self, inside: f64, outside: f64, now: Instant) {
        let offered = inside / (1.0 - self.refused_share).max(MIN_SERVED_SHARE);
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let weight = 1.0 - (-elapsed / PRESSURE_AVERAGE_TIME.as_secs_f64()).exp();
        self.pressure += weight * (offered - self.pressure);
        let max_step = elapsed.min(1.0)
            * if self.has_recent_loss(now) {
                MAX_LOSS_CHANGE_PER_SECOND
            } else {
                MAX_CHANGE_PER_SECOND
            };
        let step = match self.pressure {
            pressure if pressure > HIGH_PRESSURE && pressure > outside => max_step,
            pressure if pressure < LOW_PRESSURE => -max_step,
            _ => 0.0,
        };
        self.share = (self.share + step).clamp(0.0, 1.0);
    }

    /// Whether a request runs outside. `point` is a number from 0 to 1 that stays the same for an object, so that the same
    /// objects run outside and stay warm there.
    pub fn is_spilled(&self, point: f64) -> bool {
        point < self.share
    }

    /// Whether requests that find no room inside may run outside at once, beyond the share.
    pub fn has_recent_loss(&self, now: Instant) -> bool {
        self.target_lost_at.is_some_and(|at| now.saturating_duration_since(at) < LOSS_RECOVERY_TIME)
    }

    /// Share of requests that runs outside now.
    pub fn share(&self) -> f64 {
        self.share
    }
}
