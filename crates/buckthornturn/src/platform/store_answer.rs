//! JSON bodies of the platform store's answers.

use serde::Deserialize;
use serde_json::Value;

/// One object as the store returns it in lists and watch events.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct StoreObject {
    pub(super) metadata: ObjectMetadata,
    /// Body that the object's owner wrote; its shape depends on the kind of the object.
    #[serde(default)]
    pub(super) spec: Value,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct ObjectMetadata {
    pub(super) name: Box<str>,
    /// Store revision of the object's last change.
    #[serde(default)]
    pub(super) revision: u64,
    /// Whether the object is being deleted and only its finalizers keep it in the store.
    #[serde(default)]
    pub(super) deleting: bool,
}

/// One page of the objects of a kind.
#[derive(Debug, Deserialize)]
pub(super) struct ListAnswer {
    pub(super) items: Vec<StoreObject>,
    /// Whether another page follows; it is requested with the name of the last item.
    #[serde(default)]
    pub(super) more: bool,
    /// Revision of the whole store when the page was read.
    pub(super) current_rev: u64,
}

/// Events of one watch call; empty if nothing changed before the call ended.
#[derive(Debug, Deserialize)]
pub(super) struct WatchAnswer {
    pub(super) events: Vec<WatchEvent>,
    /// Revision from which the next watch call continues.
    pub(super) current_rev: u64,
}

#[derive(Debug, Deserialize)]
pub(super) struct WatchEvent {
    #[serde(default)]
    pub(super) deleted: bool,
    pub(super) object: StoreObject,
}
