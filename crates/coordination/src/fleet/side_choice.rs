//! Selects whether a request runs inside its host's region or in another one, within the share that may run there, and keeps
//! account of the room that regions lose.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::fleet::PlacementRequest;
use crate::fleet::RegionRoom;
use crate::fleet::SpillController;
use crate::fleet::SpillSide;
use crate::fleet::TargetBalancer;
use crate::fleet::placement_candidate::Candidate;
use crate::fleet::placement_candidate::CandidateSet;
use crate::fleet::placement_candidate::RegionPressure;
use crate::fleet::placement_candidate::TargetSide;
use crate::fleet::region_split::OutsideRoom;
use crate::fleet::region_split::RegionSplit;
use crate::fleet::target_balancer::TargetRecord;
use crate::fleet::target_balancer::is_region_allowed;
use crate::fleet::target_balancer::mix_hashes;
use crate::ids::RegionId;
use crate::ids::ServiceId;

/// Salt that makes the spill point of an object independent of its rank on targets.
const SPILL_SALT: u64 = 0x5a17;
/// Time between two updates of the division among other regions.
const SPLIT_INTERVAL: Duration = Duration::from_millis(100);

/// Target selected for a request, and whether the request was to run outside.
#[derive(Clone, Copy)]
pub(super) struct SideChoice<'a> {
    pub(super) candidate: Option<Candidate<'a>>,
    pub(super) is_spilled: bool,
}

impl TargetBalancer {
    /// Removes a target and returns whether it was known. If the own region lost much of its room without notice, the spill
    /// share may rise faster.
    pub fn remove_target(&mut self, target: &str, now: Instant) -> bool {
        let Some(record) = self.take_target(target, now) else { return false };
        if !self.takes_requests(&record) {
            return true;
        }
        let region = &record.entry.region;
        let left = self.region_slots(&record.entry.service, region);
        if let Some(service) = self.services.get_mut(&record.entry.service) {
            let losses = service.losses.entry(region.clone()).or_default();
            losses.record(record.entry.slots, left, now);
            let is_open = *region == self.own_host.region && losses.are_large(now);
            let spill = service.spill.as_mut().filter(|_| is_open);
            spill.into_iter().for_each(|spill| spill.record_room_loss(now));
        }
        true
    }

    /// Returns, for each service with requests so far, the share of them that this host sends outside its region, 0 to 1, and
    /// the shares that would find room.
    pub fn spill_rooms(&self) -> impl Iterator<Item = (&ServiceId, f64, RegionRoom)> {
        let spills =
            self.services.iter().filter_map(|(name, known)| Some((name, known.spill.as_ref()?)));
        spills.map(|(name, spill)| (name, spill.share(), spill.room()))
    }

    pub(super) fn take_target(&mut self, target: &str, now: Instant) -> Option<TargetRecord> {
        let record = self.targets.swap_remove(target)?;
        self.departed_targets.keep(&record, now);
        if let Some(service) = self.services.get_mut(&record.entry.service) {
            service.targets.retain(|name| &**name != target);
        }
        Some(record)
    }

    /// Slots of the targets of a region that take requests of a service.
    fn region_slots(&self, service: &ServiceId, region: &RegionId) -> u32 {
        let records = self.open_targets(service).filter(|record| record.entry.region == *region);
        records.map(|record| record.entry.slots).sum()
    }

    /// Targets of a service that take requests, now or after their limit, pause or cold time.
    fn open_targets(&self, service: &ServiceId) -> impl Iterator<Item = &TargetRecord> {
        let names = self.services.get(service).into_iter().flat_map(|service| &service.targets);
        names.filter_map(|name| self.targets.get(name)).filter(|record| self.takes_requests(record))
    }

    /// Moves the division among other regions towards their room.
    pub(super) fn update_split(&mut self, service: &ServiceId, now: Instant) {
        let Some(known) = self.services.get(service) else { return };
        let updated_at = known.split.as_ref().map(RegionSplit::updated_at);
        if updated_at.is_some_and(|at| now.saturating_duration_since(at) < SPLIT_INTERVAL) {
            return;
        }
        let mut rooms: IndexMap<RegionId, OutsideRoom> = IndexMap::new();
        for record in self.open_targets(service) {
            let TargetRecord { entry, tracker, .. } = record;
            if entry.region != self.own_host.region {
                let slots = f64::from(entry.slots);
                let usable = tracker.limit.usable_slots(slots, known.mean_service_seconds);
                let room = rooms.entry(entry.region.clone()).or_default();
                room.slots += slots;
                room.usable += if tracker.pause.may_send(now) { usable } else { 0.0 };
            }
        }
        let share = known.spill.as_ref().map_or(0.0, SpillController::share);
        let is_closed = known.spill.as_ref().is_some_and(SpillController::is_closed);
        let pace = self.spill_pace.growth();
        if let Some(record) = self.services.get_mut(service) {
            let split = record.split.get_or_insert_with(|| RegionSplit::new(&rooms, share, now));
            split.update(&rooms, share, pace, now);
            if is_closed {
                split.keep(now);
            }
        }
    }

    /// Region outside in which a request is to run if it does not run inside; `None` if it may run in any of them. It is the
    /// region of the object's home among the targets outside, weighted by how the division differs from the regions' slots.
    pub(super) fn far_region(
        &self,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> Option<&RegionId> {
        let service = self.services.get(request.service)?;
        let split = service.split.as_ref().filter(|split| split.is_kept(now))?;
        if !request.allowed_regions.is_empty() {
            return None;
        }
        if service.spill.as_ref().is_some_and(SpillController::is_closed) {
            return split.select_latest();
        }
        let object_hash = request.object_hash.unwrap_or_else(rand::random);
        let outside = self
            .open_targets(request.service)
            .filter(|record| record.entry.region != self.own_host.region);
        let scored = outside.map(|record| {
            let point = mix_hashes(record.hash, object_hash) as f64 / u64::MAX as f64;
            let distance = -point.max(f64::MIN_POSITIVE).ln();
            let region = &record.entry.region;
            (region, split.weight(region) / distance.max(f64::MIN_POSITIVE))
        });
        scored.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(region, _)| region)
    }

