//! Bounds what a host holds of answers that their callers have not read yet.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bounds of the answers that one host holds, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerBounds {
    /// Largest part of one answer that is held.
    pub answer_bytes: usize,
    /// What all answers together take.
    pub shared_bytes: usize,
}

impl Default for AnswerBounds {
    /// Bounds that fit a host with 112 MiB of memory, which buffers 16 MiB of request bodies as well.
    fn default() -> Self {
        Self { answer_bytes: 4 << 20, shared_bytes: 16 << 20 }
    }
}

/// Budget that the answers of all connections of a host share.
#[derive(Debug, Default)]
pub struct AnswerBudget {
    bounds: AnswerBounds,
    used_bytes: AtomicUsize,
}

/// Part of the budget that one answer takes, until it is dropped.
#[derive(Debug)]
pub struct AnswerShare {
    budget: Arc<AnswerBudget>,
    held_bytes: usize,
}

impl AnswerBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(bounds: AnswerBounds) -> Self {
        Self { bounds, used_bytes: AtomicUsize::new(0) }
    }

    /// Number of bytes that all answers take.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Share of an answer of which nothing is held yet.
    pub fn share(self: &Arc<Self>) -> AnswerShare {
        AnswerShare { budget: Arc::clone(self), held_bytes: 0 }
    }
}

impl AnswerShare {
    /// Takes room for `bytes` more of the answer. Returns `false`, and takes none, if the answer or the budget has no room.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let held = self.held_bytes.saturating_add(bytes);
        let bounds = self.budget.bounds;
        let take =
            |used: usize| used.checked_add(bytes).filter(|used| *used <= bounds.shared_bytes);
        let is_taken = held <= bounds.answer_bytes
            && self
                .budget
                .used_bytes
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
                .is_ok();
        if is_taken {
            self.held_bytes = held;
        }
        is_taken
    }

    /// Returns room of bytes that were passed on, at most what the answer takes.
    pub fn shrink(&mut self, bytes: usize) {
        let returned = bytes.min(self.held_bytes);
        self.held_bytes -= returned;
        self.budget.used_bytes.fetch_sub(returned, Ordering::Relaxed);
    }

    /// Number of bytes that the answer takes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}

impl Drop for AnswerShare {
    fn drop(&mut self) {
        self.shrink(self.held_bytes);
    }
}
