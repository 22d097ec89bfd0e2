//! What the task of a connection knows of the requests on it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// State of the requests of one connection, shared by its task and the HTTP service.
#[derive(Clone, Default)]
pub struct ConnectionRequests {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    has_begun: bool,
    /// The latest request of an HTTP/1 connection, which has at most one at a time.
    latest: Option<Arc<RequestProgress>>,
}

/// How far a request of an HTTP/1 connection has come.
#[derive(Debug, Default)]
pub struct RequestProgress {
    is_received: AtomicBool,
    is_answered: AtomicBool,
}

/// Marks a request as answered when it is dropped.
pub struct OpenRequest {
    progress: Arc<RequestProgress>,
}

impl ConnectionRequests {
    /// Records that the head of a request arrived.
    pub fn record_begin(&self) {
        self.lock().has_begun = true;
    }

    /// Whether any request has arrived.
    pub fn has_begun(&self) -> bool {
        self.lock().has_begun
    }

    /// Records a request of an HTTP/1 connection, which is open until the returned guard is dropped.
    pub fn open_request(&self) -> OpenRequest {
        let progress = Arc::new(RequestProgress::default());
        self.lock().latest = Some(Arc::clone(&progress));
        OpenRequest { progress }
    }

    /// Whether a request was received whole and has no answer yet. What arrives meanwhile belongs to further requests.
    pub fn is_waiting(&self) -> bool {
        self.lock().latest.as_ref().is_some_and(|progress| progress.is_waiting())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RequestProgress {
    /// Records that the body was read to its end.
    pub fn record_received(&self) {
        self.is_received.store(true, Ordering::Relaxed);
    }

    fn is_waiting(&self) -> bool {
        self.is_received.load(Ordering::Relaxed) && !self.is_answered.load(Ordering::Relaxed)
    }
}

impl OpenRequest {
    /// Progress of the request.
    pub fn progress(&self) -> &Arc<RequestProgress> {
        &self.progress
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.progress.is_answered.store(true, Ordering::Relaxed);
    }
}
