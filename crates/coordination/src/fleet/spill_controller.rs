//! Controls the share of a service's requests that spill to other regions, and selects those requests. Regions with
//! more callers than targets need spill. Its rate of change is limited, because otherwise, after load waves and starts,
//! all hosts of a region would send their surplus elsewhere within one second and take it back within the next.
//!
//! The share is one of the requests that run: where targets of the region have no room, fewer requests are sent outside, so
//! that the same number outside does not become a larger share.
//!
//! Load that this answers: targets of a region that state limits, pause, leave, crash or restart while callers use most of the
//! region's slots, and their return.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::SpillPace;

/// Fastest growth of the share per second after the region lost much of its room.
const MAX_LOSS_GROWTH_PER_SECOND: f64 = 1.0;
/// Time after the loss of room of the region during which the faster growth is allowed.
const LOSS_RECOVERY_TIME: Duration = Duration::from_secs(4);
/// Requests per slot of the region above which the share grows: nearly all slots are in use.
const HIGH_PRESSURE: f64 = 0.85;
/// Requests per slot of the region below which the share shrinks: a third of the slots is free.
const LOW_PRESSURE: f64 = 0.6;
/// Part of the difference to the mean of the region's hosts by which the share moves in a second.
const APPROACH_RATE: f64 = 0.5;
/// Difference to `LOW_PRESSURE` from which the share shrinks at full speed. Near the bound it shrinks slowly, because each
/// object that moves runs cold once.
const RETURN_RANGE: f64 = 0.3;
/// Time constant of the moving average of the pressure: a few service times.
const PRESSURE_AVERAGE_TIME: Duration = Duration::from_millis(500);

/// Time constant of the moving averages of how many requests find targets and room, and the bounds of the weight of one request.
const ROOM_AVERAGE_TIME: Duration = Duration::from_millis(500);
const OPEN_AVERAGE_TIME: Duration = Duration::from_millis(300);
const ROOM_WEIGHT_BOUNDS: (f64, f64) = (0.03, 0.5);
/// Lower bound of the share of requests that finds room, so that quotients stay bounded.
const MIN_ROOM: f64 = 0.1;
/// Difference between the shares of requests that find room inside and outside from which the share moves to the side with
/// more room.
const ROOM_DIFFERENCE: f64 = 0.2;
/// Requests by which a host may be ahead of its share or behind it, so that objects stay on their side.
const SPILL_TOLERANCE: f64 = 1.5;
/// Requests that are due outside at most in a closed region. If more are, those outside have no room for the share.
const MAX_DUE: f64 = 1.5;
/// Share of requests that find an open target inside below which the region is closed. A host then keeps to its share without
/// tolerance: of the few objects of a small share some are more popular than others.
const CLOSED_SHARE: f64 = 0.5;
/// The same below which no target is open at all.
const NO_TARGET_SHARE: f64 = 0.02;
/// Part of all requests that may run inside although they were to run outside, where no target takes them.
const RETURN_SHARE: f64 = 0.05;

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
    pace: SpillPace,
    pressure: f64,
    /// Shares of requests that would find room inside and outside the region.
    room: RegionRoom,
    /// Share of requests, 0 to 1, for which any target inside was open.
    open_share: f64,
    /// Requests that may return inside, at most 1.
    returns: f64,
    /// Requests that are due outside by the share; negative if too many were selected or ran there.
    due_outside: f64,
    decided_at: Instant,
    updated_at: Instant,
    approached_at: Instant,
    room_lost_at: Option<Instant>,
}

/// Side of a region's border on which a request runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpillSide {
    /// In the region of its host.
    Inside,
    /// In another region.
    Outside,
}

