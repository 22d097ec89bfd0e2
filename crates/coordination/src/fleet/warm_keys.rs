//! Objects that a target handled recently and probably holds in its cache.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Most objects remembered for a target; targets keep about as many warm.
const MAX_KEYS: usize = 64;
/// Time after which an object no longer counts as warm.
const WARM_TIME: Duration = Duration::from_secs(30);

/// Hashes of recently handled objects, least recent first, each with the time of its latest request.
#[derive(Clone, Debug, Default)]
pub struct WarmKeys {
    keys: IndexMap<u64, Instant>,
}

impl WarmKeys {
    /// Returns whether the target handled an object within `WARM_TIME`.
    pub fn contains(&self, key: u64, now: Instant) -> bool {
        self.keys
            .get(&key)
            .is_some_and(|handled_at| now.saturating_duration_since(*handled_at) < WARM_TIME)
    }

    /// Marks an object as handled now and evicts the least recent one when full.
    pub fn insert(&mut self, key: u64, now: Instant) {
        self.keys.shift_remove(&key);
        if self.keys.len() >= MAX_KEYS {
            self.keys.shift_remove_index(0);
        }
        self.keys.insert(key, now);
    }

    /// Forgets all objects, as after a time in which the target may have gone cold.
    pub fn clear(&mut self) {
        self.keys.clear();
    }
}
