//! Kinds of requests between hosts, for routing and counting.

use crate::interface::PeerRequest;

/// Kind of a request between hosts, by which it is routed to a handler and counted. Its number is the index of its
/// counters.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestKind {
    /// Exchange of heartbeats, [`PeerRequest::Heartbeat`].
    Heartbeat,
    /// Request for configuration changes, [`PeerRequest::PullChanges`].
    PullChanges,
    /// Delivery of configuration changes, [`PeerRequest::PushChanges`].
    PushChanges,
    /// Request for a piece of the encoded state, [`PeerRequest::PullState`].
    PullState,
    /// Request for later floor plans, [`PeerRequest::PullPlans`].
    PullPlans,
    /// Delivery of floor plans, [`PeerRequest::PushPlans`].
    PushPlans,
    /// Delivery of rows of the platform's host list, [`PeerRequest::PushHosts`].
    PushHosts,
    /// Request to borrow tokens of a customer, [`PeerRequest::BorrowTokens`].
    BorrowTokens,
    /// Request for leases of slots, [`PeerRequest::LeaseSlots`].
    LeaseSlots,
    /// Return of leased slots, [`PeerRequest::ReturnSlots`].
    ReturnSlots,
    /// Handover of remembered outcomes, [`PeerRequest::KeepOutcomes`].
    KeepOutcomes,
}

impl RequestKind {
    /// All kinds in the order of their numbers.
    pub const ALL: [Self; 11] = [
        Self::Heartbeat,
        Self::PullChanges,
        Self::PushChanges,
        Self::PullState,
        Self::PullPlans,
        Self::PushPlans,
        Self::PushHosts,
        Self::BorrowTokens,
        Self::LeaseSlots,
        Self::ReturnSlots,
        Self::KeepOutcomes,
    ];

    /// Returns the kind of a request.
    pub fn of(request: &PeerRequest) -> Self {
        match request {
            PeerRequest::Heartbeat { .. } => Self::Heartbeat,
            PeerRequest::PullChanges { .. } => Self::PullChanges,
            PeerRequest::PushChanges { .. } => Self::PushChanges,
            PeerRequest::PullState { .. } => Self::PullState,
            PeerRequest::PullPlans { .. } => Self::PullPlans,
            PeerRequest::PushPlans { .. } => Self::PushPlans,
            PeerRequest::PushHosts { .. } => Self::PushHosts,
            PeerRequest::BorrowTokens { .. } => Self::BorrowTokens,
            PeerRequest::LeaseSlots { .. } => Self::LeaseSlots,
            PeerRequest::ReturnSlots { .. } => Self::ReturnSlots,
            PeerRequest::KeepOutcomes { .. } => Self::KeepOutcomes,
        }
    }

    /// Name of the kind in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::PullChanges => "pull_changes",
            Self::PushChanges => "push_changes",
            Self::PullState => "pull_state",
            Self::PullPlans => "pull_plans",
            Self::PushPlans => "push_plans",
            Self::PushHosts => "push_hosts",
            Self::BorrowTokens => "borrow_tokens",
            Self::LeaseSlots => "lease_slots",
            Self::ReturnSlots => "return_slots",
            Self::KeepOutcomes => "keep_outcomes",
        }
    }
}
