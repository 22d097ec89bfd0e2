//! Floors and loans, by the parts that the hosts run.

use std::time::Duration;
use std::time::Instant;

use coordination::borrow_plan::BorrowPlan;
use coordination::borrow_plan::RoundResult;
use coordination::customer_budget::CustomerBudget;
use coordination::customer_budget::TokenLoan;
use coordination::floor_share::units_at;
use coordination::lease_term::NEAR_TOKEN_TERM;
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
use crate::budget_model::way_kind::AdmissionWay;
use crate::budget_model::way_kind::ModelRequest;

const NEAR_WAIT: Duration = NEAR_TOKEN_TERM;
const FAR_WAIT: Duration = TOKEN_TERM;
const FAR_AT_ONCE: usize = 1;
const FLOOR_TICK: Duration = Duration::from_millis(500);
/// Time from a death to its proof, and to the plan without the dead host.
const PLAN_CHANGE_AFTER: Duration = Duration::from_secs(3);
/// Time from the new plan until loans of the dead host have lapsed.
const GAIN_AFTER: Duration = Duration::from_millis(2_100);

struct CustomerSide {
    budget: CustomerBudget,
    plan: BorrowPlan,
    waiters: Vec<(usize, bool, Duration)>,
    in_round: usize,
    round: u64,
    replies_due: usize,
    step: usize,
}

/// Floors and loans.
pub struct FloorsAndLoans {
    sides: Vec<Vec<CustomerSide>>,
    died_at: [Option<Duration>; HOSTS],
}

impl FloorsAndLoans {
    pub fn new(bus: &mut MessageBus) -> Self {
        let now = bus.now();
        let side = || CustomerSide {
            budget: CustomerBudget::new(now),
            plan: BorrowPlan::new(now),
            waiters: Vec::new(),
            in_round: 0,
            round: 0,
            replies_due: 0,
            step: 0,
        };
        let customers = || (0..CUSTOMERS).map(|_| side()).collect();
        let mut way =
            Self { sides: (0..HOSTS).map(|_| customers()).collect(), died_at: [None; HOSTS] };
        way.set_floors(bus);
        bus.after(FLOOR_TICK, ModelEvent::Tick);
        way
    }

