//! Ideal token bucket over the whole fleet, the reference for rate limits.

use std::time::Duration;

use crate::load::CustomerLoad;
use crate::load::RequestRecord;

/// Token bucket that learns of every request without delay, as no real host can.
#[derive(Clone, Debug)]
pub struct IdealBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_at: Duration,
}

impl IdealBucket {
    /// Creates a full bucket; `rate` is in tokens a second.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, tokens: burst, filled_at: Duration::ZERO }
    }

    /// Refills the bucket and returns its tokens. `now` counts from the start and must not go back.
    pub fn tokens_at(&mut self, now: Duration) -> f64 {
        let gained = now.saturating_sub(self.filled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled_at = self.filled_at.max(now);
        self.tokens
    }

    /// Takes one token, also if there is none: the level may become negative.
    pub fn take_token(&mut self, now: Duration) {
        self.tokens_at(now);
        self.tokens -= 1.0;
    }
}

/// Counts refusals for the rate at moments when the ideal bucket had a token left. An admitted request takes its token
/// at the moment it was sent, and a refusal is checked at the moment it arrived, so that doubt goes against the count.
pub fn count_wrongful_refusals(load: &CustomerLoad, records: &[&RequestRecord]) -> u64 {
    let mut events: Vec<(Duration, bool)> = records
        .iter()
        .filter_map(|record| match record {
            _ if record.is_admitted() => Some((record.sent_at, true)),
            _ if record.is_refused_for_rate() => Some((record.ended_at, false)),
            _ => None,
        })
        .collect();
    events.sort();
    let mut bucket = IdealBucket::new(load.rate_per_second, load.burst);
    let mut wrongful = 0;
    for (at, admitted) in events {
        match admitted {
            true => bucket.take_token(at),
            false => wrongful += u64::from(bucket.tokens_at(at) >= 1.0),
        }
    }
    wrongful
}
