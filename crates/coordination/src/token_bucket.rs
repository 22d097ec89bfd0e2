//! A token bucket in integers.

use std::time::Duration;
use std::time::Instant;

/// One token, in millionths.
pub const MICRO_TOKENS: u64 = 1_000_000;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// A bucket that fills at a rate up to a capacity. Amounts are millionths of a token; fractions below that are
/// carried, so that nothing is gained or lost however often it is asked.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: u64,
    capacity: u64,
    level: u64,
    remainder: u128,
    filled_at: Instant,
}

impl TokenBucket {
    /// An empty bucket that holds and gains nothing.
    pub fn new(now: Instant) -> Self {
        Self { rate: 0, capacity: 0, level: 0, remainder: 0, filled_at: now }
    }

    /// Fills up to a moment; an earlier moment changes nothing.
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

    /// Changes rate (millionths of a token a second) and capacity from the last fill on. What exceeds the capacity
    /// is lost.
    pub fn set_limits(&mut self, rate: u64, capacity: u64) {
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Adds tokens, up to the capacity.
    pub fn add_tokens(&mut self, amount: u64) {
        self.level = self.level.saturating_add(amount).min(self.capacity);
    }

    /// Takes tokens if there are enough.
    pub fn take_tokens(&mut self, amount: u64) -> bool {
        match self.level.checked_sub(amount) {
            Some(left) => {
                self.level = left;
                true
            }
            None => false,
        }
    }

    /// Tokens at the last fill.
    pub fn level(&self) -> u64 {
        self.level
    }

    /// Rate, in millionths of a token a second.
    pub fn rate(&self) -> u64 {
        self.rate
    }

    /// Time from the last fill until an amount is there; `None` if it never will be.
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
