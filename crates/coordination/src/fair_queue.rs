//! A bounded queue that shares slots among customers by weight.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::CustomerId;

/// Classes of a queue; class 0 goes first.
pub const QUEUE_CLASSES: usize = 3;

const MAX_SKIPS: [u32; QUEUE_CLASSES] = [u32::MAX, 8, 16];
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
pub struct EntryParams {
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
struct CustomerQueue<T> {
    entries: VecDeque<QueueEntry<T>>,
    weight: u32,
    deficit: u32,
}

#[derive(Debug)]
struct ClassRing<T> {
    queues: IndexMap<CustomerId, CustomerQueue<T>>,
    next_index: usize,
    skips: u32,
}

/// A bounded queue: deficit round robin over customers within a class, the most urgent class first, and a lower class
/// after it was passed over a number of times. Items whose turn would come too late are refused when they arrive.
#[derive(Debug)]
pub struct FairQueue<T> {
    bounds: QueueBounds,
    classes: [ClassRing<T>; QUEUE_CLASSES],
    waiting: usize,
    service_interval: Option<Duration>,
    last_served_at: Option<Instant>,
}

impl<T> FairQueue<T> {
    /// An empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        let ring = || ClassRing { queues: IndexMap::new(), next_index: 0, skips: 0 };
        Self {
            bounds,
            classes: [ring(), ring(), ring()],
            waiting: 0,
            service_interval: None,
            last_served_at: None,
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
    pub fn expected_wait(&self, params: &EntryParams) -> Duration {
        let class = params.class.min(QUEUE_CLASSES - 1);
        let ahead: usize = self.classes.iter().take(class).map(ClassRing::len).sum();
        let turns = self.classes.get(class).map_or(0, |ring| ring.turns_before(params));
        let turns = u32::try_from(ahead + turns + 1).unwrap_or(u32::MAX);
        self.service_interval.unwrap_or_default().saturating_mul(turns)
    }

    /// Takes an item in.
    ///
    /// # Errors
    ///
    /// Gives the item back at once if there is no room, or if its turn would come after its deadline.
    pub fn push(
        &mut self,
        item: T,
        params: EntryParams,
        now: Instant,
    ) -> Result<(), (T, QueueRefusal)> {
        let wait = self.expected_wait(&params);
        let allowed = params.deadline.saturating_duration_since(now).min(self.bounds.longest_wait);
        let Some(ring) = self.classes.get_mut(params.class.min(QUEUE_CLASSES - 1)) else {
            return Err((item, QueueRefusal::Full(wait)));
        };
        let queue_length = ring.queues.get(&params.customer).map_or(0, |queue| queue.entries.len());
        if self.waiting >= self.bounds.total || queue_length >= self.bounds.per_customer {
            return Err((item, QueueRefusal::Full(wait)));
        }
        if wait > allowed {
            return Err((item, QueueRefusal::TooLate(wait - allowed)));
        }
        let deadline = params.deadline.min(now + self.bounds.longest_wait);
        let queue = ring.queues.entry(params.customer).or_insert_with(CustomerQueue::new);
        queue.weight = params.weight.max(1);
        queue.entries.push_back(QueueEntry { item, deadline });
        self.waiting += 1;
        Ok(())
    }

    /// Takes out the item whose turn it is.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        let class = self.next_class()?;
        let ring = self.classes.get_mut(class)?;
        ring.skips = 0;
        let entry = ring.pop()?;
        self.waiting -= 1;
        for (index, other) in self.classes.iter_mut().enumerate() {
            if index != class && !other.queues.is_empty() {
                other.skips = other.skips.saturating_add(1);
            }
        }
        self.record_service(now);
        Some(entry.item)
    }

    /// Puts an item back at the front of its line; its turn is not counted.
    pub fn requeue(&mut self, item: T, params: EntryParams) {
        let Some(ring) = self.classes.get_mut(params.class.min(QUEUE_CLASSES - 1)) else { return };
        let queue = ring.queues.entry(params.customer).or_insert_with(CustomerQueue::new);
        queue.weight = params.weight.max(1);
        queue.deficit = queue.deficit.saturating_add(1);
        queue.entries.push_front(QueueEntry { item, deadline: params.deadline });
        self.waiting += 1;
    }

    /// Takes out all items whose time is over.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<T> {
        let mut expired = Vec::new();
        for ring in &mut self.classes {
            for queue in ring.queues.values_mut() {
                let entries = std::mem::take(&mut queue.entries);
                let (late, kept): (VecDeque<_>, VecDeque<_>) =
                    entries.into_iter().partition(|entry| entry.deadline <= now);
                queue.entries = kept;
                expired.extend(late.into_iter().map(|entry| entry.item));
            }
            ring.queues.retain(|_, queue| !queue.entries.is_empty());
        }
        self.waiting -= expired.len();
        expired
    }

    fn next_class(&self) -> Option<usize> {
        let waits =
            |index: &usize| self.classes.get(*index).is_some_and(|ring| !ring.queues.is_empty());
        let overdue = |index: &usize| {
            let limit = MAX_SKIPS.get(*index).copied().unwrap_or(u32::MAX);
            self.classes.get(*index).is_some_and(|ring| ring.skips >= limit)
        };
        let waiting = || (0..QUEUE_CLASSES).filter(waits);
        waiting().rev().find(overdue).or_else(|| waiting().next())
    }

    /// Learns the pace of service from items taken out while others still waited.
    fn record_service(&mut self, now: Instant) {
        let since =
            self.last_served_at.map(|last_served_at| now.saturating_duration_since(last_served_at));
        self.service_interval = match (self.service_interval, since) {
            (Some(service_interval), Some(since)) => {
                Some((service_interval * (INTERVAL_SMOOTHING - 1) + since) / INTERVAL_SMOOTHING)
            }
            (None, since) => since,
            (service_interval, None) => service_interval,
        };
        self.last_served_at = (self.waiting > 0).then_some(now);
    }
}

impl<T> ClassRing<T> {
    fn len(&self) -> usize {
        self.queues.values().map(|queue| queue.entries.len()).sum()
    }

    /// Items of this class that go before a new one: those of its own customer, and of each other at most its share.
    fn turns_before(&self, params: &EntryParams) -> usize {
        let own = self.queues.get(&params.customer).map_or(0, |queue| queue.entries.len());
        let weight = usize::try_from(params.weight.max(1)).unwrap_or(1);
        let rounds = own / weight + 1;
        let others = self.queues.iter().filter(|(customer, _)| **customer != params.customer);
        let share = |queue: &CustomerQueue<T>| {
            let weight = usize::try_from(queue.weight).unwrap_or(1);
            queue.entries.len().min(rounds.saturating_mul(weight))
        };
        own + others.map(|(_, queue)| share(queue)).sum::<usize>()
    }

    fn pop(&mut self) -> Option<QueueEntry<T>> {
        if self.next_index >= self.queues.len() {
            self.next_index = 0;
        }
        let (_, queue) = self.queues.get_index_mut(self.next_index)?;
        if queue.deficit == 0 {
            queue.deficit = queue.weight;
        }
        queue.deficit -= 1;
        let entry = queue.entries.pop_front()?;
        let (is_empty, is_spent) = (queue.entries.is_empty(), queue.deficit == 0);
        match is_empty {
            true => drop(self.queues.shift_remove_index(self.next_index)),
            false if is_spent => self.next_index += 1,
            false => {}
        }
        Some(entry)
    }
}

impl<T> CustomerQueue<T> {
    fn new() -> Self {
        Self { entries: VecDeque::new(), weight: 1, deficit: 0 }
    }
}
