//! Policies that enforce a rate over a fleet.

use crate::budget_model::central_service::CentralService;
use crate::budget_model::floors_and_loans::FloorsAndLoans;
use crate::budget_model::message_bus::MessageBus;
use crate::budget_model::message_bus::ModelEvent;
use crate::budget_model::static_split::StaticSplit;
use crate::budget_model::usage_gossip::UsageGossip;

/// One request of a customer at one host; `id` is its index in the order of arrival.
#[derive(Clone, Copy, Debug)]
pub struct ModelRequest {
    pub id: usize,
    pub customer: usize,
    pub host: usize,
}

/// Policy that enforces the rate of each customer over all hosts.
pub trait AdmissionPolicy {
    /// Decides on a request at once or later, in both cases through `bus.decide`.
    fn admit_request(&mut self, request: ModelRequest, bus: &mut MessageBus);

    /// Handles an event that the policy scheduled.
    fn handle_event(&mut self, event: ModelEvent, bus: &mut MessageBus);
}

/// Policies that the benchmark compares.
#[derive(Clone, Copy, Debug)]
pub enum PolicyKind {
    Split,
    Central,
    Gossip,
    Floors,
}

impl PolicyKind {
    pub const ALL: [Self; 4] = [Self::Split, Self::Central, Self::Gossip, Self::Floors];

    pub fn name(self) -> &'static str {
        match self {
            Self::Split => "static split",
            Self::Central => "central service",
            Self::Gossip => "usage gossip",
            Self::Floors => "floors and loans",
        }
    }

    pub fn build(self, bus: &mut MessageBus) -> Box<dyn AdmissionPolicy> {
        match self {
            Self::Split => Box::new(StaticSplit::new(bus)),
            Self::Central => Box::new(CentralService::new(bus)),
            Self::Gossip => Box::new(UsageGossip::new(bus)),
            Self::Floors => Box::new(FloorsAndLoans::new(bus)),
        }
    }
}
