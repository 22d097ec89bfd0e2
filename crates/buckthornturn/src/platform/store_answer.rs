//! Answers of the platform's store.

use serde::Deserialize;
use serde_json::Value;

/// One object of the store.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct StoreObject {
    pub(super) metadata: ObjectMetadata,
    /// What its owner wrote.
    #[serde(default)]
    pub(super) spec: Value,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct ObjectMetadata {
    pub(super) name: Box<str>,
    /// Revision of its last change.
    #[serde(default)]
    pub(super) revision: u64,
    /// Whether it goes once its finalizers are gone.
    #[serde(default)]
    pub(super) deleting: bool,
}

/// One page of a list.
#[derive(Debug, Deserialize)]
pub(super) struct ListAnswer {
    pub(super) items: Vec<StoreObject>,
    /// Whether more follow after the last name.
    #[serde(default)]
    pub(super) more: bool,
    /// The store's revision.
    pub(super) current_rev: u64,
}

/// What a watch saw.
#[derive(Debug, Deserialize)]
pub(super) struct WatchAnswer {
    pub(super) events: Vec<WatchEvent>,
    /// Revision from which the next watch goes on.
    pub(super) current_rev: u64,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchEvent {
    #[serde(default)]
    pub(super) deleted: bool,
    pub(super) object: StoreObject,
}
