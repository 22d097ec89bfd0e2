//! A customer's tokens on this host, and the requests that wait for tokens.

use std::time::Duration;
use std::time::Instant;

use coordination::borrow_plan::BorrowPlan;
use coordination::borrow_plan::RoundResult;
use coordination::customer_budget::CustomerBudget;
use coordination::customer_budget::TokenLoan;
use tokio::sync::oneshot;

/// Requests of one customer that may wait for tokens at once; more are refused.
const MAX_TOKEN_WAITERS: usize = 256;

/// Result for a request that waited for tokens: `Ok` if they were spent, else the time after which to retry.
pub(crate) type TokenResult = Result<(), Duration>;

/// Result of an attempt to spend tokens.
pub(crate) enum SpendOutcome {
    /// The tokens were spent.
    Spent,
    /// The request waits for a borrowing round; the result arrives on the channel.
    Waiting(oneshot::Receiver<TokenResult>),
    /// The request is refused; tokens may be available after the given time.
    Refused(Duration),
}

/// What follows a borrowing round.
#[derive(Debug, PartialEq)]
pub(crate) enum RoundOutcome {
    /// No request waits any more.
    Finished,
    /// Requests still wait, so another round follows after the given pause.
    Repeat(Duration),
}

struct TokenWaiter {
    /// Millionths of a token.
    amount: u64,
    arrived_at: Instant,
    is_in_round: bool,
    sender: oneshot::Sender<TokenResult>,
}

/// A customer's tokens on this host, and the requests that wait for tokens. Amounts are in millionths of a token.
pub(crate) struct CustomerAccount {
    pub(crate) budget: CustomerBudget,
    plan: BorrowPlan,
    waiters: Vec<TokenWaiter>,
    /// Number of requests that waited when the current round began.
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

    /// Spends tokens, or makes the request wait for a borrowing round. Refuses if too many requests wait, if the amount
    /// exceeds the burst, or if borrowing is unlikely to bring enough tokens.
    pub(crate) fn spend_or_wait(&mut self, amount: u64, now: Instant) -> SpendOutcome {
        self.plan.record_demand(amount, now);
        if self.waiters.is_empty() && self.budget.spend(amount, now) {
            return SpendOutcome::Spent;
        }
        let waited_for = self.awaited_amount().saturating_add(amount);
        let is_full = self.waiters.len() >= MAX_TOKEN_WAITERS
            || BorrowPlan::exceeds_fleet_supply(self.budget.limit(), waited_for);
        let may_wait = self.plan.may_borrow(now) || self.plan.may_wait_again();
        if is_full || amount > self.budget.limit().burst || !may_wait {
            return SpendOutcome::Refused(self.budget.time_until(amount, now));
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.push(TokenWaiter { amount, arrived_at: now, is_in_round: false, sender });
        SpendOutcome::Waiting(receiver)
    }

    /// Number of requests that wait for tokens.
    pub(crate) fn waiter_count(&self) -> usize {
        self.waiters.len()
    }

    /// Starts a borrowing round and returns the pause before it; `None` if a round runs already or no request waits.
    pub(crate) fn start_round(&mut self, now: Instant) -> Option<Duration> {
        if self.waiters.is_empty() || !self.plan.start_round() {
            return None;
        }
        Some(self.plan.time_until_next_round(now))
    }

    /// Counts every request that waits now towards the result of the round.
    pub(crate) fn enroll_waiters(&mut self) {
        self.waiters.iter_mut().for_each(|waiter| waiter.is_in_round = true);
        self.round_size = self.waiters.len();
    }

    /// Loan that the next step of the round requests from each of `peers` holders; `None` if no tokens are missing.
    pub(crate) fn plan_step(&mut self, peers: usize, now: Instant) -> Option<TokenLoan> {
        self.serve_waiters(now);
        let awaited = self.awaited_amount();
        self.plan.next_loan_request(&mut self.budget, awaited, peers, now)
    }

    /// Adds a loan to the budget and serves waiting requests from it.
    pub(crate) fn receive_loan(&mut self, loan: TokenLoan, sent_at: Instant, now: Instant) {
        self.budget.receive_loan(loan, sent_at, now);
        self.serve_waiters(now);
    }

    /// Ends a round. A request that got no tokens waits for another round if it has not waited for long and recent
    /// rounds succeeded often enough; otherwise it is refused.
    pub(crate) fn finish_round(&mut self, now: Instant) -> RoundOutcome {
        self.serve_waiters(now);
        let unserved = self.waiters.iter().filter(|waiter| waiter.is_in_round).count();
        let result = RoundResult::of(self.round_size, unserved);
        self.plan.finish_round(result, self.budget.limit(), now);
        let is_patient = self.plan.may_wait_again();
        let longest_wait = BorrowPlan::max_token_wait(self.budget.limit());
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
            false => RoundOutcome::Repeat(self.plan.time_until_next_round(now)),
        }
    }

    /// Refuses all waiting requests, with the time after which tokens may be available.
    pub(crate) fn refuse_waiters(&mut self, now: Instant) {
        for waiter in std::mem::take(&mut self.waiters) {
            let wait = self.budget.time_until(waiter.amount, now);
            let _ = waiter.sender.send(Err(wait));
        }
    }

    /// Lends a peer what this host's own requests do not need.
    pub(crate) fn lend_tokens(&mut self, asked: TokenLoan, now: Instant) -> TokenLoan {
        let own_rate = self.plan.needed_rate(self.budget.limit(), now);
        let reserved = self.awaited_amount();
        self.budget.lend(asked, reserved, own_rate, now)
    }

    /// Sum of the amounts that requests wait for.
    fn awaited_amount(&self) -> u64 {
        self.waiters.iter().map(|waiter| waiter.amount).fold(0, u64::saturating_add)
    }

    /// Spends tokens for waiting requests in order of arrival. Requests behind one that lacks tokens keep waiting, even if
    /// they need fewer.
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
