//! Recent changes of the state, served to hosts that follow this one.

use std::collections::VecDeque;

use coordination::fleet::StateVersion;
use coordination::ids::Era;
use coordination::ids::Revision;

use crate::interface::StateBatch;
use crate::interface::StateChange;

/// Number of batches kept: minutes of usual changes, or seconds of a burst. A host that is further behind reads the whole
/// part.
const MAX_BATCHES: usize = 256;

/// The latest changes of one part of the state, oldest first.
#[derive(Debug, Default)]
pub struct ChangeHistory {
    batches: VecDeque<StateBatch>,
    era: Era,
    first_revision: Revision,
    revision: Revision,
}

impl ChangeHistory {
    /// Records a batch that was applied. With `is_whole` the batch replaced the whole part, so that earlier changes can no
    /// longer be followed; only such a batch begins a later era of the store.
    pub fn record(&mut self, batch: &StateBatch, is_whole: bool) {
        self.revision = match batch.era > self.era {
            true => batch.revision,
            false => self.revision.max(batch.revision),
        };
        self.era = batch.era;
        if is_whole {
            self.batches.clear();
            self.first_revision = self.revision;
            return;
        }
        let Some(last) = batch.changes.last() else { return };
        if matches!(last, StateChange::Configuration(_)) {
            self.batches.clear();
        }
        self.batches.push_back(batch.clone());
        if self.batches.len() > MAX_BATCHES {
            self.first_revision =
                self.batches.pop_front().map_or(self.first_revision, |oldest| oldest.revision);
        }
    }

    /// State up to which this host knows the part; 0 until the part was read.
    pub fn version(&self) -> StateVersion {
        StateVersion { era: self.era, revision: self.revision }
    }

    /// Changes after a state, joined into one batch; `None` if they are no longer kept, or are of another era of the store, and
    /// the part must be read whole.
    pub fn changes_after(&self, after: StateVersion) -> Option<StateBatch> {
        if after.era != self.era || after.revision < self.first_revision {
            return None;
        }
        let later = self.batches.iter().filter(|batch| batch.revision > after.revision);
        let mut joined = StateBatch {
            revision: self.revision.max(after.revision),
            era: self.era,
            latest_era: self.era,
            ..StateBatch::default()
        };
        for batch in later {
            joined.latest = joined.latest.max(batch.latest);
            joined.changes.extend(batch.changes.iter().cloned());
        }
        Some(joined)
    }
}
