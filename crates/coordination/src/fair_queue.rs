//! A bounded queue that shares slots among customers by weight.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::CustomerId;

/// Classes of a queue; class 0 goes first.
pub const QUEUE_CLASSES: usize = 3;

const PASSED_OVER_LIMITS: [u32; QUEUE_CLASSES] = [u32::MAX, 8, 16];
const INTERVAL_SMOOTHING: u32 = 8;

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueBounds {
    /// Most that wait for one customer.
    pub per_customer: usize,
    /// Most that wait in all.
    pub total: usize,
    /// Longest wait.
    pub longest_wait: Duration,
}

/// What is put into a queue beside the item.
#[derive(Clone, Debug)]
pub struct QueueTicket {
    /// Customer.
    pub customer: CustomerId,
    /// Its share relative to others.
    pub weight: u32,
    /// Class.
    pub class: usize,
    /// Time after which it is of no use.
    pub deadline: Instant,
}

/// Why an item was not taken, and when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueRefusal {
    /// The queue, or the customer's part of it, is full.
    Full(Duration),
    /// Its turn would come after its deadline.
    TooLate(Duration),
}

#[derive(Debug)]
struct QueueEntry<T> {
    item: T,
    deadline: Instant,
}

#[derive(Debug)]
struct CustomerLine<T> {
    entries: VecDeque<QueueEntry<T>>,
    weight: u32,
    deficit: u32,
}

#[derive(Debug)]
struct ClassRing<T> {
    lines: IndexMap<CustomerId, CustomerLine<T>>,
    next: usize,
    passed_over: u32,
}

/// A bounded queue: deficit round robin over customers within a class, the most urgent class first, and a lower class
/// after it was passed over a number of times. Items whose turn would come too late are refused when they arrive.
#[derive(Debug)]
pub struct FairQueue<T> {
    bounds: QueueBounds,
    classes: [ClassRing<T>; QUEUE_CLASSES],
    waiting: usize,
    interval: Option<Duration>,
    served_at: Option<Instant>,
}

