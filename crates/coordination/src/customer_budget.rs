//! One host's share of a customer's rate and burst, including loans between hosts.

use std::time::Duration;
use std::time::Instant;

use crate::floor_share::WHOLE_PPM;
use crate::lease_term::LEASE_TERM;
use crate::lease_term::TOKEN_TERM;
use crate::lease_term::holder_expiry;
use crate::lease_term::lender_term;
use crate::token_bucket::MICRO_TOKENS;
use crate::token_bucket::TokenBucket;

/// Most loans out, and most loans in, that one budget tracks; further loans are refused.
const MAX_LEASES: usize = 256;

/// Rate and burst, in millionths of a token: a customer's limit over the whole fleet or a part of it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RateLimit {
    /// Tokens gained each second, in millionths.
    pub rate: u64,
    /// Tokens that may be spent at once, in millionths.
    pub burst: u64,
}

impl RateLimit {
    /// Converts a limit given in whole tokens; negative values and NaN count as 0.
    pub fn from_tokens(rate_per_second: f64, burst: f64) -> Self {
        let micro = |tokens: f64| (tokens.max(0.0) * MICRO_TOKENS as f64) as u64;
        Self { rate: micro(rate_per_second), burst: micro(burst) }
    }

    /// Share of the limit given in parts per million, rounded down.
    pub fn part(self, ppm: u32) -> Self {
        self.fraction(u64::from(ppm), u64::from(WHOLE_PPM))
    }

    /// Fraction of the limit, rounded down and at most the whole; zero if both numbers are zero.
    pub fn fraction(self, numerator: u64, denominator: u64) -> Self {
        let scale = |amount: u64| {
            let part = u128::from(amount) * u128::from(numerator.min(denominator));
            u64::try_from(part / u128::from(denominator.max(1))).unwrap_or(u64::MAX)
        };
        Self { rate: scale(self.rate), burst: scale(self.burst) }
    }

    /// Sum of two limits; saturates.
    pub fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            burst: self.burst.saturating_add(other.burst),
        }
    }

    /// Whole tokens in the burst, at least 1: the most holders that the limit can be split over.
    pub fn whole_tokens(self) -> u64 {
        (self.burst / MICRO_TOKENS).max(1)
    }
}

/// Loan that a borrower requests or a lender grants.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenLoan {
    /// Tokens that are handed over, in millionths.
    pub micro_tokens: u64,
    /// Share of the customer's whole rate and burst that is lent for the term, in parts per million.
    pub rate_ppm: u32,
    /// Time within which the tokens must be spent and the rate used, counted from when the borrower sent its request.
    /// The lender sets it.
    pub term: Duration,
}

impl TokenLoan {
    /// Whether the loan carries neither tokens nor rate.
    pub fn is_empty(self) -> bool {
        self.micro_tokens == 0 && self.rate_ppm == 0
    }
}

#[derive(Clone, Copy, Debug)]
struct TokenLease {
    rate: u64,
    burst: u64,
    expires_at: Instant,
}

/// One host's share of a customer's rate and burst: its guaranteed floor, minus what it has lent, plus what it has
/// borrowed. Over all hosts the capacities never exceed the customer's burst, nor the rates its rate: a loan is deducted
/// from the lender before the borrower can use it, and returns to the lender only after the borrower's term has ended.
#[derive(Clone, Debug)]
pub struct CustomerBudget {
    limit: RateLimit,
    floor: RateLimit,
    bucket: TokenBucket,
    lent: Vec<TokenLease>,
    borrowed: Vec<TokenLease>,
}

impl CustomerBudget {
    /// Creates a budget without floor and tokens; it admits nothing until `set_floor` is called.
    pub fn new(now: Instant) -> Self {
        Self {
            limit: RateLimit::default(),
            floor: RateLimit::default(),
            bucket: TokenBucket::new(now),
            lent: Vec::new(),
            borrowed: Vec::new(),
        }
    }

