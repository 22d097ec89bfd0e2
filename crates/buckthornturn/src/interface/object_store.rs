//! Interface to the platform's object store.

use std::time::Duration;

use bytes::Bytes;
use coordination::listed_host::ListedHost;
use futures::future::BoxFuture;
use snafu::Snafu;

/// Maximum size of a value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// One object with the version that the store assigned to it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredObject {
    /// Key of the object in the store.
    pub key: Box<str>,
    /// Value of the object; `None` in the result of a watch means that the object was removed.
    pub value: Option<Bytes>,
    /// Version of the last write to the object. The store assigns versions in increasing order over all its objects.
    pub version: u64,
}

/// Result of a watch or of a list call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WatchBatch {
    /// Version of the store up to which the batch is complete; the next watch has to start after it.
    pub version: u64,
    /// Changed objects, ordered by version.
    pub objects: Vec<StoredObject>,
}

/// Failure of a call to the store.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The object did not have the expected version; nothing was written.
    #[snafu(display("the condition on `{key}` does not hold"))]
    Conflict {
        /// Key of the object that was to be written.
        key: Box<str>,
        /// Current version of the object; 0 if it does not exist.
        current: u64,
    },
    /// The call did not reach the store, or the store was not able to serve it; nothing was written.
    #[snafu(display("the store is unavailable: {reason}"))]
    Unavailable {
        /// Cause as reported by the client.
        reason: Box<str>,
    },
    /// The answer was lost, so a write may have taken effect.
    #[snafu(display("the answer of the store was lost: {reason}"))]
    AnswerLost {
        /// Cause as reported by the client.
        reason: Box<str>,
    },
    /// The store refused the call as invalid, such as for a value over the size limit. A retry would fail as well.
    #[snafu(display("the store refused `{key}`: {reason}"))]
    Refused {
        /// Key that the call was for.
        key: Box<str>,
        /// Reason given by the store.
        reason: Box<str>,
    },
}

/// Calls to the platform's store. Each call has a timeout, and writes are not retried.
pub trait ObjectStore: Send + Sync {
    /// Reads one object; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredObject>, StoreError>>;

    /// Writes an object if its version is `expected`, or if it does not exist and `expected` is `None`. Returns the new
    /// version.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expected: Option<u64>,
    ) -> BoxFuture<'a, Result<u64, StoreError>>;

    /// Removes an object if its version is `expected`.
    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Lists at most `limit` objects under a prefix with their values, ordered by key, starting after the key `after`.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreError>>;

    /// Waits at most `wait` until objects under a prefix change after the version `after`. Returns an empty batch if none
    /// did.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreError>>;

    /// Reads the platform's list of hosts.
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, StoreError>>;
}
