//! What this host asked one owner of slots for.

use std::time::Instant;

use coordination::ids::Incarnation;
use coordination::ids::TargetId;
use indexmap::IndexMap;

/// Part of a request for slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LeaseRequest {
    /// Slots wanted in all.
    pub(crate) wanted: u32,
    /// Those of them that requests fill on a loan of an earlier owner.
    pub(crate) carried_over: u32,
}

/// What this host asked one owner of slots for, and may hold as far as that owner knows.
#[derive(Clone, Debug)]
pub(crate) struct OwnerState {
    pub(crate) sequence: u64,
    pub(crate) is_awaiting_reply: bool,
    pub(crate) sent_at: Instant,
    pub(crate) requested: IndexMap<TargetId, LeaseRequest>,
}

impl OwnerState {
    /// A line whose numbers start after those of any earlier process of this host.
    pub(crate) fn new(first_sequence: u64, now: Instant) -> Self {
        Self {
            sequence: first_sequence,
            is_awaiting_reply: false,
            sent_at: now,
            requested: IndexMap::new(),
        }
    }
}

/// Bits of a process start's number, microseconds since 1970, that are left out of message numbers: two starts of a
/// host lie further apart.
const DROPPED_INCARNATION_BITS: u32 = 17;
/// Bits for the messages of one process start.
const SEQUENCE_BITS: u32 = 28;

/// First number of the slot messages of a process start: above all of any earlier start of the same host.
pub(crate) fn first_sequence(incarnation: Incarnation) -> u64 {
    (incarnation >> DROPPED_INCARNATION_BITS) << SEQUENCE_BITS
}

/// First number above all slot messages of a process start.
pub(crate) fn end_sequence(incarnation: Incarnation) -> u64 {
    first_sequence(incarnation).saturating_add(1 << SEQUENCE_BITS)
}
