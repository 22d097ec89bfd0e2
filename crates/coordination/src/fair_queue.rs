//! Bounded queue that shares free slots among customers by weight.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::CustomerId;

/// Number of priority classes; class 0 is served first.
pub const QUEUE_CLASSES: usize = 3;

/// Times that a waiting class may be skipped before it is served ahead of more urgent ones, by class.
const MAX_SKIPS: [u32; QUEUE_CLASSES] = [u32::MAX, 8, 16];
/// Weight of the service interval's average: each new sample counts for one part in this many.
const INTERVAL_SMOOTHING: u32 = 8;

/// Limits on the length of a queue and on the time in it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueBounds {
    /// Most items of one customer and class that may wait.
    pub per_customer: usize,
    /// Most items that may wait in all classes together.
    pub total: usize,
    /// Longest time that an item may wait, even if its own deadline is later.
    pub longest_wait: Duration,
}

/// Scheduling parameters of a queued item.
#[derive(Clone, Debug)]
pub struct EntryParams {
    /// Customer whose queue the item joins.
    pub customer: CustomerId,
    /// The customer's share of service relative to other customers; 0 counts as 1. The latest item's weight applies.
    pub weight: u32,
    /// Priority class, 0 to `QUEUE_CLASSES - 1`; larger values count as the last class.
    pub class: usize,
    /// Time after which the item must no longer be served.
    pub deadline: Instant,
}

/// Why an item was refused, with the time after which the caller may retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueRefusal {
    /// The whole queue, or the customer's queue within the class, is full.
    Full(Duration),
    /// The item would be served only after its deadline or after the longest wait.
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

/// Bounded queue with deficit round robin over the customers of a class. The most urgent class is served first; a less
/// urgent one is served ahead of it after it was skipped a number of times, so that it cannot starve. Items that would
/// be served too late are refused on arrival.
#[derive(Debug)]
pub struct FairQueue<T> {
    bounds: QueueBounds,
    classes: [ClassRing<T>; QUEUE_CLASSES],
    waiting: usize,
    service_interval: Option<Duration>,
    last_served_at: Option<Instant>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue with an unknown service rate.
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

    /// Changes the bounds; items that already wait keep their deadlines.
    pub fn set_bounds(&mut self, bounds: QueueBounds) {
        self.bounds = bounds;
    }

    /// Number of items that wait, in all classes.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no item waits in any class.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Expected wait of a new item with these parameters, from the measured service interval; zero while that is
    /// unknown.
    pub fn expected_wait(&self, params: &EntryParams) -> Duration {
        let class = params.class.min(QUEUE_CLASSES - 1);
        let ahead: usize = self.classes.iter().take(class).map(ClassRing::len).sum();
        let turns = self.classes.get(class).map_or(0, |ring| ring.turns_before(params));
        let turns = u32::try_from(ahead + turns + 1).unwrap_or(u32::MAX);
        self.service_interval.unwrap_or_default().saturating_mul(turns)
    }

    /// Appends an item to its customer's queue.
    ///
    /// # Errors
    ///
    /// Returns the item if the queue is full or the expected wait exceeds its deadline or the longest wait.
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

    /// Removes and returns the item that is served next; `None` if the queue is empty.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        self.pop_where(now, |_| true)
    }

    /// Removes and returns the first item, in the order of service, that can be served now. Items that cannot are passed
    /// over and keep their places. `None` if no item can be served.
    pub fn pop_where(&mut self, now: Instant, can_serve: impl Fn(&T) -> bool) -> Option<T> {
        let served = self.class_order().into_iter().flatten().find_map(|class| {
            let entry = self.classes.get_mut(class)?.pop_where(&can_serve)?;
            Some((class, entry))
        });
        let Some((class, entry)) = served else {
            self.last_served_at = None;
            return None;
        };
        self.waiting -= 1;
        for (index, other) in self.classes.iter_mut().enumerate() {
            match index == class {
                true => other.skips = 0,
                false if !other.queues.is_empty() => other.skips = other.skips.saturating_add(1),
                false => {}
            }
        }
        self.record_service(now);
        Some(entry.item)
    }

    /// Items that wait, in no particular order.
    pub fn items(&self) -> impl Iterator<Item = &T> {
        let queues = self.classes.iter().flat_map(|ring| ring.queues.values());
        queues.flat_map(|queue| queue.entries.iter().map(|entry| &entry.item))
    }

    /// Returns an item to the front of its customer's queue, bounds aside, and credits the customer with the turn that
    /// was not used.
    pub fn requeue(&mut self, item: T, params: EntryParams) {
        let Some(ring) = self.classes.get_mut(params.class.min(QUEUE_CLASSES - 1)) else { return };
        let queue = ring.queues.entry(params.customer).or_insert_with(CustomerQueue::new);
        queue.weight = params.weight.max(1);
        queue.deficit = queue.deficit.saturating_add(1);
        queue.entries.push_front(QueueEntry { item, deadline: params.deadline });
        self.waiting += 1;
    }

    /// Removes and returns all items whose deadline has passed.
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

    /// Classes with items in the order in which they are served: one that was skipped too often, then the most urgent.
    fn class_order(&self) -> [Option<usize>; QUEUE_CLASSES + 1] {
        let is_waiting =
            |index: &usize| self.classes.get(*index).is_some_and(|ring| !ring.queues.is_empty());
        let is_overdue = |index: &usize| {
            let limit = MAX_SKIPS.get(*index).copied().unwrap_or(u32::MAX);
            self.classes.get(*index).is_some_and(|ring| ring.skips >= limit)
        };
        let waiting_classes = || (0..QUEUE_CLASSES).filter(is_waiting);
        let mut order = [None; QUEUE_CLASSES + 1];
        let overdue = waiting_classes().rev().find(is_overdue);
        for (place, class) in order.iter_mut().zip(overdue.into_iter().chain(waiting_classes())) {
            *place = Some(class);
        }
        order
    }

    /// Updates the average service interval. Only the time between two items served while others still waited counts,
    /// because an idle queue says nothing about the service rate.
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

    /// Items of this class that are served before a new one: all of its own customer's, and of each other customer at
    /// most its weighted share.
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

    /// Takes the first item that can be served. The turn passes to its customer.
    fn pop_where(&mut self, can_serve: &impl Fn(&T) -> bool) -> Option<QueueEntry<T>> {
        let count = self.queues.len();
        let (index, place) = (0..count).find_map(|step| {
            let index = (self.next_index.min(count) + step) % count;
            let (_, queue) = self.queues.get_index(index)?;
            let place = queue.entries.iter().position(|entry| can_serve(&entry.item))?;
            Some((index, place))
        })?;
        self.next_index = index;
        let (_, queue) = self.queues.get_index_mut(index)?;
        if queue.deficit == 0 {
            queue.deficit = queue.weight;
        }
        queue.deficit -= 1;
        let entry = queue.entries.remove(place)?;
        let (is_empty, is_spent) = (queue.entries.is_empty(), queue.deficit == 0);
        match is_empty {
            true => drop(self.queues.shift_remove_index(index)),
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
