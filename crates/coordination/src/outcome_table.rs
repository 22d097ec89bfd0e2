//! Outcomes of requests that must run at most once, remembered for a bounded life in bounded memory.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::CustomerId;

/// Bounds of an `OutcomeTable`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutcomeBounds {
    /// Most entries.
    pub max_entries: usize,
    /// Most entries of one customer.
    pub max_entries_per_customer: usize,
    /// Most bytes of answers kept to be replayed, over all entries.
    pub max_bytes: usize,
}

/// How a request ended, as far as is known.
#[derive(Clone, Debug, PartialEq)]
pub enum KnownOutcome<A> {
    /// It was answered.
    Answered(A),
    /// Bytes of it left, but its answer was lost.
    Unknown,
}

/// What may be done with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum BeginResult<A> {
    /// It has not run: dispatch it, and then call `finish` or `release`.
    First,
    /// It is running now.
    Running,
    /// It has run; it must not run again.
    Known(KnownOutcome<A>),
    /// There is no room to remember it, so it must not run; it has not run.
    Full,
}

/// An answer whose size can be told.
pub trait SizedAnswer: Clone {
    /// Bytes that it takes beyond a fixed part.
    fn bytes(&self) -> usize;

    /// The same answer without the parts that take much room.
    fn summary(&self) -> Self;
}

/// Remembers which requests have begun and how they ended. An entry is never dropped before its life has ended, so
/// a request that is not in the table has not run within its life.
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

/// Time between two sweeps of entries whose life has ended.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl<A: SizedAnswer> OutcomeTable<A> {
    /// An empty table.
    pub fn new(bounds: OutcomeBounds) -> Self {
        Self {
            bounds,
            entries: IndexMap::new(),
            entries_per_customer: IndexMap::new(),
            bytes: 0,
            next_sweep_at: None,
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of answers kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Asks to run a request that must not run after `expires`.
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

    /// What is known of a request; `None` while it runs or if it never began.
    pub fn outcome(&self, id: &str) -> Option<KnownOutcome<A>> {
        self.entries.get(id)?.outcome.clone()
    }

    /// Whether a request is running.
    pub fn is_running(&self, id: &str) -> bool {
        self.entries.get(id).is_some_and(|row| row.outcome.is_none())
    }

    /// Forgets a request of which no byte has left, so that it can be tried again.
    pub fn release(&mut self, id: &str) {
        if self.is_running(id) {
            self.remove(id);
        }
    }

    /// Remembers how a running request ended. An answer for which there is no room is kept as its summary.
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

    /// Takes an outcome from another process; returns whether there was room for it.
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

    /// All outcomes with the rest of their life; a running request counts as unknown.
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
        let ended: Vec<Box<str>> = self
            .entries
            .iter()
            .filter(|(_, row)| row.expires <= now && row.outcome.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
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
