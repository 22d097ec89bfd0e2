//! Decides when a host asks others for tokens, and for how much.

use std::time::Duration;
use std::time::Instant;

use crate::customer_budget::CustomerBudget;
use crate::customer_budget::RateLimit;
use crate::customer_budget::TokenLoan;
use crate::demand_meter::DemandMeter;
use crate::floor_share::WHOLE_PPM;
use crate::token_bucket::MICRO_TOKENS;

const MIN_ROUND_PAUSE: Duration = Duration::from_millis(5);
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Tokens that the fleet gains while a request waits for one.
const TOKENS_PER_MAX_WAIT: u64 = 10;
const MIN_TOKEN_WAIT: Duration = Duration::from_millis(250);
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(950);
const MAX_FRUITLESS_ROUNDS: u32 = 8;
const MAX_PAUSE_DOUBLINGS: u32 = 5;
const DEMAND_HEADROOM_PERCENT: u64 = 125;

/// What a round brought those that waited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoundResult {
    /// Tokens for all of them.
    Covered,
    /// Tokens for some of them.
    Partial,
    /// Tokens for none of them.
    Nothing,
}

impl RoundResult {
    /// Result of a round that began with `waiting` requests and left some of them.
    pub fn of(waiting: usize, left: usize) -> Self {
        match left {
            0 => Self::Covered,
            left if left < waiting => Self::Partial,
            _ => Self::Nothing,
        }
    }
}

/// When a host that runs dry asks others, and for how much. A round asks the holders one step after the other, the
/// nearest first, each step only for what is still missing, as tokens that are moved without need are lost. One round
/// runs at a time. After several that brought too little it pauses ever longer, so that a customer over its rate causes
/// a bounded number of messages.
#[derive(Clone, Debug)]
pub struct BorrowPlan {
    demand: DemandMeter,
    is_round_running: bool,
    fruitless_rounds: u32,
    next_round_at: Instant,
}

impl BorrowPlan {
    /// A plan of a host that has asked for nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            demand: DemandMeter::new(now),
            is_round_running: false,
            fruitless_rounds: 0,
            next_round_at: now,
        }
    }

    /// Counts what a caller asks for.
    pub fn record_demand(&mut self, amount: u64, now: Instant) {
        self.demand.count(amount, now);
    }

    /// Rate that this host needs for its own callers, in millionths of a token a second; at most the whole.
    pub fn needed_rate(&mut self, limit: RateLimit, now: Instant) -> u64 {
        let demand = self.demand.per_second(now);
        (demand.saturating_mul(DEMAND_HEADROOM_PERCENT) / 100).min(limit.rate)
    }

    /// Whether a request that found too few tokens may wait for a round.
    pub fn may_borrow(&self, now: Instant) -> bool {
        self.is_round_running || now >= self.next_round_at
    }

    /// Whether those that a round left without tokens may wait for another: not after many such rounds.
    pub fn may_wait_again(&self) -> bool {
        self.fruitless_rounds <= MAX_FRUITLESS_ROUNDS
    }

    /// Time until the next round may start.
    pub fn time_until_next_round(&self, now: Instant) -> Duration {
        self.next_round_at.saturating_duration_since(now)
    }

    /// Longest wait of a request for tokens.
    pub fn max_token_wait(limit: RateLimit) -> Duration {
        let micros = TOKENS_PER_MAX_WAIT * MICRO_TOKENS * 1_000_000 / limit.rate.max(1);
        Duration::from_micros(micros).clamp(MIN_TOKEN_WAIT, MAX_TOKEN_WAIT)
    }

    /// Whether the whole fleet gains fewer tokens than are waited for, within the longest wait.
    pub fn exceeds_fleet_supply(limit: RateLimit, waited_for: u64) -> bool {
        let wait = Self::max_token_wait(limit).as_micros();
        let gained = u128::from(limit.rate) * wait / 1_000_000 + u128::from(limit.burst);
        u128::from(waited_for) > gained
    }

    /// Starts a round unless one runs.
    pub fn start_round(&mut self) -> bool {
        !std::mem::replace(&mut self.is_round_running, true)
    }

    /// What one step of a round asks each of `peers` holders for, to cover `wanted` tokens; `None` if they are here.
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

    /// Ends a round. One that did not cover everybody who waited is followed by a pause in which the whole fleet
    /// gains about one token; those that brought nothing, by longer and longer ones.
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
