//! Policy of floors and loans, simulated with the budget and borrow plan that the hosts run.

use std::time::Duration;
use std::time::Instant;

use coordination::borrow_plan::BorrowPlan;
use coordination::borrow_plan::RoundResult;
use coordination::customer_budget::CustomerBudget;
use coordination::customer_budget::TokenLoan;
use coordination::floor_share::units_at_position;
use coordination::lease_term::REGIONAL_TOKEN_TERM;
use coordination::lease_term::TOKEN_TERM;
use coordination::token_bucket::MICRO_TOKENS;

use crate::budget_model::FaultCase;
use crate::budget_model::message_bus::CUSTOMERS;
use crate::budget_model::message_bus::DOMAIN_OF;
use crate::budget_model::message_bus::DOMAINS;
use crate::budget_model::message_bus::HOSTS;
use crate::budget_model::message_bus::LIMIT;
use crate::budget_model::message_bus::MessageBus;
use crate::budget_model::message_bus::ModelEvent;
use crate::budget_model::message_bus::REGION_OF;
use crate::budget_model::policy_kind::AdmissionPolicy;
use crate::budget_model::policy_kind::ModelRequest;

const REGIONAL_REPLY_WAIT: Duration = REGIONAL_TOKEN_TERM;
const FOREIGN_REPLY_WAIT: Duration = TOKEN_TERM;
const MIN_FOREIGN_PEERS_PER_STEP: usize = 1;
const FLOOR_TICK: Duration = Duration::from_millis(500);
/// Time from the death of a host to the floor plan without it, which needs proof of the death.
const PLAN_CHANGE_DELAY: Duration = Duration::from_secs(3);
/// Time from the new plan until the loans of the dead host have expired.
const FLOOR_GAIN_DELAY: Duration = Duration::from_millis(2_100);

struct CustomerState {
    budget: CustomerBudget,
    plan: BorrowPlan,
    waiters: Vec<(usize, bool, Duration)>,
    waiters_in_round: usize,
    round: u64,
    replies_due: usize,
    step: usize,
}

/// Each host holds floors of some customers and borrows from other holders when they run out.
pub struct FloorsAndLoans {
    states: Vec<Vec<CustomerState>>,
    died_at: [Option<Duration>; HOSTS],
}

impl FloorsAndLoans {
    pub fn new(bus: &mut MessageBus) -> Self {
        let now = bus.now();
        let state = || CustomerState {
            budget: CustomerBudget::new(now),
            plan: BorrowPlan::new(now),
            waiters: Vec::new(),
            waiters_in_round: 0,
            round: 0,
            replies_due: 0,
            step: 0,
        };
        let customers = || (0..CUSTOMERS).map(|_| state()).collect();
        let mut policy =
            Self { states: (0..HOSTS).map(|_| customers()).collect(), died_at: [None; HOSTS] };
        policy.set_floors(bus);
        bus.schedule_after(FLOOR_TICK, ModelEvent::Tick);
        policy
    }

    /// Assigns the floors. Those of a dead host move to the other host of its domain once the plan has changed, which
    /// requires the store.
    fn set_floors(&mut self, bus: &MessageBus) {
        for host in 0..HOSTS {
            match self.died_at[host] {
                None if !bus.is_up(host) => self.died_at[host] = Some(bus.at),
                Some(_) if bus.is_up(host) => self.died_at[host] = None,
                _ => {}
            }
        }
        for customer in 0..CUSTOMERS {
            for domain in 0..DOMAINS {
                let hosts: Vec<_> = (0..HOSTS).filter(|host| DOMAIN_OF[*host] == domain).collect();
                let first = hosts[customer % hosts.len()];
                let other = hosts[(customer + 1) % hosts.len()];
                let is_replaced = bus.case == FaultCase::HostKilled
                    && self.died_at[first]
                        .is_some_and(|died| bus.at >= died + PLAN_CHANGE_DELAY + FLOOR_GAIN_DELAY);
                let holder = if is_replaced { other } else { first };
                for host in hosts {
                    let position = (domain + customer) % DOMAINS;
                    let units = match host == holder {
                        true => units_at_position(LIMIT.whole_tokens(), DOMAINS, position),
                        false => 0,
                    };
                    let floor = LIMIT.fraction(units, LIMIT.whole_tokens());
                    let budget = &mut self.states[host][customer].budget;
                    if budget.floor() != floor || budget.limit() != LIMIT {
                        budget.set_floor(LIMIT, floor, bus.now());
                    }
                }
            }
        }
    }

