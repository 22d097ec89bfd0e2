//! Writes snapshots to the store, reads them, and trims the log before them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use coordination::ids::Revision;
use sha2::Digest;
use sha2::Sha256;
use spdlog::info;
use spdlog::warn;

use crate::configuration::ConfigurationState;
use crate::interface::MAX_VALUE_BYTES;
use crate::interface::ObjectStore;
use crate::interface::StoreError;
use crate::state::LOG_PREFIX;
use crate::state::LogRecord;
use crate::state::snapshot_manifest::MANIFEST_KEY;
use crate::state::snapshot_manifest::PreviousSnapshot;
use crate::state::snapshot_manifest::SnapshotManifest;
use crate::state::snapshot_manifest::piece_key;
use crate::state::state_snapshot::decode_state;
use crate::state::state_snapshot::encode_state;

/// Number of revisions between two snapshots.
pub const SNAPSHOT_INTERVAL: Revision = 200;
/// Number of revisions before the latest snapshot that stay in the log for readers that lag.
const RETAINED_REVISIONS: Revision = 200;
/// Size of a snapshot's piece, in bytes.
const PIECE_BYTES: usize = MAX_VALUE_BYTES - 1_000;
/// Number of replaced snapshots whose pieces stay for readers that lag.
const RETAINED_SNAPSHOTS: usize = 1;
/// Log records that one call of `trim_log` looks at.
const TRIM_BATCH_RECORDS: usize = 100;
/// Pause after each removal, to leave other calls room in the budget of store calls.
const TRIM_PAUSE: Duration = Duration::from_millis(100);
/// Attempts to read a snapshot whose pieces are removed meanwhile because it is replaced.
const MAX_READ_ATTEMPTS: usize = 3;

/// Writes snapshots to the store, reads them, and trims the log before them.
#[derive(Clone)]
pub struct SnapshotStore {
    store: Arc<dyn ObjectStore>,
}

