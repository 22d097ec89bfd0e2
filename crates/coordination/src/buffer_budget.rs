//! Bounds what a host buffers of request bodies so that it can send them again.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bounds of the buffers of one host, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BufferBounds {
    /// Start of each body that is buffered whatever other bodies take.
    pub assured_bytes: usize,
    /// Largest start of one body that is buffered.
    pub body_bytes: usize,
    /// What all bodies together take beyond their assured starts.
    pub shared_bytes: usize,
}

impl Default for BufferBounds {
    /// Bounds that fit a host with 256 MiB of memory and thousands of callers.
    fn default() -> Self {
        Self { assured_bytes: 64 << 10, body_bytes: 1 << 20, shared_bytes: 16 << 20 }
    }
}

/// Budget that the bodies of all requests of a host share.
#[derive(Debug, Default)]
pub struct BufferBudget {
    bounds: BufferBounds,
    used_bytes: AtomicUsize,
}

/// Part of the budget that the start of one body takes, until it is dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: Arc<BufferBudget>,
    body_bytes: usize,
}

impl BufferBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(bounds: BufferBounds) -> Self {
        Self { bounds, used_bytes: AtomicUsize::new(0) }
    }

    /// Number of bytes that bodies take beyond their assured starts.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Share of a body of which nothing is buffered yet.
    pub fn share(self: &Arc<Self>) -> BufferShare {
        BufferShare { budget: Arc::clone(self), body_bytes: 0 }
    }

    fn beyond_assured(&self, body_bytes: usize) -> usize {
        body_bytes.saturating_sub(self.bounds.assured_bytes)
    }
}

impl BufferShare {
    /// Takes room for `bytes` more of the body. Returns `false`, and takes none, if the body or the budget has no room.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let grown = self.body_bytes.saturating_add(bytes);
        let added = self.budget.beyond_assured(grown) - self.budget.beyond_assured(self.body_bytes);
        let bounds = &self.budget.bounds;
        let take = |used: usize| {
            let used = used.checked_add(added)?;
            (added == 0 || used <= bounds.shared_bytes).then_some(used)
        };
        let is_taken = grown <= bounds.body_bytes
            && self
                .budget
                .used_bytes
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
                .is_ok();
        if is_taken {
            self.body_bytes = grown;
        }
        is_taken
    }

    /// Takes room for `bytes` more of the body, also beyond the bounds.
    pub fn grow_unbounded(&mut self, bytes: usize) {
        let grown = self.body_bytes.saturating_add(bytes);
        let added = self.budget.beyond_assured(grown) - self.budget.beyond_assured(self.body_bytes);
        self.budget.used_bytes.fetch_add(added, Ordering::Relaxed);
        self.body_bytes = grown;
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        let taken = self.budget.beyond_assured(self.body_bytes);
        self.budget.used_bytes.fetch_sub(taken, Ordering::Relaxed);
    }
}
