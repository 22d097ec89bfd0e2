//! State in force on this host and the latest log records; the revision never decreases.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use coordination::ids::Revision;
use spdlog::info;
use spdlog::warn;

use crate::configuration::ConfigurationCell;
use crate::configuration::ConfigurationState;
use crate::interface::WireChange;
use crate::state::LogRecord;
use crate::state::state_snapshot::encode_state;

/// Largest number of log records held for peers that lag.
const MAX_TAIL_RECORDS: usize = 1_024;
/// Size limit of the log records held for peers that lag, in bytes.
const MAX_TAIL_BYTES: usize = 4 << 20;
/// Time for which an encoded state is held for peers that pull it piece by piece.
const ENCODED_STATE_LIFETIME: Duration = Duration::from_secs(30);

/// Result of applying changes. Changes before a gap or an unreadable one are in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// All changes are in force now or were before.
    Complete,
    /// A record before one of the changes is missing.
    Gap,
    /// A change cannot be decoded or contains another revision.
    Unreadable,
}

/// Holds the state in force and the latest log records, and serves both to peers.
pub struct ConfigurationReplica {
    cell: ConfigurationCell,
    tail: Mutex<RecordTail>,
    encoded_state: Mutex<Option<EncodedState>>,
}

#[derive(Default)]
struct RecordTail {
    records: VecDeque<WireChange>,
    bytes: usize,
}

#[derive(Clone)]
struct EncodedState {
    revision: Revision,
    bytes: Bytes,
    encoded_at: Instant,
}

impl ConfigurationReplica {
    /// Creates a replica that publishes its state in `cell`. Nothing else may advance the cell.
    pub fn new(cell: ConfigurationCell) -> Arc<Self> {
        Arc::new(Self { cell, tail: Mutex::default(), encoded_state: Mutex::default() })
    }

    /// Cell in which the state in force is published.
    pub fn cell(&self) -> &ConfigurationCell {
        &self.cell
    }

    /// Revision of the state in force; 0 before the first change.
    pub fn revision(&self) -> Revision {
        self.cell.load().revision
    }

    /// Puts changes in force in the given order, as far as each follows the revision in force; changes already in force
    /// are skipped. `source` names their origin in log lines.
    pub fn apply_changes(&self, changes: Vec<WireChange>, source: &str) -> ApplyOutcome {
        let mut tail = self.tail.lock().unwrap_or_else(PoisonError::into_inner);
        let current_state = self.cell.load();
        let mut next_state: Option<ConfigurationState> = None;
        let mut outcome = ApplyOutcome::Complete;
        for change in changes {
            let revision =
                next_state.as_ref().map_or(current_state.revision, |state| state.revision);
            if change.revision <= revision {
                continue;
            }
            if change.revision != revision + 1 {
                outcome = ApplyOutcome::Gap;
                break;
            }
            let state = next_state.get_or_insert_with(|| (*current_state).clone());
            match LogRecord::decode(&change.encoded) {
                Ok(record) if record.apply(state) => tail.push(change),
                Ok(_) => {
                    warn!("log record out of place", kv: { revision = change.revision, source: });
                    outcome = ApplyOutcome::Unreadable;
                    break;
                }
                Err(error) => {
                    warn!("log record refused", kv: {
                        revision = change.revision, source:, reason: = error
                    });
                    outcome = ApplyOutcome::Unreadable;
                    break;
                }
            }
        }
        if let Some(state) = next_state.filter(|state| state.revision > current_state.revision) {
            info!("configuration in force", kv: { revision = state.revision, source: });
            self.cell.replace_if_newer(Arc::new(state));
        }
        outcome
    }

    /// Puts a whole state in force if its revision is later; returns whether it was. The log records held so far are
    /// then dropped.
    pub fn replace_state(&self, state: ConfigurationState, source: &str) -> bool {
        let mut tail = self.tail.lock().unwrap_or_else(PoisonError::into_inner);
        let revision = state.revision;
        let is_newer = self.cell.replace_if_newer(Arc::new(state));
        if is_newer {
            *tail = RecordTail::default();
            info!("configuration in force", kv: { revision, source: });
        }
        is_newer
    }

    /// Records after a revision, up to `max_bytes` but at least one; `None` if they are no longer held.
    pub fn changes_after(&self, after: Revision, max_bytes: usize) -> Option<Vec<WireChange>> {
        let tail = self.tail.lock().unwrap_or_else(PoisonError::into_inner);
        if after >= self.revision() {
            return Some(Vec::new());
        }
        let first = tail.records.front()?.revision;
        if after + 1 < first {
            return None;
        }
        let mut bytes = 0;
        let changes =
            tail.records.iter().filter(|change| change.revision > after).take_while(|change| {
                let fits = bytes == 0 || bytes + change.encoded.len() <= max_bytes;
                bytes += change.encoded.len();
                fits
            });
        Some(changes.cloned().collect())
    }

    /// Revision and encoded form of the state in force. With `is_continuation` it may be a state encoded less than
    /// `ENCODED_STATE_LIFETIME` ago, so that the pieces that a peer pulls fit together. `None` if encoding fails.
    pub fn encoded_state(&self, is_continuation: bool) -> Option<(Revision, Bytes)> {
        let mut encoded_state = self.encoded_state.lock().unwrap_or_else(PoisonError::into_inner);
        let state = self.cell.load();
        let cached = encoded_state.as_ref().filter(|cached| {
            cached.revision == state.revision
                || (is_continuation && cached.encoded_at.elapsed() < ENCODED_STATE_LIFETIME)
        });
        if let Some(cached) = cached {
            return Some((cached.revision, cached.bytes.clone()));
        }
        let bytes = encode_state(&state).ok()?;
        let fresh = EncodedState { revision: state.revision, bytes, encoded_at: Instant::now() };
        let answer = (fresh.revision, fresh.bytes.clone());
        *encoded_state = Some(fresh);
        Some(answer)
    }
}

impl RecordTail {
    fn push(&mut self, change: WireChange) {
        self.bytes += change.encoded.len();
        self.records.push_back(change);
        while self.records.len() > MAX_TAIL_RECORDS || self.bytes > MAX_TAIL_BYTES {
            match self.records.pop_front() {
                Some(oldest) => self.bytes -= oldest.encoded.len(),
                None => return,
            }
        }
    }
}
