//! Event queue, message transport and decisions of a simulation run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use coordination::customer_budget::RateLimit;
use coordination::customer_budget::TokenLoan;
use coordination::token_bucket::MICRO_TOKENS;

use crate::budget_model::FaultCase;

pub const HOSTS: usize = 10;
pub const DOMAINS: usize = 6;
pub const CUSTOMERS: usize = 8;
pub const DOMAIN_OF: [usize; HOSTS] = [0, 0, 1, 1, 2, 2, 3, 3, 4, 5];
pub const REGION_OF: [usize; DOMAINS] = [0, 0, 1, 1, 2, 2];
pub const LIMIT: RateLimit = RateLimit { rate: 50 * MICRO_TOKENS, burst: 10 * MICRO_TOKENS };

const SAME_DOMAIN_LATENCY: Duration = Duration::from_micros(300);
const SAME_REGION_LATENCY: Duration = Duration::from_millis(1);
const OTHER_REGION_LATENCY: Duration = Duration::from_millis(20);

/// Event that is scheduled for a point in simulated time.
#[derive(Clone, Debug)]
pub enum ModelEvent {
    LoanRequest { from: usize, to: usize, customer: usize, loan: TokenLoan, sent_at: Instant },
    LoanReply { to: usize, customer: usize, loan: TokenLoan, sent_at: Instant },
    StepTimeout { host: usize, customer: usize, round: u64 },
    NextRound { host: usize, customer: usize },
    CentralAnswer { id: usize, is_admitted: bool },
    CentralAsk { id: usize, customer: usize, host: usize },
    Usage { to: usize, customer: usize, amount: u64 },
    Tick,
}

/// Simulated clock, event queue, message transport and decisions of one run.
pub struct MessageBus {
    pub case: FaultCase,
    pub start: Instant,
    pub at: Duration,
    pub messages: u64,
    pub decisions: Vec<Option<(bool, Duration)>>,
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: Vec<Option<ModelEvent>>,
}

impl MessageBus {
    pub fn new(case: FaultCase) -> Self {
        Self {
            case,
            start: Instant::now(),
            at: Duration::ZERO,
            messages: 0,
            decisions: Vec::new(),
            heap: BinaryHeap::new(),
            events: Vec::new(),
        }
    }

    pub fn now(&self) -> Instant {
        self.start + self.at
    }

    pub fn is_up(&self, host: usize) -> bool {
        self.case.is_up(host, self.at)
    }

    pub fn decide(&mut self, id: usize, is_admitted: bool) {
        self.decisions[id] = Some((is_admitted, self.at));
    }

    pub fn schedule_after(&mut self, delay: Duration, event: ModelEvent) {
        let number = self.events.len() as u64;
        self.events.push(Some(event));
        self.heap.push(Reverse((self.at + delay, number)));
    }

    /// Sends a message between hosts; it is lost if they cannot reach each other.
    pub fn send(&mut self, from: usize, to: usize, event: ModelEvent) {
        self.messages += 1;
        if self.case.is_linked(from, to, self.at) {
            self.schedule_after(latency(from, to), event);
        }
    }

    /// Removes the next event that is due by `until` and advances the clock to it; `None` if there is none.
    pub fn next_event(&mut self, until: Duration) -> Option<ModelEvent> {
        let Reverse((at, number)) = *self.heap.peek()?;
        if at > until {
            return None;
        }
        self.heap.pop();
        self.at = at;
        self.events[number as usize].take()
    }
}

pub fn latency(one: usize, other: usize) -> Duration {
    let (one, other) = (DOMAIN_OF[one], DOMAIN_OF[other]);
    match () {
        () if one == other => SAME_DOMAIN_LATENCY,
        () if REGION_OF[one] == REGION_OF[other] => SAME_REGION_LATENCY,
        () => OTHER_REGION_LATENCY,
    }
}
