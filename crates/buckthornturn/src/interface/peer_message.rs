//! Messages between hosts.

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

/// One entry of the configuration log as it travels.
#[derive(Clone, Debug, PartialEq)]
pub struct WireChange {
    /// Its revision.
    pub revision: Revision,
    /// Its encoded form, as in the store.
    pub encoded: Bytes,
}

/// Slots of one target that the holder may fill until the term ends.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotLease {
    /// Target.
    pub target: TargetId,
    /// Slots.
    pub slots: u32,
    /// Epoch of the owner that granted it.
    pub epoch: Epoch,
    /// Term from the moment that the request was sent, by the holder's monotonic clock.
    pub term: Duration,
}

/// The remembered outcome of a ticket, passed on by a host that leaves.
#[derive(Clone, Debug, PartialEq)]
pub struct OutcomeEntry {
    /// Ticket text.
    pub ticket: Box<str>,
    /// Encoded outcome.
    pub encoded: Bytes,
    /// Rest of its life.
    pub expires_in: Duration,
}

/// A request from one host to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// Tells the sender's state.
    Heartbeat {
        /// The sender's own state.
        own: Heartbeat,
        /// What it heard of some others lately.
        others: Vec<HeardHeartbeat>,
    },
    /// Asks for changes after a revision.
    PullChanges {
        /// Last revision that the caller has.
        after: Revision,
    },
    /// Sends changes.
    PushChanges {
        /// Changes in order.
        changes: Vec<WireChange>,
    },
    /// Asks for a piece of the state in force, for a host that starts while the store is out.
    PullState {
        /// Number of bytes of the encoded state that the caller has.
        offset: u64,
    },
    /// Asks for floor plans that are later than those named.
    PullPlans {
        /// Failure domains with the epochs that the caller has.
        known: Vec<(DomainId, Epoch)>,
    },
    /// Sends floor plans.
    PushPlans {
        /// Plans.
        plans: Vec<FloorPlan>,
    },
    /// Sends the rows of the platform's host list for the sender's failure domain.
    PushHosts {
        /// Rows.
        rows: Vec<ListedHost>,
    },
    /// Asks for tokens of a customer, taken out of the callee's own part.
    BorrowTokens {
        /// Customer.
        customer: CustomerId,
        /// Wanted now, in millionths of a token.
        micro_tokens: u64,
        /// Part of the customer's whole rate wanted for a term, in parts per million; 0 for none.
        rate_ppm: u32,
    },
    /// Asks the owner for slots.
    LeaseSlots {
        /// Number of the request at its sender; the owner ignores one that is not later than the last it acted on,
        /// and the sender ignores the answer to any but its latest.
        sequence: u64,
        /// Targets with the number of slots wanted in all, those that are filled included. The owner takes back
        /// what the sender holds beyond that.
        wanted: Vec<(TargetId, u32)>,
    },
    /// Gives slots back before their term ends.
    ReturnSlots {
        /// Targets with the number of slots given back.
        returned: Vec<(TargetId, u32)>,
    },
    /// Hands remembered outcomes over.
    KeepOutcomes {
        /// Outcomes.
        outcomes: Vec<OutcomeEntry>,
    },
}

/// An answer to a `PeerRequest`.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerReply {
    /// The callee's own state.
    Heartbeat {
        /// The callee's own state.
        own: Heartbeat,
        /// What it heard of some others lately.
        others: Vec<HeardHeartbeat>,
    },
    /// Changes in order; fewer than there are if they would not fit.
    Changes {
        /// Changes.
        changes: Vec<WireChange>,
        /// Latest revision that the callee has.
        latest: Revision,
    },
    /// A piece of the state, encoded as a snapshot.
    State {
        /// Revision of the state.
        revision: Revision,
        /// Bytes of the encoded state from the offset that was asked for.
        encoded: Bytes,
        /// Length of the whole encoded state in bytes.
        total_bytes: u64,
    },
    /// Later floor plans.
    Plans {
        /// Plans.
        plans: Vec<FloorPlan>,
    },
    /// Tokens that now belong to the caller, in millionths.
    TokensLent {
        /// Amount; at most what was asked for.
        micro_tokens: u64,
        /// Part of the customer's whole rate that the callee does without for the term, in parts per million.
        rate_ppm: u32,
        /// Term of the rate, from the moment that the request was sent, by the borrower's monotonic clock.
        term: Duration,
    },
    /// Slots that the caller holds now.
    SlotsLeased {
        /// Leases.
        leases: Vec<SlotLease>,
    },
    /// Done.
    Done,
}
