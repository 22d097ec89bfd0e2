//! Body of a caller's request, which can be sent again to another target after one has shed the request.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use coordination::buffer_budget::BufferBudget;
use http_body::Body;
use http_body::SizeHint;
use tokio::sync::Notify;

use crate::callers::BodyFault;
use crate::callers::CallerBody;
use crate::callers::SendingLease;
use crate::callers::WholeUpload;
use crate::callers::upload_state::BufferRule;
use crate::callers::upload_state::UploadProgress;
use crate::callers::upload_state::UploadState;

/// Body of a caller's request. Only the [`WholeUpload`] taken last, or the [`UploadBody`](crate::callers::UploadBody) made
/// from it, reads from the caller.
pub struct ReplayableUpload {
    state: Mutex<UploadState>,
    size: SizeHint,
    is_empty: bool,
    max_bytes: u64,
    max_pause: Duration,
    finished: Notify,
    is_leased: AtomicBool,
}

impl ReplayableUpload {
    /// Wraps a body of at most `max_bytes` bytes whose sender may pause for at most `max_pause`. Its start is buffered within
    /// `budget`, so that it can be sent again.
    pub fn new(
        source: CallerBody,
        budget: &Arc<BufferBudget>,
        max_bytes: u64,
        max_pause: Duration,
    ) -> Arc<Self> {
        let size = source.size_hint();
        let is_empty = source.is_end_stream();
        Arc::new(Self {
            state: Mutex::new(UploadState::new(source, budget.share())),
            size,
            is_empty,
            max_bytes,
            max_pause,
            finished: Notify::new(),
            is_leased: AtomicBool::new(false),
        })
    }

    /// Takes the body for one connection, from its start. What was taken before reads no more and ends with
    /// `BodyFault::Superseded`, so that the body stays whole until it is sent.
    ///
    /// `None` if the start is no longer buffered, or the body ended early.
    pub fn take_whole(self: &Arc<Self>) -> Option<WholeUpload> {
        let reader = self.lock().take_whole()?;
        Some(WholeUpload::new(Arc::clone(self), reader))
    }

    /// Lets the connection that reads the body go on while its answer is passed on.
    pub fn lease(self: &Arc<Self>) -> SendingLease {
        self.is_leased.store(true, Ordering::Relaxed);
        SendingLease::new(Arc::clone(self))
    }

    pub(super) fn end_lease(&self) {
        self.is_leased.store(false, Ordering::Relaxed);
    }

    /// Gives up the buffered start: the body is not sent again, for example because an answer is passed on. A connection that
    /// still sends the start goes on.
    pub fn release_start(&self) {
        self.lock().release_start();
    }

    /// Reads what the caller still sends and drops it, for at most `timeout`. A connection that has yet to send a body that
    /// was received to its end goes on, and so does one with a lease; otherwise no connection reads the body any more.
    pub async fn discard_rest(&self, timeout: Duration) {
        if self.is_leased.load(Ordering::Relaxed) {
            return;
        }
        let Some(reader) = self.lock().take_unfinished() else { return };
        let rest = std::future::poll_fn(|context| {
            loop {
                match std::task::ready!(self.poll_source(reader, context, BufferRule::Never)) {
                    Some(Ok(_)) => {}
                    Some(Err(_)) | None => return Poll::Ready(()),
                }
            }
        });
        let _ = tokio::time::timeout(timeout, rest).await;
    }

    /// Whether the request has no body.
    pub fn is_empty(&self) -> bool {
        self.is_empty
    }

    /// Digest by which the body is recognized if it is sent again; `None` until enough of it was read.
    pub fn digest(&self) -> Option<u64> {
        self.lock().digest()
    }

    /// Time at which the end of the body was read; `None` if it was not read yet.
    pub fn finished_at(&self) -> Option<Instant> {
        self.lock().finished_at()
    }

    /// Waits until the end of the body is read; for a single waiter. Never returns if the end was already read before
    /// the call.
    pub async fn wait_until_finished(&self) {
        match self.finished_at() {
            Some(_) => std::future::pending().await,
            None => self.finished.notified().await,
        }
    }

    /// Time at which a part of the body was last read, or at which the body was last taken for a connection.
    pub fn last_progress_at(&self) -> Instant {
        self.lock().last_progress_at()
    }

    /// Number of bytes received from the caller so far.
    pub fn received_bytes(&self) -> u64 {
        self.progress().received_bytes
    }

    /// State of the body, for logs.
    pub fn progress(&self) -> UploadProgress {
        self.lock().progress()
    }

    /// Reason why the body ended early; `None` if it did not.
    pub fn fault(&self) -> Option<BodyFault> {
        self.lock().fault()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, UploadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Length that the caller announced, if it announced one.
    pub(super) fn exact_bytes(&self) -> Option<u64> {
        self.size.exact()
    }

    pub(super) fn max_pause(&self) -> Duration {
        self.max_pause
    }

    /// Reads the next part from the caller, to be sent.
    pub(super) fn poll_sent(
        &self,
        reader: u32,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyFault>>> {
        self.poll_source(reader, context, BufferRule::WithinBudget)
    }

    /// Reads the next part from the caller and buffers it, whatever its size.
    pub(super) fn poll_buffered(
        &self,
        reader: u32,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyFault>>> {
        self.poll_source(reader, context, BufferRule::Always)
    }

    fn poll_source(
        &self,
        reader: u32,
        context: &mut Context<'_>,
        rule: BufferRule,
    ) -> Poll<Option<Result<Bytes, BodyFault>>> {
        let mut state = self.lock();
        let was_finished = state.finished_at().is_some();
        let polled = state.poll_source(reader, context, self.max_bytes, rule);
        if !was_finished && state.finished_at().is_some() {
            self.finished.notify_one();
        }
        polled
    }
}