    fn start_round(&mut self, host: usize, customer: usize, bus: &mut MessageBus) {
        let state = &mut self.states[host][customer];
        if state.plan.start_round() {
            state.waiters.iter_mut().for_each(|waiter| waiter.1 = true);
            state.waiters_in_round = state.waiters.len();
            state.step = 0;
            self.ask_next_lenders(host, customer, bus);
        }
    }

    /// Requests loans from the next lender in the region or, after these, from a group of lenders in other regions; ends the
    /// round if no lender is left.
    fn ask_next_lenders(&mut self, host: usize, customer: usize, bus: &mut MessageBus) {
        let (regional, foreign) = self.lenders(host, customer, bus);
        let state = &mut self.states[host][customer];
        let now = bus.now();
        let wanted = state.waiters.len() as u64 * MICRO_TOKENS;
        let (peers, wait) = match regional.get(state.step) {
            Some(peer) => (vec![*peer], REGIONAL_REPLY_WAIT),
            None => {
                let asked = (state.step - regional.len()) * MIN_FOREIGN_PEERS_PER_STEP;
                let count = MIN_FOREIGN_PEERS_PER_STEP.max(state.waiters.len());
                let peers = foreign.iter().skip(asked).take(count).copied().collect();
                (peers, FOREIGN_REPLY_WAIT)
            }
        };
        let loan = state.plan.next_loan_request(&mut state.budget, wanted, peers.len(), now);
        let Some(loan) = loan else {
            return self.end_round(host, customer, bus);
        };
        state.step += 1;
        state.round += 1;
        state.replies_due = peers.len();
        let round = state.round;
        for to in peers {
            bus.send(
                host,
                to,
                ModelEvent::LoanRequest { from: host, to, customer, loan, sent_at: now },
            );
        }
        bus.schedule_after(wait, ModelEvent::StepTimeout { host, customer, round });
    }

    fn end_round(&mut self, host: usize, customer: usize, bus: &mut MessageBus) {
        let state = &mut self.states[host][customer];
        state.serve(bus);
        let left = state.waiters.iter().filter(|(_, is_in_round, _)| *is_in_round).count();
        state.round += 1;
        let result = RoundResult::of(state.waiters_in_round, left);
        state.plan.finish_round(result, LIMIT, bus.now());
        let may_wait_again = state.plan.may_wait_again();
        let at = bus.at;
        let (remaining, late): (Vec<_>, Vec<_>) =
            std::mem::take(&mut state.waiters).into_iter().partition(|waiter| {
                may_wait_again && at < waiter.2 + BorrowPlan::max_token_wait(LIMIT)
            });
        state.waiters = remaining;
        for (id, ..) in late {
            bus.decide(id, false);
        }
        if !state.waiters.is_empty() {
            let pause = state.plan.time_until_next_round(bus.now());
            bus.schedule_after(pause, ModelEvent::NextRound { host, customer });
        }
    }

    /// Running holders of the customer's floors: those in the region of `host`, the nearest first, and all others.
    fn lenders(&self, host: usize, customer: usize, bus: &MessageBus) -> (Vec<usize>, Vec<usize>) {
        let is_lender = |peer: &usize| {
            *peer != host
                && bus.is_up(*peer)
                && self.states[*peer][customer].budget.floor().burst > 0
        };
        let region = REGION_OF[DOMAIN_OF[host]];
        let (mut regional, foreign): (Vec<_>, Vec<_>) =
            (0..HOSTS).filter(is_lender).partition(|peer| REGION_OF[DOMAIN_OF[*peer]] == region);
        regional.sort_by_key(|peer| DOMAIN_OF[*peer] != DOMAIN_OF[host]);
        (regional, foreign)
    }

