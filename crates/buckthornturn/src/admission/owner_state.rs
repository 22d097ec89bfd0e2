//! Lease requests that this host has sent to one owner of slots, and the numbering of its lease messages.

use std::time::Instant;

use coordination::ids::Incarnation;
use coordination::ids::TargetId;
use indexmap::IndexMap;

/// Slots of one target that this host requests from its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LeaseRequest {
    /// Total number of slots wanted, including `carried_over`.
    pub(crate) wanted: u32,
    /// Slots that running requests already use under loans of earlier owners, which the new owner must count as lent.
    pub(crate) carried_over: u32,
}

/// State of the lease messages between this host and one owner of slots.
#[derive(Clone, Debug)]
pub(crate) struct OwnerState {
    /// Number of the latest message; an owner ignores a message that a later one has overtaken.
    pub(crate) sequence: u64,
    /// Whether the latest message is still unanswered; no other message is sent meanwhile.
    pub(crate) is_awaiting_reply: bool,
    /// When the latest message was sent.
    pub(crate) sent_at: Instant,
    /// Slots last requested of each target, which this host may hold as far as the owner knows.
    pub(crate) requested: IndexMap<TargetId, LeaseRequest>,
}

impl OwnerState {
    /// Creates the state with a first sequence number above those of all earlier processes of this host.
    pub(crate) fn new(first_sequence: u64, now: Instant) -> Self {
        Self {
            sequence: first_sequence,
            is_awaiting_reply: false,
            sent_at: now,
            requested: IndexMap::new(),
        }
    }
}

/// Low bits of the incarnation, which is in microseconds since 1970, that are dropped to form message numbers. They span
/// 0.13 s, and two starts of a host are further apart.
const DROPPED_INCARNATION_BITS: u32 = 17;
/// Bits that count the messages of one process start.
const SEQUENCE_BITS: u32 = 28;

/// First sequence number of the lease messages of a process start. It is above all numbers of earlier starts of the host.
pub(crate) fn first_sequence(incarnation: Incarnation) -> u64 {
    (incarnation >> DROPPED_INCARNATION_BITS) << SEQUENCE_BITS
}

/// Lowest sequence number above all lease messages of a process start.
pub(crate) fn end_sequence(incarnation: Incarnation) -> u64 {
    first_sequence(incarnation).saturating_add(1 << SEQUENCE_BITS)
}
