//! Controls the share of a service's requests that spill to other regions, and selects those requests. Regions with
//! more callers than targets need spill. Its rate of change is limited, because otherwise, after load waves and starts,
//! all hosts of a region would send their surplus elsewhere within one second and take it back within the next.
//!
//! The share is one of the requests that run: where targets of the region turn requests away, fewer are sent outside, so that
//! the same number outside does not become a larger share.
//!
//! Load that this answers: targets of a region that state limits, pause, leave, crash or restart while callers use most of the
//! region's slots, and their return.

use std::time::Duration;
use std::time::Instant;

/// Fastest change of the share per second. The platform allows 0.15 in two seconds (`max_region_shift`); the margin
/// covers the scatter of windows with few requests.
pub(super) const MAX_CHANGE_PER_SECOND: f64 = 0.04;
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

/// Time constant of the moving averages of how many requests find room, and the bounds of the weight of one request.
const ROOM_AVERAGE_TIME: Duration = Duration::from_millis(300);
const ROOM_WEIGHT_BOUNDS: (f64, f64) = (0.03, 0.5);
/// Lower bound of the share of requests that finds room, so that quotients stay bounded.
const MIN_ROOM: f64 = 0.1;
/// Difference between the shares of requests that find room inside and outside from which the share moves to the side with
/// more room.
const ROOM_DIFFERENCE: f64 = 0.2;
/// Requests by which a host may be ahead of its share or behind it, so that objects stay on their side.
const SPILL_TOLERANCE: f64 = 1.0;
/// Share of requests that find room inside, compared to outside, below which a host keeps to its share without tolerance: of
/// the few objects of a small share some are more popular than others.
const SHORT_ROOM: f64 = 0.5;
/// Requests that are due outside at most in a region short of room. If more are, those outside have no room for the share.
const MAX_DUE: f64 = 1.5;
/// Share of requests that find room inside below which the region counts as closed.
const CLOSED_ROOM: f64 = 0.02;
/// Part of all requests that may run in another region than the selected one, where no target takes them.
const CHANGE_SHARE: f64 = 0.03;

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
    /// Shares of requests that would find room inside and outside the region.
    room: RegionRoom,
    /// Requests that may run in another region than the selected one, at most 1.
    changes: f64,
    /// Requests that are due outside by the share and were not selected yet; negative if too many were.
    due_outside: f64,
    decided_at: Instant,
    updated_at: Instant,
    approached_at: Instant,
    room_lost_at: Option<Instant>,
}

/// Shares of requests, 0 to 1, that would find room on the two sides of a region's border.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegionRoom {
    /// On targets of the region.
    pub inside: f64,
    /// On targets of other regions.
    pub outside: f64,
}

impl SpillController {
    /// Creates a controller with an initial share, 0 to 1, of requests outside.
    pub fn new(share: f64, now: Instant) -> Self {
        Self {
            share,
            pressure: 0.0,
            room: RegionRoom { inside: 1.0, outside: 1.0 },
            changes: 1.0,
            due_outside: rand::random(),
            decided_at: now,
            updated_at: now,
            approached_at: now,
            room_lost_at: None,
        }
    }

    /// Records that the region lost much of its room without notice, which allows the faster growth for `LOSS_RECOVERY_TIME`.
    pub fn record_room_loss(&mut self, now: Instant) {
        self.room_lost_at = Some(now);
    }