/// Side selected for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SideSelection {
    /// Side on which the request runs; `None` if the share allows neither of those with room.
    pub side: Option<SpillSide>,
    /// Whether the request was to run outside if both sides had room.
    pub is_spilled: bool,
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
    pub fn new(share: f64, pace: SpillPace, now: Instant) -> Self {
        Self {
            share,
            pace,
            pressure: 0.0,
            room: RegionRoom { inside: 1.0, outside: 1.0 },
            open_share: 1.0,
            returns: 1.0,
            due_outside: share * rand::random::<f64>(),
            decided_at: now,
            updated_at: now,
            approached_at: now,
            room_lost_at: None,
        }
    }

    /// Replaces the pace at which the share changes.
    pub fn set_pace(&mut self, pace: SpillPace) {
        self.pace = pace;
    }

    /// Records that the region lost much of its room without notice, which allows the faster growth for `LOSS_RECOVERY_TIME`.
    pub fn record_room_loss(&mut self, now: Instant) {
        self.room_lost_at = Some(now);
    }

    /// Records whether a request would find an open target inside, and room there and outside, wherever it runs.
    pub fn record_room(&mut self, is_open: bool, inside: bool, outside: bool, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decided_at).as_secs_f64();
        self.decided_at = now;
        let average = |known: &mut f64, found: bool, time: Duration| {
            let weight = 1.0 - (-elapsed / time.as_secs_f64()).exp();
            let weight = weight.clamp(ROOM_WEIGHT_BOUNDS.0, ROOM_WEIGHT_BOUNDS.1);
            *known += weight * (f64::from(u8::from(found)) - *known);
        };
        average(&mut self.room.inside, inside, ROOM_AVERAGE_TIME);
        average(&mut self.room.outside, outside, ROOM_AVERAGE_TIME);
        average(&mut self.open_share, is_open, OPEN_AVERAGE_TIME);
        self.returns = (self.returns + RETURN_SHARE).min(1.0);
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
            false => self.pace.growth(),
        };
        let step = match self.pressure {
            _ if self.is_closed() && self.due_outside > MAX_DUE => -self.pace.decline() * elapsed,
            _ if room + ROOM_DIFFERENCE < outside_room => growth * elapsed,
            _ if outside_room + ROOM_DIFFERENCE < room => -self.pace.decline() * elapsed,
            pressure if pressure > HIGH_PRESSURE && pressure > outside => growth * elapsed,
            pressure if pressure < LOW_PRESSURE => {
                let part = ((LOW_PRESSURE - pressure) / RETURN_RANGE).min(1.0);
                -self.pace.decline() * elapsed * part
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
        let max_step = self.pace.approach() * elapsed;
        let step = (mean - self.share) * APPROACH_RATE * elapsed;
        self.share = (self.share + step.clamp(-max_step, max_step)).clamp(0.0, 1.0);
    }

    /// Selects the side on which a request runs, of those that have room for it. `point` is a number from 0 to 1 that is
    /// fixed for an object, so that the same objects run outside and stay warm there. A request whose object would take the
    /// host too far from its share runs on the other side, as objects come unevenly.
    pub fn select_side(&mut self, point: f64, inside: bool, outside: bool) -> SideSelection {
        let is_spilled = match self.due_outside {
            due if self.is_closed() => due >= 1.0,
            due if due >= 1.0 + SPILL_TOLERANCE => true,
            due if due <= -SPILL_TOLERANCE => false,
            _ => point < self.spilled_part(),
        };
        let side = match (inside, outside) {
            (_, true) if is_spilled => Some(SpillSide::Outside),
            (true, _) if !is_spilled || self.is_closed() || self.take_return() => {
                Some(SpillSide::Inside)
            }
            _ => None,
        };
        SideSelection { side, is_spilled }
    }

    /// Records the side selected for a request and where it runs, if it does. In a closed region the share is one of the
    /// requests that run; where no target is open at all, refused ones count a little, so that the region is not left without
    /// service.
    pub fn record_run(&mut self, selection: SideSelection, ran: Option<SpillSide>) {
        let is_outside = match self.is_closed() {
            true => ran == Some(SpillSide::Outside),
            false => selection.is_spilled,
        };
        let due = match ran {
            _ if !self.is_closed() => self.spilled_part(),
            Some(_) => self.share,
            None if self.open_share < NO_TARGET_SHARE => self.share * MIN_ROOM,
            None => 0.0,
        };
        let due = self.due_outside + due - f64::from(u8::from(is_outside));
        self.due_outside = due.clamp(-1.0 - SPILL_TOLERANCE, 1.0 + MAX_DUE);
    }

    /// Part of the requests to select for outside, so that the share of those that find room runs there.
    fn spilled_part(&self) -> f64 {
        let RegionRoom { inside, outside } = self.room;
        let ratio = (inside / outside.max(MIN_ROOM)).clamp(MIN_ROOM, 1.0);
        self.share * ratio / (1.0 - self.share + self.share * ratio)
    }

    /// Whether limits or pauses keep most requests from the region's targets.
    pub(super) fn is_closed(&self) -> bool {
        self.open_share < CLOSED_SHARE
    }

    fn take_return(&mut self) -> bool {
        let may_return = self.returns >= 1.0;
        if may_return {
            self.returns -= 1.0;
        }
        may_return
    }

    fn has_recent_loss(&self, now: Instant) -> bool {
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
