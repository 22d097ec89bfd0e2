//! Manifest that names the latest snapshot and the trim mark of the log.

use coordination::ids::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Key of the manifest. It is under the log's prefix and sorts after all records, so that a watch or list of the log
/// that could return a record created again below the trim mark also returns the mark.
pub(crate) const MANIFEST_KEY: &str = "config/log/manifest";
/// Prefix of the pieces of snapshots.
pub(crate) const SNAPSHOT_PREFIX: &str = "config/snapshot/";

/// Names the latest snapshot and the trim mark of the log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct SnapshotManifest {
    /// Revision of the state in the snapshot.
    pub(crate) revision: Revision,
    /// Number of objects over which the encoded state is split.
    pub(crate) pieces: u32,
    /// SHA-256 of the joined pieces, in lower-case hex.
    pub(crate) sha256: Box<str>,
    /// Random part of the keys of the pieces, so that two writers of one revision do not mix their pieces.
    pub(crate) tag: Box<str>,
    /// Trim mark: records up to this revision are removed or will be, and a record found there is ignored.
    pub(crate) trimmed_to: Revision,
    /// Earlier snapshots whose pieces are still in the store, latest first.
    #[serde(default)]
    pub(crate) previous: Vec<PreviousSnapshot>,
}

/// A snapshot that was replaced by a later one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct PreviousSnapshot {
    /// Revision of the state in the snapshot.
    pub(crate) revision: Revision,
    /// Number of objects over which the encoded state is split.
    pub(crate) pieces: u32,
    /// Random part of the keys of the pieces.
    pub(crate) tag: Box<str>,
}

/// Key of one piece of a snapshot; `piece` counts from 0.
pub(crate) fn piece_key(revision: Revision, tag: &str, piece: u32) -> Box<str> {
    format!("{SNAPSHOT_PREFIX}{revision:020}/{tag}/{piece:04}").into()
}