    fn lend(&mut self, event: ModelEvent, bus: &mut MessageBus) {
        let ModelEvent::LoanRequest { from, to, customer, loan, sent_at } = event else {
            return;
        };
        if !bus.is_up(to) {
            return;
        }
        let now = bus.now();
        let state = &mut self.states[to][customer];
        let needed_rate = state.plan.needed_rate(LIMIT, now);
        let reserved = state.waiters.len() as u64 * MICRO_TOKENS;
        let is_regional = REGION_OF[DOMAIN_OF[from]] == REGION_OF[DOMAIN_OF[to]];
        let term = if is_regional { REGIONAL_TOKEN_TERM } else { TOKEN_TERM };
        let loan = state.budget.lend(TokenLoan { term, ..loan }, reserved, needed_rate, now);
        bus.send(to, from, ModelEvent::LoanReply { to: from, customer, loan, sent_at });
    }

    fn receive(&mut self, event: ModelEvent, bus: &mut MessageBus) {
        let ModelEvent::LoanReply { to, customer, loan, sent_at } = event else {
            return;
        };
        if !bus.is_up(to) {
            return;
        }
        let state = &mut self.states[to][customer];
        state.budget.receive_loan(loan, sent_at, bus.now());
        state.replies_due = state.replies_due.saturating_sub(1);
        state.serve(bus);
        if state.replies_due == 0 {
            self.ask_next_lenders(to, customer, bus);
        }
    }
}

impl CustomerState {
    fn serve(&mut self, bus: &mut MessageBus) {
        let now: Instant = bus.now();
        while let Some((id, ..)) = self.waiters.first().copied() {
            if !self.budget.spend(MICRO_TOKENS, now) {
                break;
            }
            self.waiters.remove(0);
            bus.decide(id, true);
        }
    }
}

impl AdmissionPolicy for FloorsAndLoans {
    fn admit_request(&mut self, request: ModelRequest, bus: &mut MessageBus) {
        let ModelRequest { id, customer, host } = request;
        let now = bus.now();
        let state = &mut self.states[host][customer];
        state.plan.record_demand(MICRO_TOKENS, now);
        if state.waiters.is_empty() && state.budget.spend(MICRO_TOKENS, now) {
            bus.decide(id, true);
        } else if BorrowPlan::exceeds_fleet_supply(
            LIMIT,
            (state.waiters.len() as u64 + 1) * MICRO_TOKENS,
        ) {
            bus.decide(id, false);
        } else if state.plan.may_borrow(now) {
            state.waiters.push((id, false, bus.at));
            self.start_round(host, customer, bus);
        } else if state.plan.may_wait_again() {
            state.waiters.push((id, false, bus.at));
            let pause = state.plan.time_until_next_round(now);
            bus.schedule_after(pause, ModelEvent::NextRound { host, customer });
        } else {
            bus.decide(id, false);
        }
    }

    fn handle_event(&mut self, event: ModelEvent, bus: &mut MessageBus) {
        match event {
            ModelEvent::LoanRequest { .. } => self.lend(event, bus),
            ModelEvent::LoanReply { .. } => self.receive(event, bus),
            ModelEvent::StepTimeout { host, customer, round }
                if self.states[host][customer].round == round =>
            {
                self.ask_next_lenders(host, customer, bus);
            }
            ModelEvent::NextRound { host, customer }
                if !self.states[host][customer].waiters.is_empty() =>
            {
                self.start_round(host, customer, bus);
            }
            ModelEvent::Tick => {
                self.set_floors(bus);
                bus.schedule_after(FLOOR_TICK, ModelEvent::Tick);
            }
            _ => {}
        }
    }
}
