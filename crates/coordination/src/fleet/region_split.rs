//! Divides the requests that run outside a region among the other regions. The division follows their room at a limited pace.
//!
//! Load that this answers: targets of one region that state limits, pause or leave while hosts of another region send it much
//! of their surplus. The next region would get that part at once, and lose it at once when the trouble ends.

use std::time::Instant;

use indexmap::IndexMap;

use crate::fleet::target_balancer::mix_hashes;
use crate::ids::RegionId;
use crate::rendezvous::rendezvous_score;

/// Lowest share of requests outside by which the pace is divided.
const MIN_OUTSIDE_SHARE: f64 = 0.1;
/// Requests by which a host may be ahead of a region's part or behind it, so that objects stay in their region.
const PART_TOLERANCE: f64 = 2.0;
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
}

#[derive(Clone, Copy, Debug)]
struct RegionPart {
    part: f64,
    hash: u64,
    /// Requests that are due in the region by its part and were not selected yet; negative if too many were.
    due: f64,
    /// Requests that the region took for others and not given back yet; negative if others took more.
    taken: f64,
}

impl RegionSplit {
    /// Creates a split by the regions' room, in slots.
    pub(super) fn new(rooms: &IndexMap<RegionId, f64>, outside_share: f64, now: Instant) -> Self {
        let all: f64 = rooms.values().sum();
        let parts = rooms.iter().map(|(region, room)| {
            let part = if all > 0.0 { room / all } else { 1.0 / rooms.len() as f64 };
            (
                region.clone(),
                RegionPart { part, hash: rendezvous_score(&[region]), due: 0.0, taken: 0.0 },
            )
        });
        Self { parts: parts.collect(), updated_at: now, outside_share }
    }

    /// When the parts were updated last.
    pub(super) fn updated_at(&self) -> Instant {
        self.updated_at
    }

    /// Moves the parts towards the regions' room. Requests that change the region in which they run make up at most
    /// `change_per_second` of all requests, those included that moved because `outside_share` changed.
    pub(super) fn update(
        &mut self,
        rooms: &IndexMap<RegionId, f64>,
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
            self.parts.entry(region.clone()).or_insert(RegionPart { part: 0.0, ..*wanted });
        }
        let part_wanted = |region: &RegionId| wanted.get(region).map_or(0.0, |wanted| wanted.part);
        let differences = self.parts.iter().map(|(region, known)| part_wanted(region) - known.part);
        let difference: f64 = differences.map(|difference| difference.max(0.0)).sum();
        let step =
            budget / outside_share.max(MIN_OUTSIDE_SHARE) / difference.max(f64::MIN_POSITIVE);
        for (region, known) in &mut self.parts {
            known.part += (part_wanted(region) - known.part) * step.min(1.0);
        }
    }

    /// Selects the region outside in which an object runs. All hosts with the same parts select the same one, except for
    /// objects that would take a host too far from its parts. With `is_even` the region is selected that is furthest behind.
    pub(super) fn select(&self, object_hash: u64, is_even: bool) -> Option<&RegionId> {
        let tolerance = if is_even { 0.0 } else { PART_TOLERANCE };
        let latest = self.parts.iter().max_by(|a, b| a.1.due.total_cmp(&b.1.due));
        match latest {
            Some((region, part)) if part.due >= 1.0 + tolerance || is_even => Some(region),
            _ => self.select_home(object_hash, |_, part| part.due > -1.0 - tolerance),
        }
    }

    /// Selects the region outside in which an object runs, of those that a request allows.
    pub(super) fn select_allowed(
        &self,
        object_hash: u64,
        allowed_regions: &[RegionId],
    ) -> Option<&RegionId> {
        self.select_home(object_hash, |region, _| allowed_regions.contains(region))
    }

    /// Records that a request that was selected for a region outside runs outside.
    pub(super) fn record_selection(&mut self, region: &RegionId) {
        for (known, part) in &mut self.parts {
            part.due += part.part - f64::from(u8::from(known == region));
            part.taken -= part.taken.clamp(-EXCHANGE_SHARE, EXCHANGE_SHARE);
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
                part.taken += change;
            }
        }
    }

    /// Region with the highest score for an object, in proportion to the parts.
    fn select_home(
        &self,
        object_hash: u64,
        fits: impl Fn(&RegionId, &RegionPart) -> bool,
    ) -> Option<&RegionId> {
        let fitting = self.parts.iter().filter(|(region, part)| fits(region, part));
        let scored = fitting.map(|(region, RegionPart { part, hash, .. })| {
            let point = mix_hashes(*hash, object_hash) as f64 / u64::MAX as f64;
            let distance = -point.max(f64::MIN_POSITIVE).ln();
            (region, part / distance.max(f64::MIN_POSITIVE))
        });
        scored.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(region, _)| region)
    }
}