    /// Sets the fleet-wide limit and the floor of this host. A decrease takes effect at once; an increase adds capacity
    /// but no tokens. A lower limit also drops everything that is borrowed.
    pub fn set_floor(&mut self, limit: RateLimit, floor: RateLimit, now: Instant) {
        self.advance_to(now);
        if limit.rate < self.limit.rate || limit.burst < self.limit.burst {
            self.borrowed.clear();
        }
        self.limit = limit;
        self.floor = floor;
        self.update_bucket();
    }

    /// Spends `amount` millionths of a token; returns `false` and spends nothing if there are too few.
    pub fn spend(&mut self, amount: u64, now: Instant) -> bool {
        self.advance_to(now);
        self.bucket.take_tokens(amount)
    }

    /// Returns tokens that were spent for a request that did not run, up to the capacity.
    pub fn refund(&mut self, amount: u64, now: Instant) {
        self.advance_to(now);
        self.bucket.add_tokens(amount);
    }

    /// Tokens available on this host now, in millionths.
    pub fn level(&mut self, now: Instant) -> u64 {
        self.advance_to(now);
        self.bucket.level()
    }

    /// Rate of this host now, loans included, in millionths of a token a second.
    pub fn rate(&mut self, now: Instant) -> u64 {
        self.advance_to(now);
        self.bucket.rate()
    }

    /// Limit of the customer over the whole fleet, as last set.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Part of the limit that is guaranteed to this host, before loans.
    pub fn floor(&self) -> RateLimit {
        self.floor
    }

    /// Whether any loan of this host is still out.
    pub fn has_lent(&mut self, now: Instant) -> bool {
        self.advance_to(now);
        !self.lent.is_empty()
    }

    /// Time until `amount` millionths of a token can be available: at this host's own rate, or at the customer's whole
    /// rate if this host never gains them by itself.
    pub fn time_until(&mut self, amount: u64, now: Instant) -> Duration {
        self.advance_to(now);
        let missing = amount.saturating_sub(self.bucket.level());
        let whole = Duration::from_micros(
            missing.saturating_mul(1_000_000).checked_div(self.limit.rate).unwrap_or(u64::MAX / 2),
        );
        self.bucket.time_until(amount).unwrap_or(whole)
    }

    /// Lends tokens above `reserved` for the requested term, at most `TOKEN_TERM`, and up to half of the floor's rate
    /// that `needed_rate` leaves over. If fewer tokens than requested can be lent, only whole ones are: a fraction
    /// that does not complete a token at the borrower would be lost, while at the lender it counts towards the next
    /// token. A lent share of the rate includes the same share of the burst and extends the term to `LEASE_TERM`.
    /// The loan is empty if nothing can be lent.
    pub fn lend(
        &mut self,
        asked: TokenLoan,
        reserved: u64,
        needed_rate: u64,
        now: Instant,
    ) -> TokenLoan {
        self.advance_to(now);
        if self.lent.len() >= MAX_LEASES {
            return TokenLoan::default();
        }
        let rate_ppm = self.lendable_ppm(asked.rate_ppm, needed_rate, now);
        let term = match rate_ppm {
            0 => asked.term.min(TOKEN_TERM),
            _ => LEASE_TERM,
        };
        let part = self.limit.part(rate_ppm);
        let spare = self.bucket.level().saturating_sub(reserved);
        let lasting = self.burst_lasting_until(now + lender_term(term));
        let micro_tokens = lendable_tokens(asked.micro_tokens, spare.min(lasting));
        if micro_tokens == 0 && rate_ppm == 0 {
            return TokenLoan::default();
        }
        self.bucket.take_tokens(micro_tokens);
        let burst = part.burst.max(micro_tokens);
        let expires_at = now + lender_term(term);
        self.lent.push(TokenLease { rate: part.rate, burst, expires_at });
        self.update_bucket();
        TokenLoan { micro_tokens, rate_ppm, term }
    }

