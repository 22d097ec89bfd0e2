//! Controls the share of a service's requests that spill to other regions, and selects those requests. Regions with
//! more callers than targets need spill. Its rate of change is limited, because otherwise, after load waves and starts,
//! all hosts of a region would send their surplus elsewhere within one second and take it back within the next.

use std::time::Duration;
use std::time::Instant;

/// Fastest change of the share per second. The platform allows 0.15 in two seconds (`max_region_shift`); the margin
/// covers the scatter of windows with few requests.
const MAX_CHANGE_PER_SECOND: f64 = 0.05;
/// Fastest growth of the share per second after the region lost much of its room.
const MAX_LOSS_GROWTH_PER_SECOND: f64 = 1.0;
/// Time after the loss of room of the region during which the faster growth is allowed.
const LOSS_RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Requests per slot of the region above which the share grows: nearly all slots are in use.
const HIGH_PRESSURE: f64 = 0.85;
/// Requests per slot of the region below which the share shrinks: a third of the slots is free.
const LOW_PRESSURE: f64 = 0.6;
/// Part of the difference to the mean of the region's hosts by which the share moves in a second, and its fastest change
/// for that reason. With `MAX_CHANGE_PER_SECOND` it stays within what the platform allows.
const APPROACH_RATE: f64 = 0.5;
const MAX_APPROACH_PER_SECOND: f64 = 0.02;
/// Difference to `LOW_PRESSURE` from which the share shrinks at full speed. Near the bound it shrinks slowly, because each
/// object that moves runs cold once.
const RETURN_RANGE: f64 = 0.3;
/// Time constant of the moving average of the pressure: a few service times.
const PRESSURE_AVERAGE_TIME: Duration = Duration::from_millis(500);

/// Weight of the latest decision in the moving average of refusals.
const DECISION_WEIGHT: f64 = 0.03;
/// Lower bound of the served share by which pressure is divided, so that it stays bounded.
const MIN_SERVED_SHARE: f64 = 0.1;

/// Least surplus that a host sends outside from its start; a smaller one is ignored, because the shares of callers and
/// slots are estimates.
const MIN_SURPLUS_SHARE: f64 = 0.2;

/// Returns the share of requests, 0 to 1, to send outside from the first one on, for a region with the given shares of
/// all callers and of all slots. With this share spilled the region is as busy as the others.
pub fn surplus_share(caller_share: f64, slot_share: f64) -> f64 {
    let surplus = 1.0 - slot_share / caller_share.max(f64::MIN_POSITIVE);
    if surplus >= MIN_SURPLUS_SHARE { surplus.min(1.0) } else { 0.0 }
}

/// Tracks the share of a service's requests that runs outside the region of its callers.
#[derive(Clone, Debug)]
pub struct SpillController {
    share: f64,
    pressure: f64,
    refused_share: f64,
    updated_at: Instant,
    approached_at: Instant,
    room_lost_at: Option<Instant>,
}

impl SpillController {
    /// Creates a controller with an initial share, 0 to 1, of requests outside.
    pub fn new(share: f64, now: Instant) -> Self {
        Self {
            share,
            pressure: 0.0,
            refused_share: 0.0,
            updated_at: now,
            approached_at: now,
            room_lost_at: None,
        }
    }

    /// Records that the region lost much of its room without notice, which allows the faster growth for `LOSS_RECOVERY_TIME`.
    pub fn record_room_loss(&mut self, now: Instant) {
        self.room_lost_at = Some(now);
    }

    /// Records whether a request that was to run inside was refused. Refused requests count as pressure although they
    /// fill no slot.
    pub fn record_decision(&mut self, is_refused: bool) {
        self.refused_share +=
            DECISION_WEIGHT * (f64::from(u8::from(is_refused)) - self.refused_share);
    }

    /// Moves the share by the current requests per slot inside and outside the region.
    pub fn update_share(&mut self, inside: f64, outside: f64, now: Instant) {
        let offered = inside / (1.0 - self.refused_share).max(MIN_SERVED_SHARE);
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let weight = 1.0 - (-elapsed / PRESSURE_AVERAGE_TIME.as_secs_f64()).exp();
        self.pressure += weight * (offered - self.pressure);
        let max_step = MAX_CHANGE_PER_SECOND * elapsed.min(1.0);
        let max_growth = match self.has_recent_loss(now) {
            true => MAX_LOSS_GROWTH_PER_SECOND * elapsed.min(1.0),
            false => max_step,
        };
        let step = match self.pressure {
            pressure if pressure > HIGH_PRESSURE && pressure > outside => max_growth,
            pressure if pressure < LOW_PRESSURE => {
                -max_step * ((LOW_PRESSURE - pressure) / RETURN_RANGE).min(1.0)
            }
            _ => 0.0,
        };
        self.share = (self.share + step).clamp(0.0, 1.0);
    }

    /// Moves the share towards the mean of the region's hosts. Hosts with different shares run the same objects inside and
    /// outside, where one of the two copies is often cold.
    pub fn approach_mean(&mut self, mean: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.approached_at).as_secs_f64().min(1.0);
        self.approached_at = now;
        let max_step = MAX_APPROACH_PER_SECOND * elapsed;
        let step = (mean - self.share) * APPROACH_RATE * elapsed;
        self.share = (self.share + step.clamp(-max_step, max_step)).clamp(0.0, 1.0);
    }

    /// Returns whether a request runs outside. `point` is a number from 0 to 1 that is fixed for an object, so that the
    /// same objects run outside and stay warm there.
    pub fn is_spilled(&self, point: f64) -> bool {
        point < self.share
    }

    /// Returns whether the region lost much of its room recently, so that requests without room inside may run outside
    /// beyond the share.
    pub fn has_recent_loss(&self, now: Instant) -> bool {
        self.room_lost_at.is_some_and(|at| now.saturating_duration_since(at) < LOSS_RECOVERY_TIME)
    }

    /// Returns the current share, 0 to 1, of requests that runs outside.
    pub fn share(&self) -> f64 {
        self.share
    }
}
