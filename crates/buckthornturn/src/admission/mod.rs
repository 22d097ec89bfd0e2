//! Admission control: checks the customer's rate, acquires a target slot and places each request.

mod budget_gate;
mod budget_report;
mod customer_account;
mod domain_split;
mod floor_planner;
mod floor_tracker;
mod floor_updates;
mod free_targets;
mod gate_core;
mod gate_shared;
mod least_in_flight;
mod link_meter;
mod loan_handler;
mod local_gate;
mod own_host;
mod owner_state;
mod plan_draft;
mod service_state;
mod slot_borrower;
mod slot_guard;
mod slot_leasing;
mod slot_lender;
mod target_slots;
mod token_round;

pub use budget_gate::BudgetGate;
pub use budget_report::BudgetReport;
pub use budget_report::CustomerRow;
pub use budget_report::TargetRow;
pub use floor_planner::CheckPlan;
pub use floor_planner::ConfirmPlan;
pub use floor_planner::FloorPlanner;
pub use least_in_flight::LeastInFlight;
pub use loan_handler::LoanHandler;
pub use local_gate::LocalGate;
pub use own_host::OwnHost;

#[cfg(test)]
mod tests;
