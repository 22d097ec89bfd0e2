//! The objects that a target handled lately.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Objects remembered for a target; about as many as targets keep warm.
const MAX_KEYS: usize = 64;
/// Time after which an object no longer counts as warm.
const WARM_TIME: Duration = Duration::from_secs(30);

/// Hashes of the objects that a target handled lately, least recent first.
#[derive(Clone, Debug, Default)]
pub struct WarmKeys {
    keys: IndexMap<u64, Instant>,
}

impl WarmKeys {
    /// Whether the target handled an object lately.
    pub fn contains(&self, key: u64, now: Instant) -> bool {
        self.keys
            .get(&key)
            .is_some_and(|handled_at| now.saturating_duration_since(*handled_at) < WARM_TIME)
    }

    /// The target handled an object.
    pub fn insert(&mut self, key: u64, now: Instant) {
        self.keys.shift_remove(&key);
        if self.keys.len() >= MAX_KEYS {
            self.keys.shift_remove_index(0);
        }
        self.keys.insert(key, now);
    }

    /// The target lost what it held.
    pub fn clear(&mut self) {
        self.keys.clear();
    }
}
