//! A customer's tokens on this host, and the requests that wait for some.

use std::time::Duration;
use std::time::Instant;

use coordination::borrow_plan::BorrowPlan;
use coordination::borrow_plan::RoundResult;
use coordination::customer_budget::CustomerBudget;
use coordination::customer_budget::TokenLoan;
use tokio::sync::oneshot;

const MAX_TOKEN_WAITERS: usize = 256;

/// Answer to a request that waits for tokens: spent, or when to come back.
pub(crate) type TokenResult = Result<(), Duration>;

/// What became of a request for tokens.
pub(crate) enum SpendOutcome {
    /// The tokens are spent.
    Spent,
    /// They are being borrowed.
    Waiting(oneshot::Receiver<TokenResult>),
    /// There are none; when there may be.
    Refused(Duration),
}

/// What follows a round of borrowing.
#[derive(Debug, PartialEq)]
pub(crate) enum RoundOutcome {
    /// Nobody waits any more.
    Finished,
    /// Another round, after a pause.
    Repeat(Duration),
}

struct TokenWaiter {
    amount: u64,
    arrived_at: Instant,
    is_in_round: bool,
    sender: oneshot::Sender<TokenResult>,
}

/// A customer's tokens on this host.
pub(crate) struct CustomerAccount {
    pub(crate) budget: CustomerBudget,
    plan: BorrowPlan,
    waiters: Vec<TokenWaiter>,
    /// Requests that waited when the round began.
    round_size: usize,
}

impl CustomerAccount {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            budget: CustomerBudget::new(now),
            plan: BorrowPlan::new(now),
            waiters: Vec::new(),
            round_size: 0,
        }
    }

    /// Spends tokens, or joins those that wait for a round of borrowing.
    pub(crate) fn spend_or_wait(&mut self, amount: u64, now: Instant) -> SpendOutcome {
        self.plan.ask(amount, now);
        if self.waiters.is_empty() && self.budget.spend(amount, now) {
            return SpendOutcome::Spent;
        }
        let waited_for = self.awaited_amount().saturating_add(amount);
        let is_full = self.waiters.len() >= MAX_TOKEN_WAITERS
            || BorrowPlan::is_hopeless(self.budget.limit(), waited_for);
        let may_wait = self.plan.may_borrow(now) || self.plan.is_patient();
        if is_full || amount > self.budget.limit().burst || !may_wait {
            return SpendOutcome::Refused(self.budget.time_until(amount, now));
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.push(TokenWaiter { amount, arrived_at: now, is_in_round: false, sender });
        SpendOutcome::Waiting(receiver)
    }

    /// Requests that wait.
    pub(crate) fn waiter_count(&self) -> usize {
        self.waiters.len()
    }

    /// Starts a round for those that wait; returns the pause before it, or `None` if one runs or nobody waits.
    pub(crate) fn start_round(&mut self, now: Instant) -> Option<Duration> {
        if self.waiters.is_empty() || !self.plan.start() {
            return None;
        }
        Some(self.plan.pause(now))
    }

    /// Whoever waits now is in the round.
    pub(crate) fn enroll_waiters(&mut self) {
        self.waiters.iter_mut().for_each(|waiter| waiter.is_in_round = true);
        self.round_size = self.waiters.len();
    }

    /// What the next step of the round asks each of some holders for; `None` if nothing is missing.
    pub(crate) fn plan_step(&mut self, peers: usize, now: Instant) -> Option<TokenLoan> {
        self.serve_waiters(now);
        let awaited = self.awaited_amount();
        self.plan.step(&mut self.budget, awaited, peers, now)
    }

    /// Takes a loan in and serves those that wait.
    pub(crate) fn receive_loan(&mut self, loan: TokenLoan, sent_at: Instant, now: Instant) {
        self.budget.receive(loan, sent_at, now);
        self.serve_waiters(now);
    }

    /// Ends a round. Those that it left without tokens wait for another if they have not waited for long and rounds
    /// usually succeed; the others are refused.
    pub(crate) fn finish_round(&mut self, now: Instant) -> RoundOutcome {
        self.serve_waiters(now);
        let unserved = self.waiters.iter().filter(|waiter| waiter.is_in_round).count();
        let result = RoundResult::of(self.round_size, unserved);
        self.plan.finish(result, self.budget.limit(), now);
        let is_patient = self.plan.is_patient();
        let longest_wait = BorrowPlan::longest_wait(self.budget.limit());
        for waiter in std::mem::take(&mut self.waiters) {
            let waited = now.saturating_duration_since(waiter.arrived_at);
            match is_patient && waited < longest_wait {
                true => self.waiters.push(waiter),
                false => {
                    let wait = self.budget.time_until(waiter.amount, now);
                    let _ = waiter.sender.send(Err(wait));
                }
            }
        }
        match self.waiters.is_empty() {
            true => RoundOutcome::Finished,
            false => RoundOutcome::Repeat(self.plan.pause(now)),
        }
    }

    /// Refuses all that wait.
    pub(crate) fn refuse_waiters(&mut self, now: Instant) {
        for waiter in std::mem::take(&mut self.waiters) {
            let wait = self.budget.time_until(waiter.amount, now);
            let _ = waiter.sender.send(Err(wait));
        }
    }

    /// Lends to a peer what is not needed here.
    pub(crate) fn lend_tokens(&mut self, asked: TokenLoan, now: Instant) -> TokenLoan {
        let own_rate = self.plan.own_rate(self.budget.limit(), now);
        let reserved = self.awaited_amount();
        self.budget.lend(asked, reserved, own_rate, now)
    }

    fn awaited_amount(&self) -> u64 {
        self.waiters.iter().map(|waiter| waiter.amount).fold(0, u64::saturating_add)
    }

    fn serve_waiters(&mut self, now: Instant) {
        let mut unserved = Vec::new();
        for waiter in std::mem::take(&mut self.waiters) {
            if waiter.sender.is_closed() {
                continue;
            }
            match unserved.is_empty() && self.budget.spend(waiter.amount, now) {
                true => {
                    if waiter.sender.send(Ok(())).is_err() {
                        self.budget.refund(waiter.amount, now);
                    }
                }
                false => unserved.push(waiter),
            }
        }
        self.waiters = unserved;
    }
}
