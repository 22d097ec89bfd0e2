//! Borrower's side of a slot lease.

use std::time::Instant;

/// Slots of one target that this host has borrowed from their owner. New requests start only within the lease term;
/// running requests may finish after it.
#[derive(Clone, Debug)]
pub struct HeldSlots {
    slots: u32,
    in_flight: u32,
    expires_at: Instant,
}

impl HeldSlots {
    /// Creates an empty lease; no request can start until `record_grant` is called.
    pub fn new(now: Instant) -> Self {
        Self { slots: 0, in_flight: 0, expires_at: now }
    }

    /// Slots that may be in use now, including those in use already; after the term only the latter.
    pub fn usable(&self, now: Instant) -> u32 {
        match now < self.expires_at {
            true => self.slots.max(self.in_flight),
            false => self.in_flight,
        }
    }

    /// Requests that currently run on borrowed slots.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Slots of the last grant, reduced if fewer were requested since. Does not depend on the term.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Occupies a slot for a new request; returns `false` if none is free or the term has ended.
    pub fn start_request(&mut self, now: Instant) -> bool {
        let started = self.usable(now) > self.in_flight;
        self.in_flight += u32::from(started);
        started
    }

    /// Frees the slot of a finished request.
    pub fn finish_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Number of slots to request from the owner so that `wanted` are held, at least the number in use. Slots above it are
    /// given up at once, before the owner learns of it.
    pub fn request_slots(&mut self, wanted: u32) -> u32 {
        let asked = wanted.max(self.in_flight);
        self.slots = self.slots.min(asked);
        asked
    }

    /// Records the owner's reply to the latest request; replies to earlier requests must not be passed in.
    pub fn record_grant(&mut self, granted: u32, expires_at: Instant) {
        self.slots = granted;
        self.expires_at = expires_at;
    }

    /// Whether no slot is held and no request runs.
    pub fn is_idle(&self) -> bool {
        self.slots == 0 && self.in_flight == 0
    }
}
