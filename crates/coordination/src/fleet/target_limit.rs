//! Limit that a target states in its answers: the requests a second that it takes from all hosts together.
//!
//! Load that this answers: a target in need that many hosts use. Hosts that know of the limit leave the target to a few of
//! them, and each of those sends its part of the rate. The senders follow from the known hosts, so that no host asks another.
//! If hosts disagree about one sender for a moment, the sum stays within half as much again.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::TargetId;
use crate::token_bucket::MICRO_TOKENS;
use crate::token_bucket::TokenBucket;

/// Fewest and most hosts that send to a target with a limit. Each may send one request beyond its part of the rate.
const SENDER_BOUNDS: (usize, usize) = (2, 8);
/// Requests a second for which there is one more sender than the fewest.
const RATE_PER_SENDER: f64 = 2.0;
/// Lowest rate that a limit counts as, in requests a second: with no request at all, no host would learn of its end.
const MIN_RATE: f64 = 0.5;
/// Highest rate that a limit counts as, so that the tokens of a second fit into a bucket.
const MAX_RATE: f64 = 1e9;
/// Age of a statement from which the other hosts send like the senders, which may be gone or have no callers.
const TRUSTED_TIME: Duration = Duration::from_secs(30);
/// Time for which hosts report that a limit was lifted: many heartbeats.
const LIFTED_REPORT_TIME: Duration = Duration::from_secs(10);
/// Longest wait that is reported, also for a target to which this host does not send.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Effect of a statement on what is known of a target's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// The target had a limit before and has one now, or neither, or the statement is older than the known one.
    Same,
    /// The target has a limit and had none before.
    Named,
    /// The target had a limit and has none now.
    Lifted,
}

/// What a target stated to any host about its limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(TargetId, Option<f64>, u32)", into = "(TargetId, Option<f64>, u32)")]
pub struct LimitReport {
    /// Target that made the statement.
    pub target: TargetId,
    /// Requests a second from all hosts together; `None` for a limit that was lifted.
    pub rate: Option<f64>,
    /// Time since the statement, in milliseconds.
    pub age_ms: u32,
}

/// Latest known statement of a target about its limit, and this host's part of it.
#[derive(Clone, Debug)]
pub struct TargetLimit {
    rate: Option<f64>,
    stated_at: Option<Instant>,
    lifted_at: Option<Instant>,
    is_sender: bool,
    bucket: TokenBucket,
}

impl TargetLimit {
    /// Creates the record of a target that stated nothing yet.
    pub fn new(now: Instant) -> Self {
        Self {
            rate: None,
            stated_at: None,
            lifted_at: None,
            is_sender: false,
            bucket: TokenBucket::new(now),
        }
    }

    /// Creates the record of a target that restarted now; statements of its earlier process do not count.
    pub fn restarted(now: Instant) -> Self {
        Self { stated_at: Some(now), ..Self::new(now) }
    }

    /// Records a statement that the target made at a time: `rate` requests a second, or no limit for `None`. A statement
    /// older than the known one changes nothing.
    pub fn record_statement(&mut self, rate: Option<f64>, stated_at: Instant) -> LimitChange {
        if self.stated_at.is_some_and(|known| known > stated_at) {
            return LimitChange::Same;
        }
        let known = std::mem::replace(&mut self.rate, rate);
        self.stated_at = Some(stated_at);
        match (known, rate) {
            (None, Some(_)) => LimitChange::Named,
            (Some(_), None) => {
                self.lifted_at = Some(stated_at);
                LimitChange::Lifted
            }
            _ => LimitChange::Same,
        }
    }

    /// Number of hosts that send to the target: more for a higher limit, so that hosts of a service whose targets all have
    /// limits get parts of like size.
    pub(super) fn sender_count(&self) -> usize {
        let more = self.rate.unwrap_or_default().clamp(0.0, MAX_RATE) / RATE_PER_SENDER;
        (SENDER_BOUNDS.0 + more as usize).min(SENDER_BOUNDS.1)
    }

    /// Sets whether this host is a sender, and its part of the rate among `senders` hosts. A part starts without tokens.
    pub(super) fn set_sender(&mut self, is_sender: bool, senders: usize, now: Instant) {
        self.is_sender = is_sender;
        self.bucket.fill(now);
        let rate = self.rate.unwrap_or_default().clamp(MIN_RATE, MAX_RATE) / senders.max(1) as f64;
        self.bucket.set_limits((rate * MICRO_TOKENS as f64) as u64, MICRO_TOKENS);
    }

    /// Requests a second that the target takes from all hosts together; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Whether this host may send the target one more request now.
    pub fn may_send(&self, now: Instant) -> bool {
        self.rate.is_none() || self.has_part(now) && self.filled_bucket(now).level() >= MICRO_TOKENS
    }

    /// Takes the token of a request that is sent now.
    pub fn record_request(&mut self, now: Instant) {
        self.bucket.fill(now);
        self.bucket.take_tokens(MICRO_TOKENS);
    }

    /// Time until this host may send the target a request. For a host that is no sender it is the mean time between two
    /// requests of the senders, as the caller may reach one of them next.
    pub fn wait(&self, now: Instant) -> Duration {
        let wait = match self.rate {
            None => Some(Duration::ZERO),
            Some(_) if self.has_part(now) => self.filled_bucket(now).time_until(MICRO_TOKENS),
            Some(rate) => Some(Duration::from_secs_f64(1.0 / rate.max(MIN_RATE))),
        };
        wait.unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }

    /// Slots that requests of `service_seconds` each can keep busy within the limit, of `slots` that the target has.
    pub(super) fn usable_slots(&self, slots: f64, service_seconds: Option<f64>) -> f64 {
        let limited = self.rate.zip(service_seconds);
        limited.map_or(slots, |(rate, seconds)| slots.min(rate.max(MIN_RATE) * seconds))
    }

    /// Rate and age of the latest statement if other hosts may not know of it: that of a limit, or of one that was lifted
    /// recently.
    pub(super) fn report(&self, now: Instant) -> Option<(Option<f64>, Duration)> {
        let age = now.saturating_duration_since(self.stated_at?);
        let was_lifted =
            self.lifted_at.is_some_and(|at| now.saturating_duration_since(at) < LIFTED_REPORT_TIME);
        let is_news = age < TRUSTED_TIME && (self.rate.is_some() || was_lifted);
        is_news.then_some((self.rate, age))
    }

    fn has_part(&self, now: Instant) -> bool {
        let is_stale =
            self.stated_at.is_none_or(|at| now.saturating_duration_since(at) >= TRUSTED_TIME);
        self.is_sender || is_stale
    }

    fn filled_bucket(&self, now: Instant) -> TokenBucket {
        let mut bucket = self.bucket.clone();
        bucket.fill(now);
        bucket
    }
}

impl From<(TargetId, Option<f64>, u32)> for LimitReport {
    fn from((target, rate, age_ms): (TargetId, Option<f64>, u32)) -> Self {
        Self { target, rate, age_ms }
    }
}

impl From<LimitReport> for (TargetId, Option<f64>, u32) {
    fn from(report: LimitReport) -> Self {
        (report.target, report.rate, report.age_ms)
    }
}
