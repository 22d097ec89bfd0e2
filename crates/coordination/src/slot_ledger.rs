//! The slots of one target, as their owner keeps them.

use indexmap::IndexMap;

use crate::ids::HostId;

/// The slots of one target at the host that owns them: those that it fills itself and those that it lent. A lent
/// slot counts as taken until its borrower says that it holds fewer, or is proved dead; time alone frees nothing,
/// as a request may still run there.
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
    /// A ledger of a target with a number of slots.
    pub fn new(total: u32) -> Self {
        Self { total, ..Self::default() }
    }

    /// Sets the number of slots; a smaller one is reached as requests end and loans come back.
    pub fn set_total(&mut self, total: u32) {
        self.total = total;
    }

    /// Slots that are lent.
    pub fn lent(&self) -> u32 {
        self.lent.values().map(|loan| loan.slots).sum()
    }

    /// Slots that are lent to one borrower.
    pub fn lent_to(&self, borrower: &str) -> u32 {
        self.lent.get(borrower).map_or(0, |loan| loan.slots)
    }

    /// Requests of the owner itself.
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Slots that the owner may fill, those that it fills already included.
    pub fn own_slots(&self) -> u32 {
        self.total.saturating_sub(self.lent())
    }

    /// Slots that nobody has.
    pub fn free(&self) -> u32 {
        self.own_slots().saturating_sub(self.own_in_flight)
    }

    /// Fills a slot if one is free.
    pub fn start_own_request(&mut self) -> bool {
        let started = self.free() > 0;
        self.own_in_flight += u32::from(started);
        started
    }

    /// Empties a slot that the owner filled.
    pub fn finish_own_request(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
    }

    /// Answers a borrower that wants a number of slots in all, up to `limit`. Returns what it may fill from now on;
    /// `None` for a message that was overtaken. What the borrower had and still wants counts as lent even if less
    /// is granted, as it may be filled.
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

    /// Takes note of slots that a borrower still fills on a loan of the previous owner. They count even beyond the
    /// total. Returns `false` for a message that was overtaken.
    pub fn adopt_loan(&mut self, borrower: &str, sequence: u64, filled: u32) -> bool {
        let held = self.lent.get(borrower).copied().unwrap_or_default();
        if sequence <= held.sequence {
            return false;
        }
        self.lent.insert(borrower.into(), LentSlots { slots: filled, sequence });
        true
    }

    /// Frees what a dead process of a borrower held: its messages were numbered below `sequence`.
    pub fn release_dead_borrower(&mut self, borrower: &str, sequence: u64) {
        match self.lent.get_mut(borrower) {
            Some(loan) if loan.sequence < sequence => loan.slots = 0,
            _ => {}
        }
    }

    /// Hosts that hold lent slots.
    pub fn borrowers(&self) -> impl Iterator<Item = &HostId> {
        self.lent.iter().filter(|(_, loan)| loan.slots > 0).map(|(host, _)| host)
    }
}
