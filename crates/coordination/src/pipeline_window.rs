//! Decides which requests of a connection start before the ones ahead of them are answered.

use std::collections::VecDeque;

/// Bounds of the requests of one connection that run side by side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PipelineBounds {
    /// Largest number of requests that are started and not yet answered to the caller; 1 serves them one at a time.
    pub max_side_by_side: usize,
    /// Size of finished answers that wait for the ones ahead of them, in bytes, from which on no further request starts.
    pub max_held_bytes: u64,
}

/// Whether a request may run beside others of its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOrder {
    /// Idempotent and without a body.
    Independent,
    /// Starts once all requests ahead of it are answered, and none behind it starts before it is answered.
    Ordered,
}

/// Number of a request on its connection, in the order of arrival.
pub type RequestNumber = u64;

/// Request that the server has reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReachedRequest {
    /// Number of the request.
    pub number: RequestNumber,
    /// Whether the request was started early, so that its answer is in progress.
    pub is_started: bool,
}

#[derive(Clone, Copy, Debug)]
struct AheadRequest {
    number: RequestNumber,
    order: RequestOrder,
    is_started: bool,
}

/// Requests of one connection that have arrived and that the server has not reached, and the one that it answers.
#[derive(Debug)]
pub struct PipelineWindow {
    bounds: PipelineBounds,
    arrived: RequestNumber,
    ahead: VecDeque<AheadRequest>,
    current: Option<RequestOrder>,
    is_closed: bool,
}

impl PipelineWindow {
    /// Creates the window of a connection without requests.
    pub fn new(bounds: PipelineBounds) -> Self {
        Self { bounds, arrived: 0, ahead: VecDeque::new(), current: None, is_closed: false }
    }

    /// Records the arrival of a request, and returns its number.
    pub fn record_arrival(&mut self, order: RequestOrder) -> RequestNumber {
        let number = self.arrived;
        self.arrived += 1;
        self.ahead.push_back(AheadRequest { number, order, is_started: false });
        number
    }

    /// Chooses the next request that starts early, and records its start. `held_bytes` is the size of the finished answers
    /// that wait for the ones ahead of them.
    pub fn start_next(&mut self, held_bytes: u64) -> Option<RequestNumber> {
        let is_blocked = self.is_closed
            || self.current == Some(RequestOrder::Ordered)
            || held_bytes >= self.bounds.max_held_bytes
            || self.open_count() >= self.bounds.max_side_by_side;
        if is_blocked {
            return None;
        }
        let next = self.ahead.iter_mut().find(|request| !request.is_started)?;
        if next.order == RequestOrder::Ordered {
            return None;
        }
        next.is_started = true;
        Some(next.number)
    }

    /// Records that the server has reached the next request; `None` if none has arrived. The one before counts as answered.
    pub fn reach_next(&mut self) -> Option<ReachedRequest> {
        let AheadRequest { number, order, is_started } = self.ahead.pop_front()?;
        self.current = Some(order);
        Some(ReachedRequest { number, is_started })
    }

    /// Records that the request which the server reached last is answered.
    pub fn record_answer(&mut self) {
        self.current = None;
    }

    /// Gives up all requests that the server has not reached, as the connection closes or their bounds are in doubt. No
    /// further one starts early.
    pub fn close(&mut self) {
        self.is_closed = true;
        self.ahead.clear();
    }

    /// Whether requests are given up and no further one starts early.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Number of requests that the server has not reached.
    pub fn ahead_count(&self) -> usize {
        self.ahead.len()
    }

    /// Number of requests that are started and not answered to the caller.
    pub fn open_count(&self) -> usize {
        let started = self.ahead.iter().filter(|request| request.is_started).count();
        started + usize::from(self.current.is_some())
    }
}
