//! Outcomes of requests that must run at most once, kept for a limited lifetime in bounded memory.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::CustomerId;

/// Memory limits of an `OutcomeTable`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutcomeBounds {
    /// Most entries of all customers together.
    pub max_entries: usize,
    /// Most entries of one customer, so that it cannot fill the table.
    pub max_entries_per_customer: usize,
    /// Most bytes of stored answers, over all entries; an answer beyond it is stored as its summary.
    pub max_bytes: usize,
}

/// Known outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum KnownOutcome<A> {
    /// The request was answered with this answer or its summary.
    Answered(A),
    /// At least a part of the request was sent, but its answer was lost; it may have run.
    Unknown,
}

/// Result of asking to run a request.
#[derive(Clone, Debug, PartialEq)]
pub enum BeginResult<A> {
    /// It has not run. The caller dispatches it and then calls `finish` or `release`.
    First,
    /// Another attempt of it is running now.
    Running,
    /// It has or may have run, and must not run again.
    Known(KnownOutcome<A>),
    /// It has not run, and must not, because the table has no room to record its outcome.
    Full,
}

/// Answer that an outcome table can store.
pub trait SizedAnswer: Clone {
    /// Memory that the answer takes beyond its fixed part, in bytes.
    fn bytes(&self) -> usize;

    /// Copy of the answer without its large parts.
    fn summary(&self) -> Self;
}

/// Records which requests have begun and how they ended. An entry is never removed before its lifetime has ended, except
/// by `release`, so a request that is not in the table has not run within its lifetime.
pub struct OutcomeTable<A> {
    bounds: OutcomeBounds,
    entries: IndexMap<Box<str>, OutcomeRow<A>>,
    entries_per_customer: IndexMap<CustomerId, usize>,
    bytes: usize,
    next_sweep_at: Option<Instant>,
}

struct OutcomeRow<A> {
    customer: CustomerId,
    expires: Instant,
    outcome: Option<KnownOutcome<A>>,
}

/// Shortest time between two sweeps of expired entries.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl<A: SizedAnswer> OutcomeTable<A> {
    /// Creates an empty table with these limits.
    pub fn new(bounds: OutcomeBounds) -> Self {
        Self {
            bounds,
            entries: IndexMap::new(),
            entries_per_customer: IndexMap::new(),
            bytes: 0,
            next_sweep_at: None,
        }
    }

    /// Number of entries, running requests and expired entries that are not yet swept included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of all stored answers together.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Asks to run the request `id`, which must not run after `expires`. Only `First` allows it to run.
    pub fn begin(
        &mut self,
        id: &str,
        customer: &str,
        expires: Instant,
        now: Instant,
    ) -> BeginResult<A> {
        self.sweep_expired(now);
        match self.entries.get(id) {
            Some(OutcomeRow { outcome: Some(outcome), .. }) => BeginResult::Known(outcome.clone()),
            Some(_) => BeginResult::Running,
            None if !self.has_room(customer) => BeginResult::Full,
            None => {
                self.insert(id, customer, expires, None);
                BeginResult::First
            }
        }
    }

    /// Outcome of a request; `None` while it runs or if it is not in the table.
    pub fn outcome(&self, id: &str) -> Option<KnownOutcome<A>> {
        self.entries.get(id)?.outcome.clone()
    }

    /// Whether a request has begun and has no outcome yet.
    pub fn is_running(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|row| row.outcome.is_none())
    }

    /// Removes a running request of which no byte was sent, so that it can be tried again.
    pub fn release(&mut self, id: &str) {
        if self.is_running(id) {
            self.remove(id);
        }
    }

    /// Records the outcome of a running request; ignored if it is not running. An answer beyond the byte limit is stored as
    /// its summary.
    pub fn finish(&mut self, id: &str, outcome: KnownOutcome<A>) {
        let outcome = self.fit_to_byte_limit(outcome);
        match self.entries.get_mut(id) {
            Some(row) if row.outcome.is_none() => {
                self.bytes += size_of_outcome(&outcome);
                row.outcome = Some(outcome);
            }
            _ => {}
        }
    }

    /// Adds an outcome from another process unless the request is known; returns `false` if there is no room for it.
    pub fn adopt(
        &mut self,
        id: &str,
        customer: &str,
        expires: Instant,
        outcome: KnownOutcome<A>,
        now: Instant,
    ) -> bool {
        self.sweep_expired(now);
        if self.entries.contains_key(id) {
            return true;
        }
        if !self.has_room(customer) {
            return false;
        }
        let outcome = self.fit_to_byte_limit(outcome);
        self.bytes += size_of_outcome(&outcome);
        self.insert(id, customer, expires, Some(outcome));
        true
    }

    /// Outcomes to hand over to another process, with their remaining lifetimes. A running request counts as unknown.
    pub fn unexpired_outcomes(&self, now: Instant) -> Vec<(Box<str>, KnownOutcome<A>, Duration)> {
        self.entries
            .iter()
            .filter(|(_, row)| row.expires > now)
            .map(|(id, row)| {
                let outcome = row.outcome.clone().unwrap_or(KnownOutcome::Unknown);
                (id.clone(), outcome, row.expires - now)
            })
            .collect()
    }

    fn has_room(&self, customer: &str) -> bool {
        let used = self.entries_per_customer.get(customer).copied().unwrap_or(0);
        self.entries.len() < self.bounds.max_entries && used < self.bounds.max_entries_per_customer
    }

    fn insert(
        &mut self,
        id: &str,
        customer: &str,
        expires: Instant,
        outcome: Option<KnownOutcome<A>>,
    ) {
        *self.entries_per_customer.entry(customer.into()).or_default() += 1;
        self.entries.insert(id.into(), OutcomeRow { customer: customer.into(), expires, outcome });
    }

    fn remove(&mut self, id: &str) {
        let Some(row) = self.entries.swap_remove(id) else { return };
        self.bytes -= row.outcome.as_ref().map_or(0, size_of_outcome);
        match self.entries_per_customer.get_mut(&row.customer) {
            Some(used) if *used > 1 => *used -= 1,
            _ => drop(self.entries_per_customer.swap_remove(&row.customer)),
        }
    }

    fn fit_to_byte_limit(&self, outcome: KnownOutcome<A>) -> KnownOutcome<A> {
        match outcome {
            KnownOutcome::Answered(answer)
                if self.bytes + answer.bytes() > self.bounds.max_bytes =>
            {
                KnownOutcome::Answered(answer.summary())
            }
            outcome => outcome,
        }
    }

    fn sweep_expired(&mut self, now: Instant) {
        if self.next_sweep_at.is_some_and(|at| now < at) {
            return;
        }
        self.next_sweep_at = Some(now + SWEEP_INTERVAL);
        let expired_ids: Vec<Box<str>> = self
            .entries
            .iter()
            .filter(|(_, row)| row.expires <= now && row.outcome.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired_ids {
            self.remove(&id);
        }
    }
}

fn size_of_outcome<A: SizedAnswer>(outcome: &KnownOutcome<A>) -> usize {
    match outcome {
        KnownOutcome::Answered(answer) => answer.bytes(),
        KnownOutcome::Unknown => 0,
    }
}
