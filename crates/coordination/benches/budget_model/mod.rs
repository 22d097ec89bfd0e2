//! A fleet of hosts, customers and messages in a deterministic model.

mod central_service;
mod fault_case;
mod fleet_model;
mod floors_and_loans;
mod message_bus;
mod static_split;
mod usage_gossip;
mod way_kind;

pub use fault_case::FaultCase;
pub use fleet_model::FleetModel;
pub use way_kind::WayKind;
