//! What targets without an entry said, before it went missing or since. An entry of a live target can go missing and come
//! back, and what the target said to this host binds it all the while.
//!
//! Load that this answers: answers under way to targets whose entries go missing, as around an outage of the store.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::fleet::TargetEntry;
use crate::fleet::TargetPause;
use crate::fleet::TargetTracker;
use crate::fleet::target_balancer::TargetRecord;
use crate::ids::TargetId;

/// Time for which a target without an entry is remembered.
const MEMORY_TIME: Duration = Duration::from_secs(600);
/// Most targets that are remembered, and from how many on none is that said nothing.
const MAX_TARGETS: usize = 4_096;
const MAX_SILENT_TARGETS: usize = 2_048;

/// Statements of targets whose entries went missing, by target.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartedTargets {
    targets: IndexMap<TargetId, DepartedTarget>,
}

/// What a target said to this host.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetStatements {
    pub(super) is_leaving: bool,
    pub(super) pause: TargetPause,
}

/// A target without an entry, as this host remembers it.
#[derive(Clone, Debug)]
pub(super) struct DepartedTarget {
    started_at: u64,
    pub(super) statements: TargetStatements,
    pub(super) departed_at: Instant,
}

impl DepartedTargets {
    /// Keeps when a target's entry went missing, and what the target had said.
    pub(super) fn keep(&mut self, record: &TargetRecord, now: Instant) {
        self.forget_old(now);
        let TargetTracker { is_leaving, pause, .. } = &record.tracker;
        let statements = TargetStatements { is_leaving: *is_leaving, pause: pause.clone() };
        let is_silent = !*is_leaving && !pause.is_paused(now);
        let room = if is_silent { MAX_SILENT_TARGETS } else { MAX_TARGETS };
        if self.targets.len() < room {
            let started_at = record.entry.started_at;
            let kept = DepartedTarget { started_at, statements, departed_at: now };
            self.targets.insert(record.entry.target.clone(), kept);
        }
    }

    /// Statements of a process of a target without an entry, to be added to; `None` if too many targets are remembered, or a
    /// later process of the target is.
    pub(super) fn statements_mut(
        &mut self,
        target: &str,
        started_at: u64,
        now: Instant,
    ) -> Option<&mut TargetStatements> {
        self.forget_old(now);
        if self.targets.len() >= MAX_TARGETS && !self.targets.contains_key(target) {
            return None;
        }
        let statements = TargetStatements::default();
        let fresh = DepartedTarget { started_at, statements, departed_at: now };
        let known = self.targets.entry(target.into()).or_insert_with(|| fresh.clone());
        if known.started_at < started_at {
            *known = fresh;
        }
        (known.started_at == started_at).then_some(&mut known.statements)
    }

    fn forget_old(&mut self, now: Instant) {
        self.targets
            .retain(|_, target| now.saturating_duration_since(target.departed_at) < MEMORY_TIME);
    }

    /// Takes back what is remembered of the same process of a target; `None` for another process.
    pub(super) fn take(&mut self, entry: &TargetEntry) -> Option<DepartedTarget> {
        let departed = self.targets.swap_remove(&entry.target)?;
        (departed.started_at == entry.started_at).then_some(departed)
    }
}
