//! Encoded parts of the state for hosts that read them whole.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use coordination::fleet::StateVersion;
use indexmap::IndexMap;

use crate::entry::EntryState;
use crate::interface::StatePart;

/// Time for which an encoded part of the same version is used again.
const MAX_AGE: Duration = Duration::from_millis(100);

/// Encoded parts by name. Reads that come together share one copy, so that neither its encoding nor its memory grows with
/// their number.
#[derive(Debug, Default)]
pub(super) struct SnapshotCache {
    encoded: Mutex<IndexMap<&'static str, EncodedSnapshot>>,
}

#[derive(Debug)]
struct EncodedSnapshot {
    version: StateVersion,
    at: Instant,
    bytes: Bytes,
}

impl SnapshotCache {
    /// A part of the state as this host has it, encoded.
    ///
    /// # Errors
    ///
    /// Fails if the part cannot be encoded.
    pub(super) fn encode(
        &self,
        state: &EntryState,
        part: StatePart,
    ) -> Result<Bytes, serde_json::Error> {
        let version = state.lock().applied(part);
        let now = Instant::now();
        let mut encoded = self.encoded.lock().unwrap_or_else(PoisonError::into_inner);
        match encoded.get(part.name()) {
            Some(known) if known.version == version && now - known.at < MAX_AGE => {
                return Ok(known.bytes.clone());
            }
            _ => {}
        }
        let bytes = Bytes::from(serde_json::to_vec(&state.snapshot(part))?);
        let snapshot = EncodedSnapshot { version, at: now, bytes: bytes.clone() };
        encoded.insert(part.name(), snapshot);
        Ok(bytes)
    }
}
