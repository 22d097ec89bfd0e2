//! Token bucket with integer arithmetic.

use std::time::Duration;
use std::time::Instant;

/// One token in millionths of a token, the unit of all amounts.
pub const MICRO_TOKENS: u64 = 1_000_000;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Bucket that fills at a rate up to a capacity. Amounts are millionths of a token. Smaller fractions are carried over to
/// the next fill, so that the number of calls to `fill` does not change how much is gained.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: u64,
    capacity: u64,
    level: u64,
    remainder: u128,
    filled_at: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket with rate and capacity 0.
    pub fn new(now: Instant) -> Self {
        Self { rate: 0, capacity: 0, level: 0, remainder: 0, filled_at: now }
    }

    /// Adds the tokens gained up to `now`; a time before the last fill changes nothing.
    pub fn fill(&mut self, now: Instant) {
        let nanos = now.saturating_duration_since(self.filled_at).as_nanos();
        if nanos == 0 {
            return;
        }
        self.filled_at = now;
        let gained = nanos * u128::from(self.rate) + self.remainder;
        let whole = u64::try_from(gained / NANOS_PER_SECOND).unwrap_or(u64::MAX);
        self.remainder = gained % NANOS_PER_SECOND;
        self.level = self.level.saturating_add(whole).min(self.capacity);
    }

    /// Sets the rate, in millionths of a token a second, and the capacity, both from the last fill on. Tokens above the new
    /// capacity are lost.
    pub fn set_limits(&mut self, rate: u64, capacity: u64) {
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Adds `amount` millionths of a token; what exceeds the capacity is lost.
    pub fn add_tokens(&mut self, amount: u64) {
        self.level = self.level.saturating_add(amount).min(self.capacity);
    }

    /// Takes `amount` millionths of a token; returns `false` and takes nothing if there are too few.
    pub fn take_tokens(&mut self, amount: u64) -> bool {
        match self.level.checked_sub(amount) {
            Some(left) => {
                self.level = left;
                true
            }
            None => false,
        }
    }

    /// Level at the last fill, in millionths of a token.
    pub fn level(&self) -> u64 {
        self.level
    }

    /// Fill rate, in millionths of a token a second.
    pub fn rate(&self) -> u64 {
        self.rate
    }

    /// Time from the last fill until the level reaches `amount`; `None` if it never does at this rate and capacity.
    pub fn time_until(&self, amount: u64) -> Option<Duration> {
        let missing = u128::from(amount.saturating_sub(self.level));
        match self.rate {
            _ if missing == 0 => Some(Duration::ZERO),
            _ if amount > self.capacity => None,
            0 => None,
            rate => {
                let nanos = (missing * NANOS_PER_SECOND).div_ceil(u128::from(rate));
                Some(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
            }
        }
    }
}
