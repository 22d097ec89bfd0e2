//! What targets without an entry said before it went missing. An entry of a live target can go missing and come back, and
//! what the target said to this host binds it all the while.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::fleet::TargetEntry;
use crate::fleet::TargetPause;
use crate::ids::TargetId;

/// Time for which a target without an entry is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(600);
/// Most targets that are remembered.
const MAX_TARGETS: usize = 4_096;

/// Statements of targets whose entries went missing, by target.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartedTargets {
    targets: IndexMap<TargetId, DepartedTarget>,
}

#[derive(Clone, Debug)]
struct DepartedTarget {
    started_at: u64,
    pause: TargetPause,
    departed_at: Instant,
}

impl DepartedTargets {
    /// Keeps what a target said whose entry went missing.
    pub(super) fn keep(&mut self, entry: &TargetEntry, pause: TargetPause, now: Instant) {
        self.targets
            .retain(|_, target| now.saturating_duration_since(target.departed_at) < MEMORY_TIME);
        if self.targets.len() < MAX_TARGETS && pause.is_paused(now) {
            let kept = DepartedTarget { started_at: entry.started_at, pause, departed_at: now };
            self.targets.insert(entry.target.clone(), kept);
        }
    }

    /// Takes back what the same process of a target said before; `None` for another process.
    pub(super) fn take(&mut self, entry: &TargetEntry) -> Option<TargetPause> {
        let departed = self.targets.swap_remove(&entry.target)?;
        (departed.started_at == entry.started_at).then_some(departed.pause)
    }
}