impl SnapshotStore {
    /// Creates access to the snapshots in `store`.
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store }
    }

    /// Revision of the latest snapshot and the trim mark of the log; both are 0 if there is no snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or the manifest cannot be decoded.
    pub async fn revision_marks(&self) -> Result<(Revision, Revision), StoreError> {
        let (manifest, _) = self.read_manifest().await?;
        Ok((manifest.revision, manifest.trimmed_to))
    }

    /// Reads the state of the latest snapshot; `None` if there is no snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer, or the snapshot is damaged or of a newer schema.
    pub async fn read_snapshot(&self) -> Result<Option<ConfigurationState>, StoreError> {
        for _ in 0..MAX_READ_ATTEMPTS {
            let (manifest, version) = self.read_manifest().await?;
            if version.is_none() {
                return Ok(None);
            }
            if let Some(encoded) = self.read_pieces(&manifest).await? {
                return decode_state(&encoded)
                    .map(Some)
                    .map_err(|error| snapshot_error(&error.to_string()));
            }
        }
        Err(snapshot_error("pieces of the snapshot are missing"))
    }

    /// Writes a snapshot if `state` is at least `SNAPSHOT_INTERVAL` revisions after the latest one, then removes pieces
    /// that are no longer retained. Returns whether it wrote one. Of several writers one succeeds, by the conditional
    /// update of the manifest.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or another writer came first. No manifest names the pieces written until
    /// then, so they do no harm.
    pub async fn write_snapshot(&self, state: &ConfigurationState) -> Result<bool, StoreError> {
        let (current, version) = self.read_manifest().await?;
        if state.revision < current.revision + SNAPSHOT_INTERVAL {
            return Ok(false);
        }
        let encoded = encode_state(state).map_err(|error| snapshot_error(&error.to_string()))?;
        let tag: Box<str> = format!("{:08x}", rand::random::<u32>()).into();
        let pieces: Vec<Bytes> = encoded.chunks(PIECE_BYTES).map(Bytes::copy_from_slice).collect();
        let count = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
        for (number, piece) in (0..count).zip(pieces) {
            let key = piece_key(state.revision, &tag, number);
            self.store.put(&key, piece, None).await?;
        }
        let mut previous = current.previous.clone();
        if version.is_some() {
            previous.insert(0, previous_snapshot(&current));
        }
        let unretained = previous.split_off(previous.len().min(RETAINED_SNAPSHOTS));
        let manifest = SnapshotManifest {
            revision: state.revision,
            pieces: count,
            sha256: sha256_hex(&encoded),
            tag,
            trimmed_to: state.revision.saturating_sub(RETAINED_REVISIONS).max(current.trimmed_to),
            previous,
        };
        let value =
            serde_json::to_vec(&manifest).map_err(|error| snapshot_error(&error.to_string()))?;
        self.store.put(MANIFEST_KEY, Bytes::from(value), version).await?;
        info!("snapshot written", kv: { revision = state.revision, pieces = count });
        self.remove_pieces(&unretained).await;
        Ok(true)
    }

    /// Removes a batch of log records up to the trim mark; returns whether more may be left.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    pub async fn trim_log(&self) -> Result<bool, StoreError> {
        let (_, trimmed_to) = self.revision_marks().await?;
        let batch = self.store.list(LOG_PREFIX, "", TRIM_BATCH_RECORDS).await?;
        let count = batch.objects.len();
        let trimmable: Vec<_> = batch
            .objects
            .into_iter()
            .filter(|object| {
                LogRecord::revision_of(&object.key).is_some_and(|revision| revision <= trimmed_to)
            })
            .collect();
        let has_more = trimmable.len() == count && count == TRIM_BATCH_RECORDS;
        for object in trimmable {
            self.store.delete(&object.key, object.version).await?;
            tokio::time::sleep(TRIM_PAUSE).await;
        }
        Ok(has_more)
    }

    async fn read_manifest(&self) -> Result<(SnapshotManifest, Option<u64>), StoreError> {
        let object = self.store.get(MANIFEST_KEY).await?;
        match object.and_then(|object| object.value.map(|value| (value, object.version))) {
            Some((value, version)) => {
                let manifest = serde_json::from_slice(&value)
                    .map_err(|error| snapshot_error(&error.to_string()))?;
                Ok((manifest, Some(version)))
            }
            None => Ok((SnapshotManifest::default(), None)),
        }
    }

    async fn read_pieces(&self, manifest: &SnapshotManifest) -> Result<Option<Bytes>, StoreError> {
        let mut encoded = BytesMut::new();
        for number in 0..manifest.pieces {
            let key = piece_key(manifest.revision, &manifest.tag, number);
            match self.store.get(&key).await?.and_then(|object| object.value) {
                Some(piece) => encoded.extend_from_slice(&piece),
                None => return Ok(None),
            }
        }
        match sha256_hex(&encoded) == manifest.sha256 {
            true => Ok(Some(encoded.freeze())),
            false => Err(snapshot_error("the snapshot does not match its checksum")),
        }
    }

    async fn remove_pieces(&self, snapshots: &[PreviousSnapshot]) {
        for snapshot in snapshots {
            for number in 0..snapshot.pieces {
                let key = piece_key(snapshot.revision, &snapshot.tag, number);
                let removed = match self.store.get(&key).await {
                    Ok(Some(object)) => self.store.delete(&key, object.version).await,
                    Ok(None) => Ok(()),
                    Err(error) => Err(error),
                };
                if let Err(error) = removed {
                    warn!("snapshot piece not removed", kv: { key:, reason: = error });
                }
            }
        }
    }
}

fn previous_snapshot(manifest: &SnapshotManifest) -> PreviousSnapshot {
    PreviousSnapshot {
        revision: manifest.revision,
        pieces: manifest.pieces,
        tag: manifest.tag.clone(),
    }
}

fn sha256_hex(bytes: &[u8]) -> Box<str> {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect::<String>().into()
}

fn snapshot_error(reason: &str) -> StoreError {
    StoreError::Refused { key: MANIFEST_KEY.into(), reason: reason.into() }
}
