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
pub(crate) type TokenAnswer = Result<(), Duration>;

/// What became of a request for tokens.
pub(crate) enum SpendOutcome {
    /// The tokens are spent.
    Spent,
    /// They are being borrowed.
    Waiting(oneshot::Receiver<TokenAnswer>),
    /// There are none; when there may be.
    Refused(Duration),
}

/// What follows a round of borrowing.
#[derive(Debug, PartialEq)]
pub(crate) enum RoundEnd {
    /// Nobody waits any more.
    Over,
    /// Another round, after a pause.
    Again(Duration),
}

struct TokenWaiter {
    amount: u64,
    arrived: Instant,
    is_in_round: bool,
    sender: oneshot::Sender<TokenAnswer>,
}

/// A customer's tokens on this host.
pub(crate) struct CustomerAccount {
    pub(crate) budget: CustomerBudget,
    plan: BorrowPlan,
    waiters: Vec<TokenWaiter>,
    /// Requests that waited when the round began.
    in_round: usize,
}

impl CustomerAccount {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            budget: CustomerBudget::new(now),
            plan: BorrowPlan::new(now),
            waiters: Vec::new(),
            in_round: 0,
        }
    }

    /// Spends tokens, or joins those that wait for a round of borrowing.
    pub(crate) fn spend(&mut self, amount: u64, now: Instant) -> SpendOutcome {
        self.plan.record_demand(amount, now);
        if self.waiters.is_empty() && self.budget.spend(amount, now) {
            return SpendOutcome::Spent;
        }
        let waited_for = self.wanted().saturating_add(amount);
        let is_full = self.waiters.len() >= MAX_TOKEN_WAITERS
            || BorrowPlan::exceeds_fleet_supply(self.budget.limit(), waited_for);
        let may_wait = self.plan.may_borrow(now) || self.plan.may_wait_again();
        if is_full || amount > self.budget.limit().burst || !may_wait {
            return SpendOutcome::Refused(self.budget.time_until(amount, now));
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.push(TokenWaiter { amount, arrived: now, is_in_round: false, sender });
        SpendOutcome::Waiting(receiver)
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Starts a round for those that wait; returns the pause before it, or `None` if one runs or nobody waits.
    pub(crate) fn start_round(&mut self, now: Instant) -> Option<Duration> {
        if self.waiters.is_empty() || !self.plan.start_round() {
            return None;
        }
        Some(self.plan.time_until_next_round(now))
    }

    /// Whoever waits now is in the round.
    pub(crate) fn open_round(&mut self) {
        self.waiters.iter_mut().for_each(|waiter| waiter.is_in_round = true);
        self.in_round = self.waiters.len();
    }

    /// What the next step of the round asks each of some holders for; `None` if nothing is missing.
    pub(crate) fn step(&mut self, peers: usize, now: Instant) -> Option<TokenLoan> {
        self.serve(now);
        let wanted = self.wanted();
        self.plan.next_loan_request(&mut self.budget, wanted, peers, now)
    }

    /// Takes a loan in and serves those that wait.
    pub(crate) fn receive(&mut self, loan: TokenLoan, sent_at: Instant, now: Instant) {
        self.budget.receive_loan(loan, sent_at, now);
        self.serve(now);
    }

    /// Ends a round. Those that it left without tokens wait for another if they have not waited for long and rounds
    /// usually succeed; the others are refused.
    pub(crate) fn finish_round(&mut self, now: Instant) -> RoundEnd {
        self.serve(now);
        let left = self.waiters.iter().filter(|waiter| waiter.is_in_round).count();
        let result = RoundResult::of(self.in_round, left);
        self.plan.finish_round(result, self.budget.limit(), now);
        let is_patient = self.plan.may_wait_again();
        let longest_wait = BorrowPlan::max_token_wait(self.budget.limit());
        for waiter in std::mem::take(&mut self.waiters) {
            let waited = now.saturating_duration_since(waiter.arrived);
            match is_patient && waited < longest_wait {
                true => self.waiters.push(waiter),
                false => {
                    let wait = self.budget.time_until(waiter.amount, now);
                    let _ = waiter.sender.send(Err(wait));
                }
            }
        }
        match self.waiters.is_empty() {
            true => RoundEnd::Over,
            false => RoundEnd::Again(self.plan.time_until_next_round(now)),
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
    pub(crate) fn lend(&mut self, asked: TokenLoan, now: Instant) -> TokenLoan {
        let own_rate = self.plan.needed_rate(self.budget.limit(), now);
        let kept = self.wanted();
        self.budget.lend(asked, kept, own_rate, now)
    }

    fn wanted(&self) -> u64 {
        self.waiters.iter().map(|waiter| waiter.amount).fold(0, u64::saturating_add)
    }

    fn serve(&mut self, now: Instant) {
        let mut left = Vec::new();
        for waiter in std::mem::take(&mut self.waiters) {
            if waiter.sender.is_closed() {
                continue;
            }
            match left.is_empty() && self.budget.spend(waiter.amount, now) {
                true => {
                    if waiter.sender.send(Ok(())).is_err() {
                        self.budget.refund(waiter.amount, now);
                    }
                }
                false => left.push(waiter),
            }
        }
        self.waiters = left;
    }
}
