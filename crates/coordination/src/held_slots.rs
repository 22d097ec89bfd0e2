//! Slots of one target that a host borrowed.

use std::time::Instant;

/// Slots of one target that this host borrowed. New requests start only within the term; those that run may end
/// after it.
#[derive(Clone, Debug)]
pub struct HeldSlots {
    slots: u32,
    in_flight: u32,
    expires_at: Instant,
}

impl HeldSlots {
    /// No slots yet.
    pub fn new(now: Instant) -> Self {
        Self { slots: 0, in_flight: 0, expires_at: now }
    }

    /// Slots that may be filled now, those that are filled already included.
    pub fn usable(&self, now: Instant) -> u32 {
        match now < self.expires_at {
            true => self.slots.max(self.in_flight),
            false => self.in_flight,
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Slots as last granted, or fewer if fewer were asked for since.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Fills a slot if one is free and the term has not ended.
    pub fn start_request(&mut self, now: Instant) -> bool {
        let started = self.usable(now) > self.in_flight;
        self.in_flight += u32::from(started);
        started
    }

    /// Empties a slot.
    pub fn finish_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Number to request_slots for if `wanted` are wanted. What is above it is given up before the owner hears of it.
    pub fn request_slots(&mut self, wanted: u32) -> u32 {
        let asked = wanted.max(self.in_flight);
        self.slots = self.slots.min(asked);
        asked
    }

    /// Takes the answer to the latest request in.
    pub fn record_grant(&mut self, granted: u32, expires_at: Instant) {
        self.slots = granted;
        self.expires_at = expires_at;
    }

    /// Whether nothing is held or filled.
    pub fn is_idle(&self) -> bool {
        self.slots == 0 && self.in_flight == 0
    }
}
