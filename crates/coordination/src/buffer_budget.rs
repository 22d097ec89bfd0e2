//! Bounds what a host buffers of request bodies so that it can send them again.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::admission_bounds::ByteUse;
use crate::admission_budget::AdmissionBudget;
use crate::byte_reservation::ByteReservation;

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
    process: Arc<AdmissionBudget>,
}

/// Part of the budget that the start of one body takes, until it is dropped.
#[derive(Debug)]
pub struct BufferShare {
    budget: Arc<BufferBudget>,
    body_bytes: usize,
    reservation: ByteReservation,
}

impl BufferBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(bounds: BufferBounds) -> Self {
        Self::within(bounds, Arc::default())
    }

    /// Creates a budget whose buffers also draw on that of the process.
    pub fn within(bounds: BufferBounds, process: Arc<AdmissionBudget>) -> Self {
        Self { bounds, used_bytes: AtomicUsize::new(0), process }
    }

    /// Number of bytes that bodies take beyond their assured starts.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Share of a body of which nothing is buffered yet.
    pub fn share(self: &Arc<Self>) -> BufferShare {
        let reservation = self.process.reserve();
        BufferShare { budget: Arc::clone(self), body_bytes: 0, reservation }
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
        if is_taken && !self.reservation.grow(bytes, ByteUse::Optional) {
            self.budget.used_bytes.fetch_sub(added, Ordering::Relaxed);
            return false;
        }
        if is_taken {
            self.body_bytes = grown;
        }
        is_taken
    }

    /// Takes room for `bytes` more of the body, also beyond the bounds of bodies. Returns `false`, and takes none, if the
    /// process has no room.
    pub fn grow_needed(&mut self, bytes: usize) -> bool {
        if !self.reservation.grow(bytes, ByteUse::Needed) {
            return false;
        }
        let grown = self.body_bytes.saturating_add(bytes);
        let added = self.budget.beyond_assured(grown) - self.budget.beyond_assured(self.body_bytes);
        self.budget.used_bytes.fetch_add(added, Ordering::Relaxed);
        self.body_bytes = grown;
        true
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        let taken = self.budget.beyond_assured(self.body_bytes);
        self.budget.used_bytes.fetch_sub(taken, Ordering::Relaxed);
    }
}
