//! Tokens and slots of one host, as operators see them.

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

/// Tokens and slots of one host at one moment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BudgetReport {
    /// Whether the host leaves its floors unused because the process was paused.
    pub paused: bool,
    /// Tokens of every configured customer on this host.
    pub customers: Vec<CustomerRow>,
    /// Slots of every target known to this host.
    pub targets: Vec<TargetRow>,
}

/// A customer's tokens on one host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CustomerRow {
    /// Name of the customer in the configuration.
    pub customer: CustomerId,
    /// Rate of this host's floor, in tokens per second.
    pub floor_rate: f64,
    /// Current rate including loans in both directions, in tokens per second.
    pub rate: f64,
    /// Tokens that can be spent on this host now.
    pub tokens: f64,
    /// Number of requests that wait for tokens.
    pub waiting: usize,
}

/// A target's slots on one host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetRow {
    /// Name of the target in the configuration.
    pub target: TargetId,
    /// Host that holds the target's floor by the latest plan known here; `None` if no plan gives it to a host.
    pub owner: Option<HostId>,
    /// Whether this host may use the target's floor now.
    pub open: bool,
    /// Configured slots of the target over the whole fleet.
    pub slots: u32,
    /// Slots that this host has lent to other hosts.
    pub lent: u32,
    /// Slots that this host has borrowed from other hosts.
    pub borrowed: u32,
    /// Requests in flight from this host to the target.
    pub in_flight: u32,
}

impl BudgetReport {
    /// Reads the report from a gate's state.
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
