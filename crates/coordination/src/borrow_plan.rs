//! Decides when a host borrows tokens from other hosts, and how many.

use std::time::Duration;
use std::time::Instant;

use crate::customer_budget::CustomerBudget;
use crate::customer_budget::RateLimit;
use crate::customer_budget::TokenLoan;
use crate::demand_meter::DemandMeter;
use crate::floor_share::WHOLE_PPM;
use crate::token_bucket::MICRO_TOKENS;

/// Bounds of the pause after a round that did not cover every waiting request, before backoff.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(5);
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(500);
/// A request waits for at most the time in which the whole fleet gains this many tokens.
const TOKENS_PER_MAX_WAIT: u64 = 10;
const MIN_TOKEN_WAIT: Duration = Duration::from_millis(250);
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(950);
/// Rounds in a row without any token after which requests no longer wait and the pause starts to double.
const MAX_FRUITLESS_ROUNDS: u32 = 8;
const MAX_PAUSE_DOUBLINGS: u32 = 5;
/// Rate that a host needs for its own callers, as a share of the measured demand.
const DEMAND_HEADROOM_PERCENT: u64 = 125;

/// How far a borrowing round served the requests that waited for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoundResult {
    /// Every waiting request got its tokens.
    Covered,
    /// Some of the waiting requests got their tokens.
    Partial,
    /// No waiting request got its tokens.
    Nothing,
}

impl RoundResult {
    /// Result of a round that began with `waiting` requests, of which `left` still wait.
    pub fn of(waiting: usize, left: usize) -> Self {
        match left {
            0 => Self::Covered,
            left if left < waiting => Self::Partial,
            _ => Self::Nothing,
        }
    }
}

/// Schedules the borrowing rounds of one host for one customer. A round asks the holders step by step, the nearest
/// first, and each step asks only for what is still missing, because unneeded tokens that are moved are lost. At most
/// one round runs at a time. After several rounds that brought nothing the pause between rounds doubles, so that a
/// customer above its rate causes a bounded number of messages.
#[derive(Clone, Debug)]
pub struct BorrowPlan {
    demand: DemandMeter,
    is_round_running: bool,
    fruitless_rounds: u32,
    next_round_at: Instant,
}

impl BorrowPlan {
    /// Creates a plan with no demand and no running round; the first round may start at once.
    pub fn new(now: Instant) -> Self {
        Self {
            demand: DemandMeter::new(now),
            is_round_running: false,
            fruitless_rounds: 0,
            next_round_at: now,
        }
    }

    /// Counts `amount` millionths of a token towards the host's measured demand.
    pub fn record_demand(&mut self, amount: u64, now: Instant) {
        self.demand.count(amount, now);
    }

    /// Rate that this host needs for its own callers, in millionths of a token a second, capped at the customer's
    /// whole rate.
    pub fn needed_rate(&mut self, limit: RateLimit, now: Instant) -> u64 {
        let demand = self.demand.per_second(now);
        (demand.saturating_mul(DEMAND_HEADROOM_PERCENT) / 100).min(limit.rate)
    }

    /// Whether a request that found too few tokens may wait for a round: one is running or may start now.
    pub fn may_borrow(&self, now: Instant) -> bool {
        self.is_round_running || now >= self.next_round_at
    }

    /// Whether requests that a round left without tokens may wait for another one. `false` after more than 8 rounds in a
    /// row that brought nothing.
    pub fn may_wait_again(&self) -> bool {
        self.fruitless_rounds <= MAX_FRUITLESS_ROUNDS
    }

    /// Time until the next round may start; zero if it may start now.
    pub fn time_until_next_round(&self, now: Instant) -> Duration {
        self.next_round_at.saturating_duration_since(now)
    }

    /// Longest time that a request waits for tokens under this limit: 250 ms to 950 ms.
    pub fn max_token_wait(limit: RateLimit) -> Duration {
        let micros = TOKENS_PER_MAX_WAIT * MICRO_TOKENS * 1_000_000 / limit.rate.max(1);
        Duration::from_micros(micros).clamp(MIN_TOKEN_WAIT, MAX_TOKEN_WAIT)
    }

    /// Whether `waited_for` millionths of a token are more than the whole fleet can supply within the longest wait.
    pub fn exceeds_fleet_supply(limit: RateLimit, waited_for: u64) -> bool {
        let wait = Self::max_token_wait(limit).as_micros();
        let gained = u128::from(limit.rate) * wait / 1_000_000 + u128::from(limit.burst);
        u128::from(waited_for) > gained
    }

    /// Starts a round; returns `false` if one is already running.
    pub fn start_round(&mut self) -> bool {
        !std::mem::replace(&mut self.is_round_running, true)
    }

    /// Loan that the next step of a round requests from each of `peers` holders to cover `wanted` millionths of a
    /// token. `None` if the budget already holds them or there is no peer to ask. The lender sets the term.
    pub fn next_loan_request(
        &mut self,
        budget: &mut CustomerBudget,
        wanted: u64,
        peers: usize,
        now: Instant,
    ) -> Option<TokenLoan> {
        let missing = wanted.saturating_sub(budget.level(now));
        if missing == 0 || peers == 0 {
            return None;
        }
        let limit = budget.limit();
        let peers = u64::try_from(peers).unwrap_or(u64::MAX);
        let missing_rate = self.needed_rate(limit, now).saturating_sub(budget.rate(now));
        let rate_ppm = share_of(missing_rate, limit.rate, peers);
        let rate_ppm = match limit.part(rate_ppm).burst {
            burst if burst < MICRO_TOKENS => 0,
            _ => rate_ppm,
        };
        let share = missing.div_ceil(peers).next_multiple_of(MICRO_TOKENS).min(missing);
        let micro_tokens = share.max(limit.part(rate_ppm).burst).min(limit.burst);
        Some(TokenLoan { micro_tokens, rate_ppm, term: Duration::ZERO })
    }

    /// Ends the running round. If some requests still wait, the next round starts only after the time in which the
    /// whole fleet gains about one token (5 to 500 ms); repeated rounds that brought nothing double that pause.
    pub fn finish_round(&mut self, end: RoundResult, limit: RateLimit, now: Instant) {
        self.is_round_running = false;
        self.fruitless_rounds = match end {
            RoundResult::Nothing => self.fruitless_rounds + 1,
            RoundResult::Covered | RoundResult::Partial => 0,
        };
        let doublings =
            self.fruitless_rounds.saturating_sub(MAX_FRUITLESS_ROUNDS).min(MAX_PAUSE_DOUBLINGS);
        let micros = MICRO_TOKENS.saturating_mul(1_000_000) / limit.rate.max(1);
        let pause = Duration::from_micros(micros).clamp(MIN_ROUND_PAUSE, MAX_ROUND_PAUSE);
        self.next_round_at = match end {
            RoundResult::Covered => now,
            _ => now + (pause * 2u32.pow(doublings)).min(MAX_ROUND_PAUSE),
        };
    }
}

fn share_of(missing: u64, rate: u64, peers: u64) -> u32 {
    let ppm = u128::from(missing) * u128::from(WHOLE_PPM) / u128::from(rate.max(1));
    u32::try_from(ppm / u128::from(peers.max(1))).unwrap_or(WHOLE_PPM)
}
