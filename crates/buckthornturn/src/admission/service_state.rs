//! Queue, retry budget and recent demand of one service on this host.

use std::time::Duration;
use std::time::Instant;

use coordination::fair_queue::EntryParams;
use coordination::fair_queue::FairQueue;
use coordination::fair_queue::QueueBounds;
use coordination::ids::TargetId;
use coordination::retry_budget::RetryBudget;
use tokio::sync::oneshot;

use crate::admission::target_slots::SlotSource;
use crate::interface::AdmissionRequest;

/// Requests of one service that may wait on this host, over all customers.
const MAX_QUEUED_REQUESTS: usize = 4_096;
/// Time for which a demand peak counts after it was seen.
const PEAK_WINDOW: Duration = Duration::from_secs(2);

/// A slot that was granted to a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SlotGrant {
    pub(crate) target: TargetId,
    pub(crate) source: SlotSource,
    /// Time that the request waited in the queue.
    pub(crate) queued: Duration,
}

/// A request that waits in the queue for a slot.
#[derive(Debug)]
pub(crate) struct SlotWaiter {
    pub(crate) request: AdmissionRequest,
    pub(crate) ticket: EntryParams,
    pub(crate) arrived_at: Instant,
    pub(crate) sender: oneshot::Sender<SlotGrant>,
}

/// Queue, retry budget and recent demand of one service on this host.
pub(crate) struct ServiceState {
    /// Configured targets of the service.
    pub(crate) targets: Vec<TargetId>,
    pub(crate) queue: FairQueue<SlotWaiter>,
    pub(crate) retry_budget: RetryBudget,
    /// Retries allowed per 100 first attempts, from the profile.
    pub(crate) retry_percent: f64,
    /// Longest time that a request may wait in the queue, from the profile.
    pub(crate) longest_wait: Duration,
    /// When all owners were found to have declined; `None` if this host has a slot or can still ask an owner.
    pub(crate) declined_at: Option<Instant>,
    /// Highest demand of the recent past, in requests in flight and waiting.
    peak: u32,
    peak_at: Instant,
}

impl ServiceState {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            targets: Vec::new(),
            queue: FairQueue::new(queue_bounds(Duration::ZERO, 0)),
            retry_budget: RetryBudget::new(),
            retry_percent: 0.0,
            longest_wait: Duration::ZERO,
            declined_at: None,
            peak: 0,
            peak_at: now,
        }
    }

    /// Sets the queue bounds of the service's profile.
    pub(crate) fn set_bounds(&mut self, longest_wait: Duration, per_customer: u32) {
        self.longest_wait = longest_wait;
        self.queue.set_bounds(queue_bounds(longest_wait, per_customer));
    }

    /// Whether this host has had requests of the service recently.
    pub(crate) fn has_demand(&self) -> bool {
        self.peak > 0
    }

    /// Records the current demand and returns the recent peak.
    pub(crate) fn record_demand(&mut self, demand: u32, now: Instant) -> u32 {
        let is_expired = now.saturating_duration_since(self.peak_at) > PEAK_WINDOW;
        if demand >= self.peak || is_expired {
            self.peak = demand;
            self.peak_at = now;
        }
        self.peak
    }
}

fn queue_bounds(longest_wait: Duration, per_customer: u32) -> QueueBounds {
    let per_customer = usize::try_from(per_customer).unwrap_or(MAX_QUEUED_REQUESTS);
    QueueBounds { per_customer, total: MAX_QUEUED_REQUESTS, longest_wait }
}