impl<T> FairQueue<T> {
    /// An empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        let ring = || ClassRing { lines: IndexMap::new(), next: 0, passed_over: 0 };
        Self {
            bounds,
            classes: [ring(), ring(), ring()],
            waiting: 0,
            interval: None,
            served_at: None,
        }
    }

    /// Changes the bounds for items that come from now on.
    pub fn set_bounds(&mut self, bounds: QueueBounds) {
        self.bounds = bounds;
    }

    /// Items that wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Wait that an item with this ticket has before it, as far as the pace of service is known.
    pub fn expected_wait(&self, ticket: &QueueTicket) -> Duration {
        let class = ticket.class.min(QUEUE_CLASSES - 1);
        let ahead: usize = self.classes.iter().take(class).map(ClassRing::len).sum();
        let turns = self.classes.get(class).map_or(0, |ring| ring.turns_before(ticket));
        let turns = u32::try_from(ahead + turns + 1).unwrap_or(u32::MAX);
        self.interval.unwrap_or_default().saturating_mul(turns)
    }

    /// Takes an item in.
    ///
    /// # Errors
    ///
    /// Gives the item back at once if there is no room, or if its turn would come after its deadline.
    pub fn push(
        &mut self,
        item: T,
        ticket: QueueTicket,
        now: Instant,
    ) -> Result<(), (T, QueueRefusal)> {
        let wait = self.expected_wait(&ticket);
        let allowed = ticket.deadline.saturating_duration_since(now).min(self.bounds.longest_wait);
        let Some(ring) = self.classes.get_mut(ticket.class.min(QUEUE_CLASSES - 1)) else {
            return Err((item, QueueRefusal::Full(wait)));
        };
        let line_length = ring.lines.get(&ticket.customer).map_or(0, |line| line.entries.len());
        if self.waiting >= self.bounds.total || line_length >= self.bounds.per_customer {
            return Err((item, QueueRefusal::Full(wait)));
        }
        if wait > allowed {
            return Err((item, QueueRefusal::TooLate(wait - allowed)));
        }
        let deadline = ticket.deadline.min(now + self.bounds.longest_wait);
        let line = ring.lines.entry(ticket.customer).or_insert_with(CustomerLine::new);
        line.weight = ticket.weight.max(1);
        line.entries.push_back(QueueEntry { item, deadline });
        self.waiting += 1;
        Ok(())
    }

    /// Takes out the item whose turn it is.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        let class = self.next_class()?;
        let ring = self.classes.get_mut(class)?;
        ring.passed_over = 0;
        let entry = ring.pop()?;
        self.waiting -= 1;
        for (index, other) in self.classes.iter_mut().enumerate() {
            if index != class && !other.lines.is_empty() {
                other.passed_over = other.passed_over.saturating_add(1);
            }
        }
        self.note_service(now);
        Some(entry.item)
    }

    /// Puts an item back at the front of its line; its turn is not counted.
    pub fn put_back(&mut self, item: T, ticket: QueueTicket) {
        let Some(ring) = self.classes.get_mut(ticket.class.min(QUEUE_CLASSES - 1)) else { return };
        let line = ring.lines.entry(ticket.customer).or_insert_with(CustomerLine::new);
        line.weight = ticket.weight.max(1);
        line.deficit = line.deficit.saturating_add(1);
        line.entries.push_front(QueueEntry { item, deadline: ticket.deadline });
        self.waiting += 1;
    }

    /// Takes out all items whose time is over.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let mut expired = Vec::new();
        for ring in &mut self.classes {
            for line in ring.lines.values_mut() {
                let entries = std::mem::take(&mut line.entries);
                let (late, kept): (VecDeque<_>, VecDeque<_>) =
                    entries.into_iter().partition(|entry| entry.deadline <= now);
                line.entries = kept;
                expired.extend(late.into_iter().map(|entry| entry.item));
            }
            ring.lines.retain(|_, line| !line.entries.is_empty());
        }
        self.waiting -= expired.len();
        expired
    }

    fn next_class(&self) -> Option<usize> {
        let waits =
            |index: &usize| self.classes.get(*index).is_some_and(|ring| !ring.lines.is_empty());
        let overdue = |index: &usize| {
            let limit = PASSED_OVER_LIMITS.get(*index).copied().unwrap_or(u32::MAX);
            self.classes.get(*index).is_some_and(|ring| ring.passed_over >= limit)
        };
        let waiting = || (0..QUEUE_CLASSES).filter(waits);
        waiting().rev().find(overdue).or_else(|| waiting().next())
    }

    /// Learns the pace of service from items taken out while others still waited.
    fn note_service(&mut self, now: Instant) {
        let since = self.served_at.map(|served_at| now.saturating_duration_since(served_at));
        self.interval = match (self.interval, since) {
            (Some(interval), Some(since)) => {
                Some((interval * (INTERVAL_SMOOTHING - 1) + since) / INTERVAL_SMOOTHING)
            }
            (None, since) => since,
            (interval, None) => interval,
        };
        self.served_at = (self.waiting > 0).then_some(now);
    }
}

impl<T> ClassRing<T> {
    fn len(&self) -> usize {
        self.lines.values().map(|line| line.entries.len()).sum()
    }

    /// Items of this class that go before a new one: those of its own customer, and of each other at most its share.
    fn turns_before(&self, ticket: &QueueTicket) -> usize {
        let own = self.lines.get(&ticket.customer).map_or(0, |line| line.entries.len());
        let weight = usize::try_from(ticket.weight.max(1)).unwrap_or(1);
        let rounds = own / weight + 1;
        let others = self.lines.iter().filter(|(customer, _)| **customer != ticket.customer);
        let share = |line: &CustomerLine<T>| {
            let weight = usize::try_from(line.weight).unwrap_or(1);
            line.entries.len().min(rounds.saturating_mul(weight))
        };
        own + others.map(|(_, line)| share(line)).sum::<usize>()
    }

    fn pop(&mut self) -> Option<QueueEntry<T>> {
        if self.next >= self.lines.len() {
            self.next = 0;
        }
        let (_, line) = self.lines.get_index_mut(self.next)?;
        if line.deficit == 0 {
            line.deficit = line.weight;
        }
        line.deficit -= 1;
        let entry = line.entries.pop_front()?;
        let (is_empty, is_spent) = (line.entries.is_empty(), line.deficit == 0);
        match is_empty {
            true => drop(self.lines.shift_remove_index(self.next)),
            false if is_spent => self.next += 1,
            false => {}
        }
        Some(entry)
    }
}

impl<T> CustomerLine<T> {
    fn new() -> Self {
        Self { entries: VecDeque::new(), weight: 1, deficit: 0 }
    }
}
