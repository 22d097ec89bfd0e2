//! Which unreadable entries of the store were logged, so that each version of one is logged once.

use std::sync::Mutex;
use std::sync::PoisonError;

use coordination::ids::Era;
use indexmap::IndexMap;
use spdlog::warn;

use super::store_answer::StoreObject;
use super::store_answer::UnnamedEntry;

/// Most entries that are remembered; the oldest is forgotten first, and is logged again when it is read again.
const MAX_ENTRIES: usize = 1_024;

/// Kind and name of an entry.
type EntryKey = (&'static str, Box<str>);
/// Revision of an entry with the era of the store, or the digest of one without a readable revision.
type EntryVersion = (Era, u64);

/// Versions of unreadable entries that were logged, by the kind and the name of the entry.
#[derive(Debug, Default)]
pub(super) struct UnreadableEntries {
    logged: Mutex<IndexMap<EntryKey, EntryVersion>>,
}

impl UnreadableEntries {
    /// Logs an entry unless this version of it was logged before, and returns whether it was not.
    pub(super) fn report(
        &self,
        kind: &'static str,
        era: Era,
        object: &StoreObject,
        reason: &str,
    ) -> bool {
        let (name, revision) = (&object.name, object.revision);
        let is_new = self.insert(kind, name, (era, revision));
        if is_new {
            warn!("cannot decode an entry of the store; ignoring it", kv: { kind:, name:, revision:, reason: });
        }
        is_new
    }

    /// Logs an entry without a readable name or revision, as [`report`](Self::report) does.
    pub(super) fn report_unnamed(
        &self,
        kind: &'static str,
        era: Era,
        entry: &UnnamedEntry,
    ) -> bool {
        let (digest, reason) = (entry.digest, entry.reason);
        let name = format!("{digest:016x}");
        let is_new = self.insert(kind, &name, (era, digest));
        if is_new {
            warn!("skipping an entry of the store without name or revision", kv: { kind:, digest: = name, reason: });
        }
        is_new
    }

    fn insert(&self, kind: &'static str, name: &str, version: EntryVersion) -> bool {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.len() >= MAX_ENTRIES {
            logged.shift_remove_index(0);
        }
        logged.insert((kind, name.into()), version) != Some(version)
    }
}