    /// Selects the target that a request runs on, of the region in which the shares let it run. Where targets are busy, other
    /// regions take the request and its own region takes it back; where limits or pauses close them, few do, as all requests
    /// would move at once. A region without a target left is not waited for, nor is one that lost much of its room.
    pub(super) fn choose_side<'a>(
        &self,
        request: &PlacementRequest<'_>,
        far_region: Option<&RegionId>,
        set: &CandidateSet<'a>,
        spill: &mut SpillController,
        now: Instant,
    ) -> SideChoice<'a> {
        let find = |side: TargetSide| set.cheapest(side, request);
        let inside = find(TargetSide::Inside);
        let (outside, elsewhere) = (find(TargetSide::Outside), find(TargetSide::Elsewhere));
        if !self.may_run_on_both_sides(request) {
            return SideChoice { candidate: inside.or(outside).or(elsewhere), is_spilled: false };
        }
        let has_open = |side: TargetSide| set.has_open(side);
        let has_room = (inside.is_some(), outside.or(elsewhere).is_some());
        spill.record_room(has_open(TargetSide::Inside), has_room.0, has_room.1, now);
        self.update_spill(request.service, set.pressure, spill, now);
        let is_lost = |region: &RegionId| self.is_region_lost(request, region, now);
        let far = match (outside, elsewhere) {
            (None, Some(other))
                if has_open(TargetSide::Outside)
                    || self.may_exchange(request, far_region, &other, now) =>
            {
                Some(other)
            }
            (outside, _) => outside,
        };
        let point = spill_point(request.object_hash);
        let selection = spill.select_side(point, inside.is_some(), far.is_some());
        let candidate = match selection.side {
            Some(SpillSide::Inside) => inside,
            Some(SpillSide::Outside) => far,
            None if inside.is_none() => {
                far.or(elsewhere).filter(|_| is_lost(&self.own_host.region))
            }
            None => {
                let is_busy = has_open(TargetSide::Outside) || has_open(TargetSide::Elsewhere);
                inside.filter(|_| is_busy || far_region.is_none_or(is_lost))
            }
        };
        let ran = candidate.map(|chosen| match chosen.side {
            TargetSide::Inside => SpillSide::Inside,
            TargetSide::Outside | TargetSide::Elsewhere => SpillSide::Outside,
        });
        spill.record_run(selection, ran);
        SideChoice { candidate, is_spilled: selection.is_spilled }
    }

    fn update_spill(
        &self,
        service: &ServiceId,
        pressure: RegionPressure,
        spill: &mut SpillController,
        now: Instant,
    ) {
        spill.update_share(pressure.inside, pressure.outside, now);
        if let Some(mean) = self.neighbour_spill_shares.get(service) {
            spill.approach_mean(*mean, now);
        }
    }

    /// Whether a request runs in another region outside than the selected one, which has no room for it.
    fn may_exchange(
        &self,
        request: &PlacementRequest<'_>,
        far_region: Option<&RegionId>,
        other: &Candidate<'_>,
        now: Instant,
    ) -> bool {
        let Some(far_region) = far_region else { return true };
        let service = self.services.get(request.service);
        let split = service.and_then(|service| service.split.as_ref());
        split.is_none_or(|split| split.may_take(&other.record.entry.region))
            || self.is_region_lost(request, far_region, now)
    }

    /// Stores the spill state of a service after a request. `selected` is the region outside selected for a request that may
    /// run in any region and was to run outside, and `ran` the region outside in which it runs.
    pub(super) fn record_side(
        &mut self,
        service: &ServiceId,
        spill: SpillController,
        selected: Option<RegionId>,
        ran: Option<RegionId>,
    ) {
        let Some(service) = self.services.get_mut(service) else { return };
        service.spill = Some(spill);
        let Some(split) = &mut service.split else { return };
        if let Some(ran) = &ran {
            split.record_run(ran);
        }
        match (selected, ran) {
            (Some(selected), Some(ran)) if selected != ran => {
                split.record_selection(&selected);
                split.record_exchange(&selected, &ran);
            }
            (Some(selected), _) => split.record_selection(&selected),
            (None, _) => {}
        }
    }

    /// Whether requests that are to run in a region may run in others at once.
    fn is_region_lost(
        &self,
        request: &PlacementRequest<'_>,
        region: &RegionId,
        now: Instant,
    ) -> bool {
        let service = self.services.get(request.service);
        let losses = service.and_then(|service| service.losses.get(region));
        let has_target = self.open_targets(request.service).any(|record| {
            record.entry.region == *region
                && is_region_allowed(record, request)
                && !request.excluded_targets.contains(&record.entry.target)
        });
        !has_target || losses.is_some_and(|losses| losses.are_large(now))
    }

    /// Whether a request may run inside as well as outside the region.
    fn may_run_on_both_sides(&self, request: &PlacementRequest<'_>) -> bool {
        let regions = request.allowed_regions;
        regions.is_empty() || regions.len() > 1 && regions.contains(&self.own_host.region)
    }
}

/// Maps an object to a number from 0 to 1, the same on all hosts; a request without an object gets a random number.
fn spill_point(object_hash: Option<u64>) -> f64 {
    let hash =
        object_hash.map_or_else(rand::random, |object_hash| mix_hashes(SPILL_SALT, object_hash));
    hash as f64 / u64::MAX as f64
}
