//! Recent changes of the state, served to hosts that follow this one.

use std::collections::VecDeque;

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
    first_revision: Revision,
    revision: Revision,
}

impl ChangeHistory {
    /// Records a batch that was applied. With `is_whole` the batch replaced the whole part, so that earlier changes can no
    /// longer be followed.
    pub fn record(&mut self, batch: &StateBatch, is_whole: bool) {
        self.revision = self.revision.max(batch.revision);
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

    /// Revision up to which this host knows the part; 0 until the part was read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Changes after a revision, joined into one batch; `None` if they are no longer kept and the part must be read whole.
    pub fn changes_after(&self, revision: Revision) -> Option<StateBatch> {
        if revision < self.first_revision {
            return None;
        }
        let later = self.batches.iter().filter(|batch| batch.revision > revision);
        let mut joined =
            StateBatch { revision: self.revision.max(revision), ..StateBatch::default() };
        for batch in later {
            joined.latest = joined.latest.max(batch.latest);
            joined.changes.extend(batch.changes.iter().cloned());
        }
        Some(joined)
    }
}