    /// Floors move to the other host of a domain once its plan has changed; without the store it cannot change.
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
                        .is_some_and(|died| bus.at >= died + PLAN_CHANGE_AFTER + GAIN_AFTER);
                let holder = if is_replaced { other } else { first };
                for host in hosts {
                    let position = (domain + customer) % DOMAINS;
                    let units = match host == holder {
                        true => units_at(LIMIT.units(), DOMAINS, position),
                        false => 0,
                    };
                    let floor = LIMIT.fraction(units, LIMIT.units());
                    let budget = &mut self.sides[host][customer].budget;
                    if budget.floor() != floor || budget.limit() != LIMIT {
                        budget.set_floor(LIMIT, floor, bus.now());
                    }
                }
            }
        }
    }

    fn start_round(&mut self, host: usize, customer: usize, bus: &mut MessageBus) {
        let side = &mut self.sides[host][customer];
        if side.plan.start() {
            side.waiters.iter_mut().for_each(|waiter| waiter.1 = true);
            side.in_round = side.waiters.len();
            side.step = 0;
            self.take_step(host, customer, bus);
        }
    }

    /// Asks the next holder of the region, or all others together; ends the round if none is left.
    fn take_step(&mut self, host: usize, customer: usize, bus: &mut MessageBus) {
        let (near, far) = self.lenders(host, customer, bus);
        let side = &mut self.sides[host][customer];
        let now = bus.now();
        let wanted = side.waiters.len() as u64 * MICRO_TOKENS;
        let (peers, wait) = match near.get(side.step) {
            Some(peer) => (vec![*peer], NEAR_WAIT),
            None => {
                let asked = (side.step - near.len()) * FAR_AT_ONCE;
                let count = FAR_AT_ONCE.max(side.waiters.len());
                let peers = far.iter().skip(asked).take(count).copied().collect();
                (peers, FAR_WAIT)
            }
        };
        let loan = side.plan.step(&mut side.budget, wanted, peers.len(), now);
        let Some(loan) = loan else {
            return self.end_round(host, customer, bus);
        };
        side.step += 1;
        side.round += 1;
        side.replies_due = peers.len();
        let round = side.round;
        for to in peers {
            bus.send(host, to, ModelEvent::Ask { from: host, to, customer, loan, sent_at: now });
        }
        bus.after(wait, ModelEvent::StepOver { host, customer, round });
    }

    fn end_round(&mut self, host: usize, customer: usize, bus: &mut MessageBus) {
        let side = &mut self.sides[host][customer];
        side.serve(bus);
        let left = side.waiters.iter().filter(|(_, is_in_round, _)| *is_in_round).count();
        side.round += 1;
        let result = RoundResult::of(side.in_round, left);
        side.plan.finish(result, LIMIT, bus.now());
        let is_patient = side.plan.is_patient();
        let at = bus.at;
        let (kept, late): (Vec<_>, Vec<_>) = std::mem::take(&mut side.waiters)
            .into_iter()
            .partition(|waiter| is_patient && at < waiter.2 + BorrowPlan::longest_wait(LIMIT));
        side.waiters = kept;
        for (id, ..) in late {
            bus.decide(id, false);
        }
        if !side.waiters.is_empty() {
            let pause = side.plan.pause(bus.now());
            bus.after(pause, ModelEvent::NextRound { host, customer });
        }
    }

    /// Holders of the customer's floors that may lend: those of the region, the nearest first, and the others.
    fn lenders(&self, host: usize, customer: usize, bus: &MessageBus) -> (Vec<usize>, Vec<usize>) {
        let is_lender = |peer: &usize| {
            *peer != host
                && bus.is_up(*peer)
                && self.sides[*peer][customer].budget.floor().burst > 0
        };
        let region = REGION_OF[DOMAIN_OF[host]];
        let (mut near, far): (Vec<_>, Vec<_>) =
            (0..HOSTS).filter(is_lender).partition(|peer| REGION_OF[DOMAIN_OF[*peer]] == region);
        near.sort_by_key(|peer| DOMAIN_OF[*peer] != DOMAIN_OF[host]);
        (near, far)
    }

    fn lend(&mut self, event: ModelEvent, bus: &mut MessageBus) {
        let ModelEvent::Ask { from, to, customer, loan, sent_at } = event else {
            return;
        };
        if !bus.is_up(to) {
            return;
        }
        let now = bus.now();
        let side = &mut self.sides[to][customer];
        let own_rate = side.plan.own_rate(LIMIT, now);
        let kept = side.waiters.len() as u64 * MICRO_TOKENS;
        let is_near = REGION_OF[DOMAIN_OF[from]] == REGION_OF[DOMAIN_OF[to]];
        let term = if is_near { NEAR_TOKEN_TERM } else { TOKEN_TERM };
        let loan = side.budget.lend(TokenLoan { term, ..loan }, kept, own_rate, now);
        bus.send(to, from, ModelEvent::Reply { to: from, customer, loan, sent_at });
    }

    fn receive(&mut self, event: ModelEvent, bus: &mut MessageBus) {
        let ModelEvent::Reply { to, customer, loan, sent_at } = event else {
            return;
        };
        if !bus.is_up(to) {
            return;
        }
        let side = &mut self.sides[to][customer];
        side.budget.receive(loan, sent_at, bus.now());
        side.replies_due = side.replies_due.saturating_sub(1);
        side.serve(bus);
        if side.replies_due == 0 {
            self.take_step(to, customer, bus);
        }
    }
}

impl CustomerSide {
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

impl AdmissionWay for FloorsAndLoans {
    fn arrive(&mut self, request: ModelRequest, bus: &mut MessageBus) {
        let ModelRequest { id, customer, host } = request;
        let now = bus.now();
        let side = &mut self.sides[host][customer];
        side.plan.ask(MICRO_TOKENS, now);
        if side.waiters.is_empty() && side.budget.spend(MICRO_TOKENS, now) {
            bus.decide(id, true);
        } else if BorrowPlan::is_hopeless(LIMIT, (side.waiters.len() as u64 + 1) * MICRO_TOKENS) {
            bus.decide(id, false);
        } else if side.plan.may_borrow(now) {
            side.waiters.push((id, false, bus.at));
            self.start_round(host, customer, bus);
        } else if side.plan.is_patient() {
            side.waiters.push((id, false, bus.at));
            let pause = side.plan.pause(now);
            bus.after(pause, ModelEvent::NextRound { host, customer });
        } else {
            bus.decide(id, false);
        }
    }

    fn wake(&mut self, event: ModelEvent, bus: &mut MessageBus) {
        match event {
            ModelEvent::Ask { .. } => self.lend(event, bus),
            ModelEvent::Reply { .. } => self.receive(event, bus),
            ModelEvent::StepOver { host, customer, round }
                if self.sides[host][customer].round == round =>
            {
                self.take_step(host, customer, bus);
            }
            ModelEvent::NextRound { host, customer }
                if !self.sides[host][customer].waiters.is_empty() =>
            {
                self.start_round(host, customer, bus);
            }
            ModelEvent::Tick => {
                self.set_floors(bus);
                bus.after(FLOOR_TICK, ModelEvent::Tick);
            }
            _ => {}
        }
    }
}
