//! Reads the configuration from the store and keeps up with it.

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
use crate::state::ConfigurationKeeper;
use crate::state::LOG_PREFIX;
use crate::state::LogRecord;
use crate::state::SnapshotStore;
use crate::state::configuration_keeper::TakeOutcome;
use crate::state::snapshot_manifest::MANIFEST_KEY;
use crate::state::snapshot_manifest::SnapshotManifest;

const LIST_LIMIT: usize = 100;
/// Name of the store as the source of a confirmation.
const SOURCE: &str = "store";

/// Reads the configuration from the store. A record is believed only together with the trim mark, since one below
/// the mark may have been created again by a host that lagged.
#[derive(Clone)]
pub struct StoreReader {
    store: Arc<dyn ObjectStore>,
    snapshots: SnapshotStore,
    keeper: Arc<ConfigurationKeeper>,
    freshness: FreshnessCell,
}

impl StoreReader {
    /// A reader that puts in force what it reads and tells how fresh it is.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        keeper: Arc<ConfigurationKeeper>,
        freshness: FreshnessCell,
    ) -> Self {
        Self { snapshots: SnapshotStore::new(Arc::clone(&store)), store, keeper, freshness }
    }

    /// Reads what is missing. Returns the store's version up to which this host is complete.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer, or what it holds cannot be read by this binary.
    pub async fn catch_up(&self) -> Result<u64, StoreError> {
        let started = Instant::now();
        if self.keeper.revision() == 0 {
            self.take_snapshot().await?;
        }
        loop {
            let after = self.keeper.revision();
            let batch = self.store.list(LOG_PREFIX, &LogRecord::key(after), LIST_LIMIT).await?;
            let (_, trimmed_to) = self.snapshots.marks().await?;
            let version = batch.version;
            let count = batch.objects.len();
            if after < trimmed_to {
                self.take_snapshot().await?;
                self.check_reached(trimmed_to)?;
                continue;
            }
            self.take_records(batch.objects)?;
            if count < LIST_LIMIT {
                self.freshness.record_confirmation(started, SOURCE);
                return Ok(version);
            }
        }
    }

    /// Waits for the next changes after a version at which this host was complete. Returns the next such version,
    /// or `None` if this host has to catch up.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer, or what it holds cannot be read by this binary.
    pub async fn watch(&self, version: u64, wait: Duration) -> Result<Option<u64>, StoreError> {
        let started = Instant::now();
        let batch = match self.store.watch(LOG_PREFIX, version, wait).await {
            Err(StoreError::Refused { .. }) => return Ok(None),
            result => result?,
        };
        if self.keeper.revision() < trim_mark(&batch) || batch.version < version {
            return Ok(None);
        }
        let version = batch.version;
        if !self.take_records(batch.objects)? {
            return Ok(None);
        }
        self.freshness.record_confirmation(started, SOURCE);
        Ok(Some(version))
    }

    async fn take_snapshot(&self) -> Result<(), StoreError> {
        if let Some(state) = self.snapshots.read().await? {
            self.keeper.take_state(state, SOURCE);
        }
        Ok(())
    }

    fn check_reached(&self, trimmed_to: Revision) -> Result<(), StoreError> {
        match self.keeper.revision() < trimmed_to {
            true => Err(refused("the snapshot is older than the trim mark")),
            false => Ok(()),
        }
    }

    /// Puts records in force; returns whether none was missing.
    fn take_records(&self, mut objects: Vec<StoredObject>) -> Result<bool, StoreError> {
        objects.sort_by(|one, other| one.key.cmp(&other.key));
        let changes = objects.into_iter().filter_map(|object| {
            let revision = LogRecord::revision_of(&object.key)?;
            Some(WireChange { revision, encoded: object.value? })
        });
        match self.keeper.take(changes.collect(), SOURCE) {
            TakeOutcome::Complete => Ok(true),
            TakeOutcome::Gap => Ok(false),
            TakeOutcome::Unreadable => Err(refused("a log record cannot be read")),
        }
    }
}

/// Trim mark that a batch brings; 0 if it brings none.
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