    /// Records whether a request would find room inside and outside the region, wherever it runs.
    pub fn record_room(&mut self, inside: bool, outside: bool, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decided_at).as_secs_f64();
        self.decided_at = now;
        let weight = 1.0 - (-elapsed / ROOM_AVERAGE_TIME.as_secs_f64()).exp();
        let weight = weight.clamp(ROOM_WEIGHT_BOUNDS.0, ROOM_WEIGHT_BOUNDS.1);
        let RegionRoom { inside: known_inside, outside: known_outside } = &mut self.room;
        for (known, found) in [(known_inside, inside), (known_outside, outside)] {
            *known += weight * (f64::from(u8::from(found)) - *known);
        }
        self.changes = (self.changes + CHANGE_SHARE).min(1.0);
    }

    /// Moves the share by the current requests per slot inside and outside the region.
    pub fn update_share(&mut self, inside: f64, outside: f64, now: Instant) {
        let RegionRoom { inside: room, outside: outside_room } = self.room;
        let offered = inside / room.max(MIN_ROOM);
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let weight = 1.0 - (-elapsed / PRESSURE_AVERAGE_TIME.as_secs_f64()).exp();
        self.pressure += weight * (offered - self.pressure);
        let elapsed = elapsed.min(1.0);
        let growth = match self.has_recent_loss(now) {
            true => MAX_LOSS_GROWTH_PER_SECOND,
            false => MAX_CHANGE_PER_SECOND,
        };
        let step = match self.pressure {
            _ if self.is_short() && self.due_outside > MAX_DUE => -MAX_CHANGE_PER_SECOND * elapsed,
            _ if room + ROOM_DIFFERENCE < outside_room => growth * elapsed,
            _ if outside_room + ROOM_DIFFERENCE < room => -MAX_CHANGE_PER_SECOND * elapsed,
            pressure if pressure > HIGH_PRESSURE && pressure > outside => growth * elapsed,
            pressure if pressure < LOW_PRESSURE => {
                let part = ((LOW_PRESSURE - pressure) / RETURN_RANGE).min(1.0);
                -MAX_CHANGE_PER_SECOND * elapsed * part
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

    /// Selects whether a request is to run outside. `point` is a number from 0 to 1 that is fixed for an object, so that the
    /// same objects run outside and stay warm there. A request whose object would take the host too far from its share runs
    /// on the other side, as objects come unevenly.
    pub fn select_spilled(&mut self, point: f64) -> bool {
        let ratio = self.room_ratio();
        let spilled = self.share * ratio / (1.0 - self.share + self.share * ratio);
        let is_spilled = match self.due_outside {
            due if self.is_short() => due >= 1.0,
            due if due >= 1.0 + SPILL_TOLERANCE => true,
            due if due <= -SPILL_TOLERANCE => false,
            _ => point < spilled,
        };
        self.due_outside -= f64::from(u8::from(is_spilled));
        is_spilled
    }

    /// Whether the region has much less room than others.
    pub(super) fn is_short(&self) -> bool {
        self.room_ratio() < SHORT_ROOM
    }

    fn room_ratio(&self) -> f64 {
        (self.room.inside / self.room.outside.max(MIN_ROOM)).clamp(MIN_ROOM, 1.0)
    }

    /// Records whether the selected request runs. Of the requests that run, the share is due outside. Where next to none finds
    /// room inside, refused ones count a little, so that the region is not left without service.
    pub fn record_run(&mut self, is_run: bool) {
        let count = match is_run {
            true => 1.0,
            false if self.room.inside < CLOSED_ROOM => MIN_ROOM,
            false => 0.0,
        };
        let bound = MAX_DUE + if self.is_short() { 1.0 } else { SPILL_TOLERANCE };
        self.due_outside = (self.due_outside + self.share * count).min(bound);
    }

    /// Returns whether a request that was selected to run outside and found no room there may run inside. In a region short of
    /// room it takes what another one would take, and the next one is selected in its place; else few may.
    pub fn take_return(&mut self) -> bool {
        if self.is_short() {
            self.due_outside += 1.0;
            return true;
        }
        self.take_change()
    }

    /// Returns whether a request that was selected to run in one region may run in another one, which few may.
    pub fn take_change(&mut self) -> bool {
        let may_change = self.changes >= 1.0;
        if may_change {
            self.changes -= 1.0;
        }
        may_change
    }

    /// Returns whether the region lost much of its room recently, so that requests without room inside may run outside
    /// beyond the share.
    pub fn has_recent_loss(&self, now: Instant) -> bool {
        self.room_lost_at.is_some_and(|at| now.saturating_duration_since(at) < LOSS_RECOVERY_TIME)
    }

    /// Returns the shares of requests that would find room lately.
    pub fn room(&self) -> RegionRoom {
        self.room
    }

    /// Returns the current share, 0 to 1, of requests that runs outside.
    pub fn share(&self) -> f64 {
        self.share
    }
}
