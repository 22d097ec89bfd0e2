//! Divides the requests that run outside a region among the other regions. The division follows their room at a limited pace.
//!
//! Load that this answers: targets of one region that state limits, pause or leave while hosts of another region send it much
//! of their surplus. The next region would get that part at once, and lose it at once when the trouble ends.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::RegionId;

/// Lowest share of requests outside by which the pace is divided.
const MIN_OUTSIDE_SHARE: f64 = 0.1;
/// Lowest part of a region in the slots outside by which its part is divided.
const MIN_ROOM_PART: f64 = 0.01;
/// Share of all requests that the parts would move from which they are kept to, and the time for which they are.
const KEPT_DIFFERENCE: f64 = 0.02;
const KEEP_TIME: Duration = Duration::from_secs(10);
/// Weight of one request in the parts of the requests outside that ran lately.
const RUN_WEIGHT: f64 = 0.05;
/// Requests that a region may have taken for others before these take some for it, and the part of the requests outside by
/// which that is forgotten.
const MAX_TAKEN: f64 = 1.5;
const EXCHANGE_SHARE: f64 = 0.05;

/// Parts, 0 to 1, of a service's requests outside that run in each of the other regions.
#[derive(Clone, Debug)]
pub(super) struct RegionSplit {
    parts: IndexMap<RegionId, RegionPart>,
    updated_at: Instant,
    /// Share of all requests that ran outside when the parts were updated last.
    outside_share: f64,
    kept_until: Option<Instant>,
}

/// Room of a region outside, in slots.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutsideRoom {
    /// Slots of all targets that take requests.
    pub(super) slots: f64,
    /// Those that limits and pauses leave.
    pub(super) usable: f64,
}

#[derive(Clone, Copy, Debug)]
struct RegionPart {
    part: f64,
    /// Part that the region would have, moved at the same pace whether the parts are kept to or not.
    settled: f64,
    /// Part of the requests outside that ran there lately.
    ran: f64,
    /// Part of the region in the slots of all regions outside, whether limits or pauses close them or not.
    room_part: f64,
    /// Requests that are due in the region by its part and were not selected yet; negative if too many were.
    due: f64,
    /// Requests that the region took for others and not given back yet; negative if others took more.
    taken: f64,
}

impl RegionSplit {
    /// Creates a split by the regions' room.
    pub(super) fn new(
        rooms: &IndexMap<RegionId, OutsideRoom>,
        outside_share: f64,
        now: Instant,
    ) -> Self {
        let all_usable: f64 = rooms.values().map(|room| room.usable).sum();
        let all_slots: f64 = rooms.values().map(|room| room.slots).sum();
        let even = 1.0 / rooms.len().max(1) as f64;
        let parts = rooms.iter().map(|(region, room)| {
            let part = if all_usable > 0.0 { room.usable / all_usable } else { even };
            let room_part = if all_slots > 0.0 { room.slots / all_slots } else { even };
            (
                region.clone(),
                RegionPart { part, settled: part, ran: part, room_part, due: 0.0, taken: 0.0 },
            )
        });
        Self { parts: parts.collect(), updated_at: now, outside_share, kept_until: None }
    }

    /// When the parts were updated last.
    pub(super) fn updated_at(&self) -> Instant {
        self.updated_at
    }

    /// Moves the parts towards the regions' room. Requests that change the region in which they run make up at most
    /// `change_per_second` of all requests, those included that moved because `outside_share` changed.
    pub(super) fn update(
        &mut self,
        rooms: &IndexMap<RegionId, OutsideRoom>,
        outside_share: f64,
        change_per_second: f64,
        now: Instant,
    ) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64().min(1.0);
        let moved = (outside_share - self.outside_share).abs();
        (self.updated_at, self.outside_share) = (now, outside_share);
        let budget = (change_per_second * elapsed - moved).max(0.0);
        let wanted = Self::new(rooms, outside_share, now).parts;
        for (region, wanted) in &wanted {
            let unknown = RegionPart { part: 0.0, settled: 0.0, ran: 0.0, ..*wanted };
            let known = self.parts.entry(region.clone()).or_insert(unknown);
            known.room_part = wanted.room_part;
        }
        let part_wanted = |region: &RegionId| wanted.get(region).map_or(0.0, |wanted| wanted.part);
        let step_of = |difference: f64| {
            let step = budget / outside_share.max(MIN_OUTSIDE_SHARE);
            (step / difference.max(f64::MIN_POSITIVE)).min(1.0)
        };
        let difference_of = |part: fn(&RegionPart) -> f64| -> f64 {
            let known = self.parts.iter();
            known.map(|(region, known)| (part_wanted(region) - part(known)).max(0.0)).sum()
        };
        let unsettled = difference_of(|known| known.settled);
        let (step, settled_step) = (step_of(difference_of(|known| known.part)), step_of(unsettled));
        if unsettled * outside_share > KEPT_DIFFERENCE {
            self.keep(now);
        }
        let is_kept = self.is_kept(now);
        for (region, known) in &mut self.parts {
            known.settled += (part_wanted(region) - known.settled) * settled_step;
            match is_kept {
                true => known.part += (part_wanted(region) - known.part) * step,
                false => known.part = known.ran,
            }
        }
    }

    /// Selects the region outside that is furthest behind its part.
    pub(super) fn select_latest(&self) -> Option<&RegionId> {
        let latest = self.parts.iter().max_by(|a, b| a.1.due.total_cmp(&b.1.due));
        latest.map(|(region, _)| region)
    }

    /// Whether the parts are kept to: for a time from when they last differed from the regions' room, or from `keep`. At other
    /// times targets of all regions outside are chosen by cost alone.
    pub(super) fn is_kept(&self, now: Instant) -> bool {
        self.kept_until.is_some_and(|until| now < until)
    }

    /// Keeps to the parts for a time.
    pub(super) fn keep(&mut self, now: Instant) {
        self.kept_until = Some(now + KEEP_TIME);
    }

    /// Weight of the targets of a region in the choice of an object's region: above 1 for one whose part is larger than its
    /// room.
    pub(super) fn weight(&self, region: &RegionId) -> f64 {
        self.parts.get(region).map_or(1.0, |part| part.part / part.room_part.max(MIN_ROOM_PART))
    }

    /// Records that a region was selected for a request that is to run outside, whether it has room there or not.
    pub(super) fn record_selection(&mut self, region: &RegionId) {
        for (known, part) in &mut self.parts {
            part.due += part.part - f64::from(u8::from(known == region));
            part.taken -= part.taken.clamp(-EXCHANGE_SHARE, EXCHANGE_SHARE);
        }
    }

    /// Records that a request runs in a region outside.
    pub(super) fn record_run(&mut self, region: &RegionId) {
        for (known, part) in &mut self.parts {
            part.ran += RUN_WEIGHT * (f64::from(u8::from(known == region)) - part.ran);
        }
    }

    /// Whether a region may take a request that was selected for another one, which has no room for it.
    pub(super) fn may_take(&self, region: &RegionId) -> bool {
        self.parts.get(region).is_none_or(|part| part.taken < MAX_TAKEN)
    }

    /// Records that a region took a request that was selected for another one.
    pub(super) fn record_exchange(&mut self, selected: &RegionId, region: &RegionId) {
        for (known, change) in [(selected, -1.0), (region, 1.0)] {
            if let Some(part) = self.parts.get_mut(known) {
                part.taken = (part.taken + change).clamp(-MAX_TAKEN, MAX_TAKEN);
            }
        }
    }
}
