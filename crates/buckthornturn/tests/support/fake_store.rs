//! An in-memory store that can be unavailable or lose answers.

use std::sync::Mutex;
use std::time::Duration;

use buckthornturn::interface::ListedHost;
use buckthornturn::interface::ObjectStore;
use buckthornturn::interface::StoreError;
use buckthornturn::interface::StoredObject;
use buckthornturn::interface::WatchBatch;
use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use indexmap::IndexMap;

/// How the store answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StoreMode {
    /// Reads and writes take effect and are answered.
    #[default]
    Up,
    /// Reads and writes fail and have no effect.
    Down,
    /// Writes take effect, but their answers are lost; reads are answered.
    LosesAnswers,
    /// Writes take effect, but their answers are lost; reads fail.
    LosesAllAnswers,
}

/// An in-memory store; every write raises its version by one.
#[derive(Default)]
pub struct FakeStore {
    state: Mutex<FakeStoreState>,
}

#[derive(Default)]
struct FakeStoreState {
    mode: StoreMode,
    version: u64,
    call_count: usize,
    objects: IndexMap<Box<str>, (u64, Bytes)>,
}

impl FakeStore {
    /// Sets how the store answers from the next call on.
    pub fn set_mode(&self, mode: StoreMode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Number of reads and writes so far, failed ones included.
    pub fn call_count(&self) -> usize {
        self.state.lock().unwrap().call_count
    }

    /// Value of an object, or `None` if it is absent; not counted as a call.
    pub fn stored_value(&self, key: &str) -> Option<Bytes> {
        self.state.lock().unwrap().objects.get(key).map(|(_, value)| value.clone())
    }

    /// Number of objects in the store.
    pub fn object_count(&self) -> usize {
        self.state.lock().unwrap().objects.len()
    }

    /// Whether the value of any object contains a text.
    pub fn contains_text(&self, text: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.objects.values().any(|(_, value)| String::from_utf8_lossy(value).contains(text))
    }

    fn write(&self, key: &str, value: Option<Bytes>, expected: u64) -> Result<u64, StoreError> {
        let mut state = self.state.lock().unwrap();
        state.call_count += 1;
        if state.mode == StoreMode::Down {
            return Err(StoreError::Unavailable { reason: "down".into() });
        }
        let current = state.objects.get(key).map_or(0, |(version, _)| *version);
        if current != expected {
            return Err(StoreError::Conflict { key: key.into(), current });
        }
        state.version += 1;
        let version = state.version;
        match value {
            Some(value) => drop(state.objects.insert(key.into(), (version, value))),
            None => drop(state.objects.swap_remove(key)),
        }
        match state.mode {
            StoreMode::Up => Ok(version),
            _ => Err(StoreError::AnswerLost { reason: "lost".into() }),
        }
    }

    fn read(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let mut state = self.state.lock().unwrap();
        state.call_count += 1;
        if matches!(state.mode, StoreMode::Down | StoreMode::LosesAllAnswers) {
            return Err(StoreError::Unavailable { reason: "down".into() });
        }
        Ok(state.objects.get(key).map(|(version, value)| StoredObject {
            key: key.into(),
            value: Some(value.clone()),
            version: *version,
        }))
    }
}

impl ObjectStore for FakeStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredObject>, StoreError>> {
        async move { self.read(key) }.boxed()
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expected: Option<u64>,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        async move { self.write(key, Some(value), expected.unwrap_or(0)) }.boxed()
    }

    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> BoxFuture<'a, Result<(), StoreError>> {
        async move { self.write(key, None, expected).map(drop) }.boxed()
    }

    fn list<'a>(
        &'a self,
        _prefix: &'a str,
        _after: &'a str,
        _limit: usize,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreError>> {
        async { Ok(WatchBatch::default()) }.boxed()
    }

    fn watch<'a>(
        &'a self,
        _prefix: &'a str,
        _after: u64,
        _wait: Duration,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreError>> {
        futures::future::pending().boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, StoreError>> {
        async { Ok(Vec::new()) }.boxed()
    }
}