    /// Adds a loan unless its term has already ended. The term counts from `sent_at`, when the request was sent.
    pub fn receive_loan(&mut self, loan: TokenLoan, sent_at: Instant, now: Instant) {
        self.advance_to(now);
        let expires_at = holder_expiry(sent_at, loan.term.min(LEASE_TERM));
        if loan.is_empty() || now >= expires_at || self.borrowed.len() >= MAX_LEASES {
            return;
        }
        let part = self.limit.part(loan.rate_ppm);
        let burst = part.burst.max(loan.micro_tokens);
        self.borrowed.push(TokenLease { rate: part.rate, burst, expires_at });
        self.update_bucket();
        self.bucket.add_tokens(loan.micro_tokens);
    }

    /// Share of the rate that can be lent, in parts per million; 0 if its burst is less than one token, which no
    /// borrower could spend.
    fn lendable_ppm(&self, asked_ppm: u32, needed_rate: u64, now: Instant) -> u32 {
        let lasting = self.burst_lasting_until(now + lender_term(LEASE_TERM));
        let burst_ppm = ppm_of(lasting, self.limit.burst);
        let ppm = asked_ppm.min(self.spare_ppm(needed_rate) / 2).min(burst_ppm);
        match self.limit.part(ppm).burst {
            burst if burst < MICRO_TOKENS => 0,
            _ => ppm,
        }
    }

    /// Capacity that this host still has at `end`. More must not be lent until then, because borrowed capacity returns
    /// to its own lender earlier.
    fn burst_lasting_until(&self, end: Instant) -> u64 {
        let lasting = self.borrowed.iter().filter(|lease| lease.expires_at >= end);
        let held = lasting.fold(self.floor.burst, |sum, lease| sum + lease.burst);
        self.lent.iter().fold(held, |left, lease| left.saturating_sub(lease.burst))
    }

    fn spare_ppm(&self, needed_rate: u64) -> u32 {
        let lent = self.lent.iter().map(|lease| lease.rate).fold(0, u64::saturating_add);
        ppm_of(self.floor.rate.saturating_sub(lent).saturating_sub(needed_rate), self.limit.rate)
    }

    /// Refills the bucket up to `now`, stopping at each lease end so that every lease counts for exactly its term.
    fn advance_to(&mut self, now: Instant) {
        while let Some(end) = self.next_expiry().filter(|end| *end <= now) {
            self.bucket.fill(end);
            self.lent.retain(|lease| lease.expires_at > end);
            self.borrowed.retain(|lease| lease.expires_at > end);
            self.update_bucket();
        }
        self.bucket.fill(now);
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.lent.iter().chain(&self.borrowed).map(|lease| lease.expires_at).min()
    }

    fn update_bucket(&mut self) {
        let floor = self.floor;
        let sum = |leases: &[TokenLease], amount: fn(&TokenLease) -> u64| {
            leases.iter().map(amount).fold(0, u64::saturating_add)
        };
        let rate = (floor.rate + sum(&self.borrowed, |lease| lease.rate))
            .saturating_sub(sum(&self.lent, |lease| lease.rate));
        let burst = (floor.burst + sum(&self.borrowed, |lease| lease.burst))
            .saturating_sub(sum(&self.lent, |lease| lease.burst));
        self.bucket.set_limits(rate, burst);
    }
}

fn lendable_tokens(asked: u64, spare: u64) -> u64 {
    match spare >= asked {
        true => asked,
        false => spare - spare % MICRO_TOKENS,
    }
}

/// Share of `amount` in `whole`, in parts per million, rounded down; 100% if `whole` is 0.
fn ppm_of(amount: u64, whole: u64) -> u32 {
    let part = u128::from(amount) * u128::from(WHOLE_PPM);
    part.checked_div(u128::from(whole))
        .map_or(WHOLE_PPM, |ppm| u32::try_from(ppm).unwrap_or(u32::MAX))
}
