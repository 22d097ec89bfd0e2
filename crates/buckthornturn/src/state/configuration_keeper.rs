//! Keeps the state in force and the latest records, and moves only forward.

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

/// Records kept for peers that lag.
const MAX_TAIL_RECORDS: usize = 1_024;
/// Bytes of records kept for peers that lag.
const MAX_TAIL_BYTES: usize = 4 << 20;
/// Time for which an encoded state is kept for peers that read it piece by piece.
const ENCODED_STATE_LIFE: Duration = Duration::from_secs(30);

/// What came of taking changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeOutcome {
    /// All are in force now, or were before.
    Complete,
    /// A record before one of them is missing.
    Gap,
    /// One cannot be read.
    Unreadable,
}

/// Keeps the state in force and the latest records.
pub struct ConfigurationKeeper {
    cell: ConfigurationCell,
    tail: Mutex<RecordTail>,
    encoded: Mutex<Option<EncodedState>>,
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
    made_at: Instant,
}

impl ConfigurationKeeper {
    /// A keeper that puts states in force in a cell. Nothing else may advance the cell.
    pub fn new(cell: ConfigurationCell) -> Arc<Self> {
        Arc::new(Self { cell, tail: Mutex::default(), encoded: Mutex::default() })
    }

    /// Cell of the state in force.
    pub fn cell(&self) -> &ConfigurationCell {
        &self.cell
    }

    /// Revision in force.
    pub fn revision(&self) -> Revision {
        self.cell.load().revision
    }

    /// Puts changes in force as far as they follow on what is in force; those already in force are skipped.
    pub fn take(&self, changes: Vec<WireChange>, source: &str) -> TakeOutcome {
        let mut tail = self.tail.lock().unwrap_or_else(PoisonError::into_inner);
        let before = self.cell.load();
        let mut next: Option<ConfigurationState> = None;
        let mut outcome = TakeOutcome::Complete;
        for change in changes {
            let revision = next.as_ref().map_or(before.revision, |state| state.revision);
            if change.revision <= revision {
                continue;
            }
            if change.revision != revision + 1 {
                outcome = TakeOutcome::Gap;
                break;
            }
            let state = next.get_or_insert_with(|| (*before).clone());
            match LogRecord::decode(&change.encoded) {
                Ok(record) if record.apply(state) => tail.push(change),
                Ok(_) => {
                    warn!("log record out of place", kv: { revision = change.revision, source: });
                    outcome = TakeOutcome::Unreadable;
                    break;
                }
                Err(error) => {
                    warn!("log record refused", kv: {
                        revision = change.revision, source:, reason: = error
                    });
                    outcome = TakeOutcome::Unreadable;
                    break;
                }
            }
        }
        if let Some(state) = next.filter(|state| state.revision > before.revision) {
            info!("configuration in force", kv: { revision = state.revision, source: });
            self.cell.replace_if_newer(Arc::new(state));
        }
        outcome
    }

    /// Puts a whole state in force if it is later; returns whether it was.
    pub fn take_state(&self, state: ConfigurationState, source: &str) -> bool {
        let mut tail = self.tail.lock().unwrap_or_else(PoisonError::into_inner);
        let revision = state.revision;
        let taken = self.cell.replace_if_newer(Arc::new(state));
        if taken {
            *tail = RecordTail::default();
            info!("configuration in force", kv: { revision, source: });
        }
        taken
    }

    /// Records after a revision, up to about `max_bytes` but at least one; `None` if they are not kept any more.
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

    /// Encoded state in force, or the one that was a short time ago, so that pieces of it fit together.
    pub fn encoded_state(&self, continued: bool) -> Option<(Revision, Bytes)> {
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        let state = self.cell.load();
        let kept = encoded.as_ref().filter(|kept| {
            kept.revision == state.revision
                || (continued && kept.made_at.elapsed() < ENCODED_STATE_LIFE)
        });
        if let Some(kept) = kept {
            return Some((kept.revision, kept.bytes.clone()));
        }
        let bytes = encode_state(&state).ok()?;
        let made = EncodedState { revision: state.revision, bytes, made_at: Instant::now() };
        let answer = (made.revision, made.bytes.clone());
        *encoded = Some(made);
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
