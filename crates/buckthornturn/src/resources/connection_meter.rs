//! Tells the budget whether a connection waits for its peer or for this host.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use coordination::admission_bounds::ConnectionRole;
use coordination::connection_reservation::WaitRecord;
use coordination::peer_wait::Direction;
use http::Request;

/// Meter of one connection; clones share it.
#[derive(Clone, Debug)]
pub struct ConnectionMeter {
    wait: WaitRecord,
    /// Whether a request may be cut while it runs. Only requests of callers have effects outside this host.
    may_cut_requests: bool,
    counts: Arc<Mutex<RequestCounts>>,
}

#[derive(Debug, Default)]
struct RequestCounts {
    /// Requests whose answer is not passed on yet.
    running: usize,
    /// Running requests whose body is not read to its end yet.
    receiving: usize,
}

/// Running request of a connection, until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    meter: ConnectionMeter,
    body: BodyMeter,
}

/// Body of a running request. It travels with the request's extensions.
#[derive(Clone, Debug)]
pub struct BodyMeter {
    meter: ConnectionMeter,
    is_open: Arc<AtomicBool>,
}

impl ConnectionMeter {
    pub(super) fn new(wait: WaitRecord, role: ConnectionRole) -> Self {
        let may_cut_requests = role != ConnectionRole::Caller;
        Self { wait, may_cut_requests, counts: Arc::default() }
    }

    /// Records the start of a request, and adds a meter for its body to its extensions.
    pub fn start_request<B: http_body::Body>(&self, request: &mut Request<B>) -> RequestGuard {
        let has_body = !request.body().is_end_stream();
        let body = BodyMeter { meter: self.clone(), is_open: Arc::new(AtomicBool::new(has_body)) };
        request.extensions_mut().insert(body.clone());
        self.update(|counts| {
            counts.running += 1;
            counts.receiving += usize::from(has_body);
        });
        RequestGuard { meter: self.clone(), body }
    }

    pub(super) fn record_bytes(&self, direction: Direction, bytes: usize) {
        self.wait.record_bytes(direction, bytes, Instant::now());
    }

    pub(super) fn record_pending(&self, direction: Direction) {
        self.wait.record_pending(direction, Instant::now());
    }

    fn update(&self, change: impl FnOnce(&mut RequestCounts)) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut counts);
        let expects_input = self.may_cut_requests || counts.running == 0 || counts.receiving > 0;
        self.wait.start_message(expects_input, Instant::now());
    }
}

impl BodyMeter {
    /// Records that no more of the body is expected from the caller.
    pub fn end(&self) {
        if self.is_open.swap(false, Ordering::Relaxed) {
            self.meter.update(|counts| counts.receiving -= 1);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.body.end();
        self.meter.update(|counts| counts.running -= 1);
    }
}
