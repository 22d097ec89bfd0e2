//! Owner's side of the slot leases of one target.

use indexmap::IndexMap;

use crate::ids::HostId;

/// Slots of one target at the host that owns them: those that its own requests use and those that it has lent. A lent slot
/// stays in use until its borrower reports that it holds fewer or is proved dead. The end of the lease term alone frees
/// no slot, because a request may still run on it.
#[derive(Clone, Debug, Default)]
pub struct SlotLedger {
    total: u32,
    own_in_flight: u32,
    lent: IndexMap<HostId, LentSlots>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LentSlots {
    slots: u32,
    sequence: u64,
}

impl SlotLedger {
    /// Creates a ledger of a target with `total` slots, none of them in use.
    pub fn new(total: u32) -> Self {
        Self { total, ..Self::default() }
    }

    /// Sets the number of slots. A decrease takes effect as running requests end and lent slots return.
    pub fn set_total(&mut self, total: u32) {
        self.total = total;
    }

    /// Slots that are lent, to all borrowers together.
    pub fn lent(&self) -> u32 {
        self.lent.values().map(|loan| loan.slots).sum()
    }

    /// Slots that are lent to one borrower; 0 if it is not known.
    pub fn lent_to(&self, borrower: &str) -> u32 {
        self.lent.get(borrower).map_or(0, |loan| loan.slots)
    }

    /// Running requests of the owner itself.
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Slots that the owner may use, including those in use already.
    pub fn own_slots(&self) -> u32 {
        self.total.saturating_sub(self.lent())
    }

    /// Slots that are neither lent nor used by the owner.
    pub fn free(&self) -> u32 {
        self.own_slots().saturating_sub(self.own_in_flight)
    }

    /// Occupies a slot for a request of the owner; returns `false` if none is free.
    pub fn start_own_request(&mut self) -> bool {
        let started = self.free() > 0;
        self.own_in_flight += u32::from(started);
        started
    }

    /// Frees the slot of a finished request of the owner.
    pub fn finish_own_request(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
    }

    /// Handles the request of a borrower that wants to hold `wanted` slots in all, at most `limit`. Returns the number that
    /// it may use from now on; `None` if a request with the same or a later `sequence` was handled before. Slots that the
    /// borrower held and still wants count as lent even if fewer are granted, because requests may run on them.
    pub fn lend(&mut self, borrower: &str, sequence: u64, wanted: u32, limit: u32) -> Option<u32> {
        let free = self.free();
        let held = self.lent.get(borrower).copied().unwrap_or_default();
        if sequence <= held.sequence {
            return None;
        }
        let kept = held.slots.min(wanted);
        let granted = (kept + (wanted - kept).min(free)).min(limit);
        self.lent.insert(borrower.into(), LentSlots { slots: granted.max(kept), sequence });
        Some(granted)
    }

    /// Records slots that a borrower still uses under a loan of the previous owner. They count as lent even beyond the
    /// total. Returns `false` if a message with the same or a later `sequence` was handled before.
    pub fn adopt_loan(&mut self, borrower: &str, sequence: u64, filled: u32) -> bool {
        let held = self.lent.get(borrower).copied().unwrap_or_default();
        if sequence <= held.sequence {
            return false;
        }
        self.lent.insert(borrower.into(), LentSlots { slots: filled, sequence });
        true
    }

    /// Frees the slots of a borrower's dead process. Its messages have sequence numbers below `sequence`, so that slots of a
    /// later process of the same host stay lent.
    pub fn release_dead_borrower(&mut self, borrower: &str, sequence: u64) {
        match self.lent.get_mut(borrower) {
            Some(loan) if loan.sequence < sequence => loan.slots = 0,
            _ => {}
        }
    }

    /// Hosts to which at least one slot is lent.
    pub fn borrowers(&self) -> impl Iterator<Item = &HostId> {
        self.lent.iter().filter(|(_, loan)| loan.slots > 0).map(|(host, _)| host)
    }
}
