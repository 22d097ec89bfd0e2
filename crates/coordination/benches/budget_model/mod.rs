//! Deterministic simulation of a fleet of hosts, customers and messages.

mod central_service;
mod fault_case;
mod fleet_model;
mod floors_and_loans;
mod message_bus;
mod policy_kind;
mod static_split;
mod usage_gossip;

pub use fault_case::FaultCase;
pub use fleet_model::FleetModel;
pub use policy_kind::PolicyKind;
