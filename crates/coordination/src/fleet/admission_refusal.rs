//! Refusal of a request that finds no room, and when there will be some.

use std::time::Duration;

use rand::RngExt;

use crate::fleet::PlacementRefusal;
use crate::fleet::PlacementRequest;
use crate::fleet::longest_pause;
use crate::fleet::placement_candidate::Candidate;
use crate::fleet::placement_candidate::CandidateSet;
use crate::fleet::placement_candidate::TargetSide;

impl CandidateSet<'_> {
    /// Refusal of a request that no target answers in time, or for which those that do leave no room. `finds_room` tells
    /// whether most requests of its class found room lately.
    pub(super) fn refusal(
        &self,
        request: &PlacementRequest<'_>,
        finds_room: bool,
    ) -> PlacementRefusal {
        let wait = Duration::try_from_secs_f64(self.shortest_wait()).unwrap_or_default();
        let pause = self.return_pause(request, finds_room);
        let pressure = self.pressure.inside;
        let is_in_time = |one: &Candidate<'_>| one.takes(request) && !self.admits(one, request);
        match self.near().any(is_in_time) {
            true => PlacementRefusal::Deferred { pause, wait, pressure },
            false => PlacementRefusal::Busy { pause, wait, pressure },
        }
    }

    /// Time after which the caller may come back: when a target is expected to have room, spread over the time in which it can
    /// still answer the caller. One that can't be answered in the time that it has left, or is not likely to find room within
    /// it, is told that time, or the wait if it is longer.
    fn return_pause(&self, request: &PlacementRequest<'_>, finds_room: bool) -> Duration {
        let time_left = request.time_left.as_secs_f64();
        let rooms = self.near().filter_map(|one| {
            let room_seconds = self.room_seconds(one);
            let delay_seconds = (room_seconds - one.wait_seconds).max(0.0);
            let spare_seconds = time_left - one.latest_seconds() - delay_seconds;
            (spare_seconds >= 0.0).then_some((room_seconds, spare_seconds))
        });
        let earliest = rooms.min_by(|a, b| a.0.total_cmp(&b.0));
        let seconds = match earliest.filter(|_| finds_room) {
            Some((room, spread)) => {
                let honoured = longest_pause(request.time_left).as_secs_f64();
                let spread = if room <= honoured { spread.min(honoured - room) } else { spread };
                room + spread * rand::rng().random_range(0.0..1.0)
            }
            None => self.shortest_wait().max(time_left),
        };
        Duration::try_from_secs_f64(seconds).unwrap_or(request.time_left)
    }

    /// Seconds until a target is expected to have room for the request beside those that come first, and a free place.
    fn room_seconds(&self, candidate: &Candidate<'_>) -> f64 {
        let slots = f64::from(candidate.record.entry.slots.max(1));
        let slot_seconds = candidate.service_seconds / slots;
        let excess = (candidate.load + 1.0 - candidate.places).max(0.0) * slot_seconds;
        excess.max(self.limit.excess_seconds(candidate)).max(slot_seconds)
    }

    /// Shortest expected wait in seconds; infinite without a target.
    fn shortest_wait(&self) -> f64 {
        self.near().map(|one| one.wait_seconds).fold(f64::INFINITY, f64::min)
    }

    /// Targets to which a refused request may come back: those of the own region if it has any.
    fn near(&self) -> impl Iterator<Item = &Candidate<'_>> {
        let has_inside = self.has_open(TargetSide::Inside);
        self.candidates.iter().filter(move |one| !has_inside || one.side == TargetSide::Inside)
    }
}
