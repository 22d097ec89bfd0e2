//! Slots of a target.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::target_standin::ExecutionLedger;

/// Counts the requests in flight against a bound.
#[derive(Default)]
pub struct SlotPool {
    in_flight: Arc<AtomicU32>,
}

/// One slot, given back when dropped. A slot that is dropped before `complete` counts as cancelled.
pub struct SlotGuard {
    in_flight: Arc<AtomicU32>,
    ledger: Arc<ExecutionLedger>,
    is_answered: bool,
}

impl SlotPool {
    /// Takes a slot if one is free.
    pub fn acquire(&self, slots: u32, ledger: &Arc<ExecutionLedger>) -> Option<SlotGuard> {
        let taken = self.in_flight.fetch_update(Ordering::AcqRel, Ordering::Acquire, |busy| {
            (busy < slots).then_some(busy + 1)
        });
        match taken {
            Ok(_) => {
                ledger.record_start();
                Some(SlotGuard {
                    in_flight: Arc::clone(&self.in_flight),
                    ledger: Arc::clone(ledger),
                    is_answered: false,
                })
            }
            Err(_) => None,
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }
}

impl SlotGuard {
    /// Says that the request has been answered.
    pub fn mark_answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.ledger.record_end();
        if !self.is_answered {
            self.ledger.record_cancelled();
        }
    }
}
