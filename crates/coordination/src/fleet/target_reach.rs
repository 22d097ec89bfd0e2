//! Whether a host can open connections to targets at all.
//!
//! Load that this answers: callers of a host that lost its own links. Failures of many targets without an opened connection
//! between them are a fault of the host, not of the targets.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::TargetId;

/// Targets that must be unreachable in a row for the host to count as cut off, or all if it knows fewer.
const LOST_TARGETS: usize = 3;
/// Time for which an unreachable target counts.
const EVIDENCE_TIME: Duration = Duration::from_secs(5);
/// Pause between two trial connections of a host that is cut off.
const TRIAL_PAUSE: Duration = Duration::from_millis(500);

/// Effect of an opened or failed connection on what is known of the host's links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachChange {
    /// The host reaches targets as before, or not as before.
    Same,
    /// The host no longer reaches any target.
    Lost,
    /// The host reaches targets again.
    Regained,
}

/// Latest results of opening connections to targets.
#[derive(Clone, Debug, Default)]
pub struct TargetReach {
    unreachable: IndexMap<TargetId, Instant>,
    is_lost: bool,
    tried_at: Option<Instant>,
}

impl TargetReach {
    /// Records that a connection to any target was opened.
    pub fn record_opened(&mut self) -> ReachChange {
        self.unreachable.clear();
        match std::mem::take(&mut self.is_lost) {
            true => ReachChange::Regained,
            false => ReachChange::Same,
        }
    }

    /// Records that no connection to a target could be opened, or that an open one went silent. `known_targets` is the
    /// number of targets that the host knows.
    pub fn record_unreachable(
        &mut self,
        target: &TargetId,
        known_targets: usize,
        now: Instant,
    ) -> ReachChange {
        self.unreachable.retain(|_, at| now.saturating_duration_since(*at) < EVIDENCE_TIME);
        self.unreachable.insert(target.clone(), now);
        let was_lost = self.is_lost;
        self.is_lost |= self.unreachable.len() >= LOST_TARGETS.min(known_targets.max(1));
        match self.is_lost && !was_lost {
            true => ReachChange::Lost,
            false => ReachChange::Same,
        }
    }

    /// Whether the host reaches no target.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Targets that were unreachable since a connection was last opened.
    pub fn unreachable_targets(&self) -> impl Iterator<Item = &TargetId> {
        self.unreachable.keys()
    }

    /// Whether a host that is cut off is to try a connection now; it then does not try again for a pause.
    pub fn take_trial(&mut self, now: Instant) -> bool {
        let is_due =
            self.tried_at.is_none_or(|at| now.saturating_duration_since(at) >= TRIAL_PAUSE);
        let is_taken = self.is_lost && is_due;
        if is_taken {
            self.tried_at = Some(now);
        }
        is_taken
    }
}
