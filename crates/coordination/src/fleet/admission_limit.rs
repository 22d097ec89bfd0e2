//! Decision whether a target takes a request beside those that come before it.

use crate::fleet::placement_candidate::Candidate;

/// What the next request of one class needs of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReservedRoom {
    /// Time in seconds that its caller has.
    pub(super) time_left_seconds: f64,
    /// Its work in seconds on an average target.
    pub(super) work_seconds: f64,
    /// Time in seconds that is kept free beside its wait and work.
    pub(super) margin_seconds: f64,
}

/// Room that one request leaves in the queue of the target that it runs on: the next request of each class that comes before it
/// could still be answered there before its deadline. A slot that is free is not kept for later.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmissionLimit {
    pub(super) reserved: Vec<ReservedRoom>,
}

impl AdmissionLimit {
    /// Whether the request leaves enough room on a candidate.
    pub(super) fn admits(&self, candidate: &Candidate<'_>) -> bool {
        let is_free = candidate.wait_seconds <= 0.0;
        is_free
            || self.reserved.is_empty()
            || candidate.has_place(1.0) && self.excess_seconds(candidate) <= 0.0
    }

    /// Seconds by which the work in front of the next request is too long for one of those that come first.
    pub(super) fn excess_seconds(&self, candidate: &Candidate<'_>) -> f64 {
        let wait_seconds = candidate.wait_behind(1.0);
        let excess_of = |room: &ReservedRoom| {
            let usable_seconds = room.time_left_seconds - room.margin_seconds;
            let longest = usable_seconds - candidate.seconds_of(room.work_seconds);
            wait_seconds - longest.max(0.0)
        };
        self.reserved.iter().map(excess_of).fold(0.0, f64::max)
    }
}
