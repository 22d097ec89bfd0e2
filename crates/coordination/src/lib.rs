//! Coordination parts of buckthornturn, free of I/O: time and randomness come in as arguments.

pub mod append_attempt;
pub mod blocks;
pub mod borrow_plan;
pub mod call_budget;
pub mod circuit_breaker;
pub mod demand_meter;
pub mod fair_queue;
pub mod floor_ledger;
pub mod floor_plan;
pub mod floor_share;
pub mod heartbeat;
pub mod held_slots;
pub mod ids;
pub mod lease_term;
pub mod listed_host;
mod member_record;
pub mod member_table;
pub mod member_view;
pub mod outcome_table;
pub mod placement;
pub mod rendezvous;
pub mod retry_budget;
pub mod shift;
pub mod slot_ledger;
pub mod tenant_budget;
pub mod ticket;
pub mod token_bucket;
