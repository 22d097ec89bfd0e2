//! List of hosts whose readers see changes after a delay.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde_json::Value;

/// Limit of changes that wait for the lag to pass; above it the oldest becomes visible early.
const MAX_PENDING_CHANGES: usize = 16_384;

/// Host list that returns its rows as they were one lag ago.
#[derive(Default)]
pub struct HostList {
    state: Mutex<ListState>,
}

#[derive(Default)]
struct ListState {
    lag: Duration,
    visible: IndexMap<Box<str>, Value>,
    pending: VecDeque<PendingChange>,
}

struct PendingChange {
    changed_at: Instant,
    name: Box<str>,
    row: Option<Value>,
}

impl HostList {
    /// Sets the delay between a change and its visibility to readers; it applies to pending changes too.
    pub fn set_lag(&self, lag: Duration) {
        self.with_state(|state| state.lag = lag);
    }

    /// Adds a host's row or replaces it, effective after the lag.
    pub fn put_row(&self, name: &str, row: Value, now: Instant) {
        self.enqueue_change(PendingChange { changed_at: now, name: name.into(), row: Some(row) });
    }

    /// Removes a host's row, effective after the lag.
    pub fn remove_row(&self, name: &str, now: Instant) {
        self.enqueue_change(PendingChange { changed_at: now, name: name.into(), row: None });
    }

    /// Rows as they were one lag before `now`, ordered by name of the host.
    pub fn rows(&self, now: Instant) -> Vec<Value> {
        self.with_state(|state| {
            state.apply_due_changes(now);
            state.visible.values().cloned().collect()
        })
    }

    fn enqueue_change(&self, change: PendingChange) {
        self.with_state(|state| {
            state.pending.push_back(change);
            if state.pending.len() > MAX_PENDING_CHANGES {
                state.apply_oldest_change();
            }
        });
    }

    fn with_state<T>(&self, action: impl FnOnce(&mut ListState) -> T) -> T {
        action(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ListState {
    fn apply_due_changes(&mut self, now: Instant) {
        while self.pending.front().is_some_and(|change| change.changed_at + self.lag <= now) {
            self.apply_oldest_change();
        }
    }

    fn apply_oldest_change(&mut self) {
        match self.pending.pop_front() {
            Some(PendingChange { name, row: Some(row), .. }) => {
                let _ = self.visible.insert_sorted(name, row);
            }
            Some(PendingChange { name, row: None, .. }) => {
                self.visible.shift_remove(&name);
            }
            None => {}
        }
    }
}
