//! Requests and replies that hosts exchange over the mesh.

use std::time::Duration;

use bytes::Bytes;
use coordination::floor_plan::FloorPlan;
use coordination::heartbeat::HeardHeartbeat;
use coordination::heartbeat::Heartbeat;
use coordination::ids::CustomerId;
use coordination::ids::DomainId;
use coordination::ids::Epoch;
use coordination::ids::Revision;
use coordination::ids::TargetId;
use coordination::listed_host::ListedHost;

/// One entry of the configuration log in its encoded form.
#[derive(Clone, Debug, PartialEq)]
pub struct WireChange {
    /// Revision of the entry.
    pub revision: Revision,
    /// Encoded entry, identical to the one in the store.
    pub encoded: Bytes,
}

/// A lease of slots of one target, which the holder may fill until the term ends.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotLease {
    /// Target whose slots are leased.
    pub target: TargetId,
    /// Number of leased slots.
    pub slots: u32,
    /// Epoch of the owner that granted the lease.
    pub epoch: Epoch,
    /// Duration of the lease, counted from the sending of the request, by the holder's monotonic clock.
    pub term: Duration,
}

/// The outcome of a ticket, handed over by a host that leaves.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeEntry {
    /// Text of the ticket.
    pub ticket: Box<str>,
    /// Outcome in its encoded form.
    pub encoded: Bytes,
    /// Time until the outcome expires.
    pub expires_in: Duration,
}

/// A request from one host to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// Announces the state of the sender.
    Heartbeat {
        /// State of the sender itself.
        own: Heartbeat,
        /// Recent heartbeats of some other hosts, as received by the sender.
        others: Vec<HeardHeartbeat>,
    },
    /// Requests the configuration changes after a revision.
    PullChanges {
        /// Last revision that the sender has.
        after: Revision,
    },
    /// Sends configuration changes to a host that may not have them.
    PushChanges {
        /// Changes in the order of their revisions.
        changes: Vec<WireChange>,
    },
    /// Requests a part of the encoded state in force; used by a host that starts while the store is unavailable.
    PullState {
        /// Number of bytes of the encoded state that the sender already has.
        offset: u64,
    },
    /// Requests floor plans with later epochs than those of the sender.
    PullPlans {
        /// Failure domains with the epochs of the plans that the sender has.
        known: Vec<(DomainId, Epoch)>,
    },
    /// Sends floor plans to a host that may not have them.
    PushPlans {
        /// Floor plans, each with its failure domain and epoch.
        plans: Vec<FloorPlan>,
    },
    /// Sends the rows of the platform's host list for the sender's failure domain.
    PushHosts {
        /// Rows of the host list.
        rows: Vec<ListedHost>,
    },
    /// Requests tokens of a customer out of the receiver's share.
    BorrowTokens {
        /// Customer whose rate limit the tokens belong to.
        customer: CustomerId,
        /// Amount requested at once, in millionths of a token.
        micro_tokens: u64,
        /// Share of the customer's whole rate that is requested for a term, in parts per million; 0 for none.
        rate_ppm: u32,
    },
    /// Requests slots from the host that owns them.
    LeaseSlots {
        /// Sequence number of the request at its sender. The owner ignores a number that is not higher than the last one
        /// it acted on, and the sender ignores the answer to any request but its latest.
        sequence: u64,
        /// Targets with the total number of slots requested, including slots in use. The owner revokes what the sender
        /// holds beyond that.
        wanted: Vec<(TargetId, u32)>,
    },
    /// Returns leased slots before their term ends.
    ReturnSlots {
        /// Targets with the number of slots that are returned.
        returned: Vec<(TargetId, u32)>,
    },
    /// Hands over the outcomes of tickets, as the sender leaves.
    KeepOutcomes {
        /// Outcomes that the receiver has to keep.
        outcomes: Vec<OutcomeEntry>,
    },
}

/// The reply to a [`PeerRequest`]. Here the caller is the host that sent the request.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerReply {
    /// Announces the state of the callee.
    Heartbeat {
        /// State of the callee itself.
        own: Heartbeat,
        /// Recent heartbeats of some other hosts, as received by the callee.
        others: Vec<HeardHeartbeat>,
    },
    /// Configuration changes in order; only the first of them if not all fit into one message.
    Changes {
        /// Changes after the requested revision.
        changes: Vec<WireChange>,
        /// Latest revision that the callee has, sent or not.
        latest: Revision,
    },
    /// A part of the state in force, encoded as a snapshot.
    State {
        /// Revision of the encoded state; parts of different revisions do not belong together.
        revision: Revision,
        /// Bytes of the encoded state from the requested offset.
        encoded: Bytes,
        /// Length of the whole encoded state, in bytes.
        total_bytes: u64,
    },
    /// Floor plans with later epochs than those the caller named.
    Plans {
        /// Floor plans, each with its failure domain and epoch.
        plans: Vec<FloorPlan>,
    },
    /// Tokens that the caller may now use in place of the callee.
    TokensLent {
        /// Amount in millionths of a token, at most the requested one.
        micro_tokens: u64,
        /// Share of the customer's whole rate that the callee gives up for the term, in parts per million.
        rate_ppm: u32,
        /// Duration of the loan of the rate, counted from the sending of the request, by the borrower's monotonic clock.
        term: Duration,
    },
    /// Slots that the caller holds on lease now.
    SlotsLeased {
        /// Leases that the caller holds.
        leases: Vec<SlotLease>,
    },
    /// Acknowledges a request that needs no other reply.
    Done,
}
