//! Bounds how fast the share of a service's requests that run outside their region changes, and says which requests those
//! are. Answers regions with more callers than targets, and waves and starts, where all hosts of a region would send their
//! surplus elsewhere within a second and fetch it back within the next.

use std::time::Duration;
use std::time::Instant;

/// Fastest change of the share, a second. The platform allows 0.15 in two seconds (`max_region_shift`); the rest covers that
/// windows of few requests scatter.
const USUAL_RATE: f64 = 0.05;
/// Fastest change while targets of the region were lost, when nothing else can serve their callers.
const LOSS_RATE: f64 = 1.0;
/// Time after the loss of a target of the region in which the faster change holds.
const LOSS_TIME: Duration = Duration::from_secs(4);
/// Requests for each slot of the region from which on more is sent outside: nearly all slots are in use.
const HIGH_PRESSURE: f64 = 0.85;
/// Requests for each slot of the region up to which less is sent outside: a third of the slots is free.
const LOW_PRESSURE: f64 = 0.6;
/// Time over which the pressure is averaged: a few service times.
const PRESSURE_MEMORY: Duration = Duration::from_millis(500);

/// Weight of the latest decision in the share of requests that are refused.
const LATEST_DECISION: f64 = 0.03;
/// Least share of requests that counts as served, so that pressure stays bounded.
const MIN_SERVED: f64 = 0.1;

/// Least surplus of a region that a host which has just started sends outside: the parts that callers and targets stand in
/// are estimates.
const MIN_SURPLUS: f64 = 0.2;

/// Share of requests to send outside from the first one on, where a region has a part of all callers and a part of all
/// slots. Sent outside, it leaves the region as busy as the others.
pub fn surplus_share(callers: f64, slots: f64) -> f64 {
    let surplus = 1.0 - slots / callers.max(f64::MIN_POSITIVE);
    if surplus >= MIN_SURPLUS { surplus.min(1.0) } else { 0.0 }
}

/// The share of a service's requests that runs outside the region of its callers.
#[derive(Clone, Debug)]
pub struct SpillBand {
    share: f64,
    inside: f64,
    refused: f64,
    moved_at: Instant,
    lost_at: Option<Instant>,
}

impl SpillBand {
    /// A band that starts with a share of requests outside.
    pub fn new(share: f64, now: Instant) -> Self {
        Self { share, inside: 0.0, refused: 0.0, moved_at: now, lost_at: None }
    }

    /// A target of the region was lost.
    pub fn target_lost(&mut self, now: Instant) {
        self.lost_at = Some(now);
    }

    /// A request that was to run inside was refused or not. Refused requests are pressure too, though they fill no slot.
    pub fn decided(&mut self, is_refused: bool) {
        self.refused += LATEST_DECISION * (f64::from(u8::from(is_refused)) - self.refused);
    }

    /// Takes the requests for each slot, inside the region and outside, and moves the share.
    pub fn observe(&mut self, inside: f64, outside: f64, now: Instant) {
        let offered = inside / (1.0 - self.refused).max(MIN_SERVED);
        let elapsed = now.saturating_duration_since(self.moved_at).as_secs_f64();
        self.moved_at = now;
        let weight = 1.0 - (-elapsed / PRESSURE_MEMORY.as_secs_f64()).exp();
        self.inside += weight * (offered - self.inside);
        let most = elapsed.min(1.0) * if self.is_loss(now) { LOSS_RATE } else { USUAL_RATE };
        let step = match self.inside {
            pressure if pressure > HIGH_PRESSURE && pressure > outside => most,
            pressure if pressure < LOW_PRESSURE => -most,
            _ => 0.0,
        };
        self.share = (self.share + step).clamp(0.0, 1.0);
    }

    /// Whether a request runs outside. `place` is a number from 0 to 1 that stays the same for an object, so that the same
    /// objects run outside and stay warm there.
    pub fn is_outside(&self, place: f64) -> bool {
        place < self.share
    }

    /// Whether requests that find no room inside may run outside at once, beyond the share.
    pub fn is_loss(&self, now: Instant) -> bool {
        self.lost_at.is_some_and(|at| now.saturating_duration_since(at) < LOSS_TIME)
    }

    /// Share of requests that runs outside now.
    pub fn share(&self) -> f64 {
        self.share
    }
}
