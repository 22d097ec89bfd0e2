//! Objects of the store with the log of their changes.

use std::collections::VecDeque;

use bytes::Bytes;
use indexmap::IndexMap;
use snafu::Snafu;

use crate::store::WriteCondition;

/// Number of changes kept for watches; a watch from before them must list again.
const MAX_LOG_ENTRIES: usize = 65_536;
/// Limit of objects in one answer to a watch.
const MAX_BATCH_OBJECTS: usize = 1_000;
/// Limit of the values' bytes in one answer; a larger single value is still returned.
const MAX_BATCH_BYTES: usize = 8 << 20;

/// Reason for which a call to the table had no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum TableError {
    /// The write's condition is not met.
    #[snafu(display("the condition does not hold"))]
    ConditionFailed {
        /// Current version of the object; 0 if it does not exist.
        current: u64,
    },
    /// The watch starts before the oldest change that is kept.
    #[snafu(display("changes up to version {last_dropped} are gone; list again"))]
    Compacted {
        /// Version of the last change that was dropped from the log.
        last_dropped: u64,
    },
}

/// Object in the answer to a list or watch.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchObject {
    /// Key that the object is stored under.
    pub key: Box<str>,
    /// Version of the object's last change.
    pub version: u64,
    /// Content of the object; `None` if it was removed.
    pub value: Option<Bytes>,
}

/// Answer to a list or watch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObjectBatch {
    /// Version up to which the answer is complete; the next watch starts after it.
    pub version: u64,
    /// Objects by key for a list, by version for a watch.
    pub objects: Vec<BatchObject>,
    /// Whether a limit on the answer's size left objects out.
    pub is_truncated: bool,
}

struct StoredEntry {
    version: u64,
    value: Bytes,
}

struct LogEntry {
    key: Box<str>,
    is_removed: bool,
}

/// Objects ordered by key, with a bounded log of changes. Each change of any object increases the version by one.
#[derive(Default)]
pub struct ObjectTable {
    objects: IndexMap<Box<str>, StoredEntry>,
    log: VecDeque<LogEntry>,
    version: u64,
}

impl ObjectTable {
    /// Version of the last change of any object; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Version and value of an object; `None` if it does not exist.
    pub fn get(&self, key: &str) -> Option<(u64, Bytes)> {
        self.objects.get(key).map(|entry| (entry.version, entry.value.clone()))
    }

    /// Writes an object, or removes it if `value` is `None`. Returns the version of the change; removing an object that
    /// does not exist changes nothing and returns the current version.
    ///
    /// # Errors
    ///
    /// Fails if the condition is not met.
    pub fn write(
        &mut self,
        key: &str,
        value: Option<Bytes>,
        condition: WriteCondition,
    ) -> Result<u64, TableError> {
        let current = self.objects.get(key).map_or(0, |entry| entry.version);
        if !condition.is_met(current) {
            return Err(TableError::ConditionFailed { current });
        }
        if value.is_none() && current == 0 {
            return Ok(self.version);
        }
        self.version += 1;
        let is_removed = value.is_none();
        match value {
            Some(value) => {
                let entry = StoredEntry { version: self.version, value };
                let _ = self.objects.insert_sorted(key.into(), entry);
            }
            None => drop(self.objects.shift_remove(key)),
        }
        self.log.push_back(LogEntry { key: key.into(), is_removed });
        if self.log.len() > MAX_LOG_ENTRIES {
            self.log.pop_front();
        }
        Ok(self.version)
    }

    /// Lists up to `limit` objects whose keys start with `prefix` and follow `after`, ordered by key.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> ObjectBatch {
        let start = self.objects.partition_point(|key, _| match after >= prefix {
            true => **key <= *after,
            false => **key < *prefix,
        });
        let mut batch = ObjectBatch { version: self.version, ..ObjectBatch::default() };
        let mut bytes = 0;
        for (key, entry) in self.objects.iter().skip(start) {
            if !key.starts_with(prefix) || batch.objects.len() >= limit {
                break;
            }
            bytes += entry.value.len();
            if bytes > MAX_BATCH_BYTES && !batch.objects.is_empty() {
                batch.is_truncated = true;
                break;
            }
            let value = Some(entry.value.clone());
            batch.objects.push(BatchObject { key: key.clone(), version: entry.version, value });
        }
        batch
    }

    /// Last change of each object whose key starts with `prefix`, among the changes after version `after`, ordered by
    /// version.
    ///
    /// # Errors
    ///
    /// Fails if a change after that version has been dropped from the log.
    pub fn changes_after(&self, prefix: &str, after: u64) -> Result<ObjectBatch, TableError> {
        let last_dropped = self.version - self.log.len() as u64;
        if after < last_dropped {
            return Err(TableError::Compacted { last_dropped });
        }
        let mut found: IndexMap<&str, BatchObject> = IndexMap::new();
        let mut bytes = 0;
        for (offset, entry) in self.log.iter().enumerate().skip((after - last_dropped) as usize) {
            let version = last_dropped + offset as u64 + 1;
            let object = match self.objects.get(&entry.key) {
                _ if !entry.key.starts_with(prefix) => continue,
                Some(stored) if stored.version == version => {
                    let value = Some(stored.value.clone());
                    BatchObject { key: entry.key.clone(), version, value }
                }
                None if entry.is_removed => {
                    BatchObject { key: entry.key.clone(), version, value: None }
                }
                _ => continue,
            };
            bytes += object.value.as_ref().map_or(0, Bytes::len);
            let is_full = found.len() >= MAX_BATCH_OBJECTS || bytes > MAX_BATCH_BYTES;
            if is_full && !found.is_empty() {
                let objects = found.into_values().collect();
                return Ok(ObjectBatch { version: version - 1, objects, is_truncated: true });
            }
            found.shift_remove(&*entry.key);
            found.insert(&entry.key, object);
        }
        let objects = found.into_values().collect();
        Ok(ObjectBatch { version: self.version, objects, is_truncated: false })
    }
}
