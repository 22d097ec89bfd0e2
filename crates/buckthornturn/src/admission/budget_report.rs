//! Budgets of one host as operators see them.

use std::time::Instant;

use coordination::held_slots::HeldSlots;
use coordination::ids::CustomerId;
use coordination::ids::HostId;
use coordination::ids::TargetId;
use coordination::token_bucket::MICRO_TOKENS;
use serde::Serialize;

use crate::admission::customer_account::CustomerAccount;
use crate::admission::gate_core::GateCore;
use crate::admission::target_slots::TargetSlots;

/// Budgets of one host now.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BudgetReport {
    /// Whether floors are unused since a pause.
    pub paused: bool,
    /// Customers' tokens here.
    pub customers: Vec<CustomerRow>,
    /// Targets' slots here.
    pub targets: Vec<TargetRow>,
}

/// A customer's tokens on one host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CustomerRow {
    /// Customer.
    pub customer: CustomerId,
    /// Rate of the floor held here, in tokens a second.
    pub floor_rate: f64,
    /// Rate now, loans included, in tokens a second.
    pub rate: f64,
    /// Tokens here now.
    pub tokens: f64,
    /// Requests that wait for tokens.
    pub waiting: usize,
}

/// A target's slots on one host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetRow {
    /// Target.
    pub target: TargetId,
    /// Holder of its floor by the latest plan known here.
    pub owner: Option<HostId>,
    /// Whether this host uses the floor.
    pub open: bool,
    /// Slots of the target in all.
    pub slots: u32,
    /// Slots lent to others.
    pub lent: u32,
    /// Slots borrowed from others.
    pub borrowed: u32,
    /// Requests in flight from this host.
    pub in_flight: u32,
}

impl BudgetReport {
    /// What a gate holds.
    pub(crate) fn from_core(core: &mut GateCore, now: Instant) -> Self {
        let customers = core.customers.iter_mut();
        Self {
            paused: core.pause.check(now),
            customers: customers.map(|(name, account)| customer_row(name, account, now)).collect(),
            targets: core.targets.iter().map(|(name, slots)| target_row(name, slots)).collect(),
        }
    }
}

fn customer_row(name: &CustomerId, account: &mut CustomerAccount, now: Instant) -> CustomerRow {
    let tokens = |micro: u64| micro as f64 / MICRO_TOKENS as f64;
    CustomerRow {
        customer: name.clone(),
        floor_rate: tokens(account.budget.floor().rate),
        rate: tokens(account.budget.rate(now)),
        tokens: tokens(account.budget.level(now)),
        waiting: account.waiter_count(),
    }
}

fn target_row(name: &TargetId, slots: &TargetSlots) -> TargetRow {
    TargetRow {
        target: name.clone(),
        owner: slots.owner.clone(),
        open: slots.is_floor_open,
        slots: slots.total,
        lent: slots.ledger.lent(),
        borrowed: slots.borrowed.values().map(HeldSlots::slots).sum(),
        in_flight: slots.in_flight(),
    }
}
