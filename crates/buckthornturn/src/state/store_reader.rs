//! Reads the configuration from the store and follows its changes.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::Revision;

use crate::interface::FreshnessCell;
use crate::interface::ObjectStore;
use crate::interface::StoreError;
use crate::interface::StoredObject;
use crate::interface::WatchBatch;
use crate::interface::WireChange;
use crate::state::ConfigurationReplica;
use crate::state::LOG_PREFIX;
use crate::state::LogRecord;
use crate::state::SnapshotStore;
use crate::state::configuration_replica::ApplyOutcome;
use crate::state::snapshot_manifest::MANIFEST_KEY;
use crate::state::snapshot_manifest::SnapshotManifest;

/// Objects in one page of a list of the store.
const LIST_PAGE_OBJECTS: usize = 100;
/// Name of the store as the source of states and confirmations in log lines and status reports.
const STORE_SOURCE: &str = "store";

/// Reads the configuration from the store. A record counts only together with the trim mark, because a lagging host may
/// have created a record below the mark again.
#[derive(Clone)]
pub struct StoreReader {
    store: Arc<dyn ObjectStore>,
    snapshots: SnapshotStore,
    replica: Arc<ConfigurationReplica>,
    freshness: FreshnessCell,
}

impl StoreReader {
    /// Creates a reader that applies what it reads to `replica` and confirms to `freshness` when it was complete.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        replica: Arc<ConfigurationReplica>,
        freshness: FreshnessCell,
    ) -> Self {
        Self { snapshots: SnapshotStore::new(Arc::clone(&store)), store, replica, freshness }
    }

    /// Reads the records that this host lacks. Returns the version of the store at which this host is complete.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or holds something that this binary cannot decode.
    pub async fn catch_up(&self) -> Result<u64, StoreError> {
        let started = Instant::now();
        if self.replica.revision() == 0 {
            self.load_snapshot().await?;
        }
        loop {
            let after = self.replica.revision();
            let batch =
                self.store.list(LOG_PREFIX, &LogRecord::key(after), LIST_PAGE_OBJECTS).await?;
            let (_, trimmed_to) = self.snapshots.revision_marks().await?;
            let version = batch.version;
            let count = batch.objects.len();
            if after < trimmed_to {
                self.load_snapshot().await?;
                self.check_past_trim_mark(trimmed_to)?;
                continue;
            }
            self.apply_records(batch.objects)?;
            if count < LIST_PAGE_OBJECTS {
                self.freshness.record_confirmation(started, STORE_SOURCE);
                return Ok(version);
            }
        }
    }

    /// Waits up to `wait` for changes after `version`, at which this host was complete. Returns the next such version,
    /// or `None` if this host has to catch up.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or holds something that this binary cannot decode.
    pub async fn watch(&self, version: u64, wait: Duration) -> Result<Option<u64>, StoreError> {
        let started = Instant::now();
        let batch = match self.store.watch(LOG_PREFIX, version, wait).await {
            Err(StoreError::Refused { .. }) => return Ok(None),
            result => result?,
        };
        if self.replica.revision() < trim_mark(&batch) || batch.version < version {
            return Ok(None);
        }
        let version = batch.version;
        if !self.apply_records(batch.objects)? {
            return Ok(None);
        }
        self.freshness.record_confirmation(started, STORE_SOURCE);
        Ok(Some(version))
    }

    async fn load_snapshot(&self) -> Result<(), StoreError> {
        if let Some(state) = self.snapshots.read_snapshot().await? {
            self.replica.replace_state(state, STORE_SOURCE);
        }
        Ok(())
    }

    fn check_past_trim_mark(&self, trimmed_to: Revision) -> Result<(), StoreError> {
        match self.replica.revision() < trimmed_to {
            true => Err(refused("the snapshot is older than the trim mark")),
            false => Ok(()),
        }
    }

    /// Applies records in order of their revisions; returns `false` if a record before one of them is missing.
    fn apply_records(&self, mut objects: Vec<StoredObject>) -> Result<bool, StoreError> {
        objects.sort_by(|one, other| one.key.cmp(&other.key));
        let changes = objects.into_iter().filter_map(|object| {
            let revision = LogRecord::revision_of(&object.key)?;
            Some(WireChange { revision, encoded: object.value? })
        });
        match self.replica.apply_changes(changes.collect(), STORE_SOURCE) {
            ApplyOutcome::Complete => Ok(true),
            ApplyOutcome::Gap => Ok(false),
            ApplyOutcome::Unreadable => Err(refused("a log record cannot be decoded or applied")),
        }
    }
}

/// Trim mark in a batch; 0 if the batch has no readable manifest.
fn trim_mark(batch: &WatchBatch) -> Revision {
    let manifest = batch.objects.iter().find(|object| &*object.key == MANIFEST_KEY);
    let value = manifest.and_then(|object| object.value.as_ref());
    let manifest: Option<SnapshotManifest> =
        value.and_then(|value| serde_json::from_slice(value).ok());
    manifest.map_or(0, |manifest| manifest.trimmed_to)
}

fn refused(reason: &str) -> StoreError {
    StoreError::Refused { key: LOG_PREFIX.into(), reason: reason.into() }
}
