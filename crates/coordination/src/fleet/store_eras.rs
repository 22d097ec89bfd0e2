//! What a host goes by while the store has come back from an older copy and not all of its writers have written again.
//!
//! Load that this answers: a store that brings back targets that left and loses that they drain. What the host read before
//! holds against the copy for some time; a target that is gone expires in the store meanwhile.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::TargetBalancer;
use crate::fleet::TargetState;

/// Time for which what was read before holds against the copy: many intervals in which targets write to the store.
pub const RECONCILE_TIME: Duration = Duration::from_secs(30);

impl TargetBalancer {
    /// Records that the store came back from an older copy, before the targets of the copy are added. A target that drains
    /// does not take that back while its process runs.
    pub fn begin_era(&mut self, now: Instant) {
        self.era_began_at = Some(now);
        let draining =
            self.targets.values_mut().filter(|record| record.entry.state == TargetState::Draining);
        draining.for_each(|record| record.tracker.is_leaving = true);
        for record in self.targets.values_mut() {
            let held_until = &mut record.tracker.held_until;
            *held_until = held_until.map(|_| now + RECONCILE_TIME);
        }
    }

    /// Lets targets take requests again that the copy brought back and the store still holds after `RECONCILE_TIME`.
    pub fn release_held_targets(&mut self, now: Instant) {
        for record in self.targets.values_mut() {
            let is_due = record.tracker.held_until.is_some_and(|until| now >= until);
            record.tracker.held_until = record.tracker.held_until.filter(|_| !is_due);
        }
    }

    /// End of the time for which a target is held back whose entry came back after it had gone; `None` if it went missing in
    /// this era.
    pub(super) fn hold_end(&self, departed_at: Instant, now: Instant) -> Option<Instant> {
        let until = self.era_began_at.filter(|began_at| departed_at < *began_at)? + RECONCILE_TIME;
        (now < until).then_some(until)
    }
}
