//! Room that a region lost without notice: targets that were in use until their entries went.
//!
//! Load that this answers: a failure domain or a region whose targets are gone, among single targets that crash, restart or
//! leave as announced at any time. Those the normal pace of the spill share makes up for.

use std::time::Duration;
use std::time::Instant;

/// Time within which losses are summed, and for which a large one counts. Entries of targets that ended together expire within
/// two seconds of each other.
const LOSS_TIME: Duration = Duration::from_secs(4);
/// Share of a region's slots from which a loss is large. A smaller one is made up for within seconds at the normal pace.
const LARGE_LOSS: f64 = 0.4;

/// Slots of a service that one region lost lately.
#[derive(Clone, Debug, Default)]
pub(super) struct RoomLosses {
    losses: Vec<(Instant, u32)>,
    large_at: Option<Instant>,
}

impl RoomLosses {
    /// Records the loss of a target with a number of slots, after which the region has `left` slots.
    pub(super) fn record(&mut self, slots: u32, left: u32, now: Instant) {
        self.losses.retain(|(at, _)| now.saturating_duration_since(*at) < LOSS_TIME);
        self.losses.push((now, slots));
        let lost = f64::from(self.losses.iter().map(|(_, slots)| slots).sum::<u32>());
        if lost >= LARGE_LOSS * (lost + f64::from(left)) {
            self.large_at = Some(now);
        }
    }

    /// Whether the region lost a large part of its slots within the last `LOSS_TIME`.
    pub(super) fn are_large(&self, now: Instant) -> bool {
        self.large_at.is_some_and(|at| now.saturating_duration_since(at) < LOSS_TIME)
    }
}
