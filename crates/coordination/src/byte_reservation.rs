//! Buffered bytes that draw on the budget of their process.

use std::sync::Arc;

use crate::admission_bounds::ByteUse;
use crate::admission_budget::AdmissionBudget;

/// Bytes of one buffer, which are returned when it is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: Arc<AdmissionBudget>,
    bytes: usize,
}

impl ByteReservation {
    pub(crate) fn new(budget: Arc<AdmissionBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Takes so many bytes more. Returns `false`, and takes none, if the budget has no room.
    pub fn grow(&mut self, bytes: usize, byte_use: ByteUse) -> bool {
        let is_taken = self.budget.take_bytes(bytes, byte_use);
        if is_taken {
            self.bytes += bytes;
        }
        is_taken
    }

    /// Number of bytes taken.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.return_bytes(self.bytes);
    }
}
