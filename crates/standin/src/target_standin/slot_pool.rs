//! Slots of a target, which limit its requests in flight.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::target_standin::ExecutionLedger;

/// Counts the requests in flight against the number of slots.
#[derive(Default)]
pub struct SlotPool {
    in_flight: Arc<AtomicU32>,
}

/// One occupied slot, released on drop. A request whose slot is dropped before `mark_answered` counts as cancelled.
pub struct SlotGuard {
    in_flight: Arc<AtomicU32>,
    ledger: Arc<ExecutionLedger>,
    is_answered: bool,
}

impl SlotPool {
    /// Occupies a slot; `None` if `slots` requests are in flight already.
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

    /// Number of requests that occupy a slot now.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }
}

impl SlotGuard {
    /// Marks the request as answered, so that it does not count as cancelled.
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
