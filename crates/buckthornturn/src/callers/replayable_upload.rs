//! Body of a caller's request, which can be sent again to another target after one has shed the request.

use std::pin::Pin;
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
use coordination::fleet::MAX_DIGESTED_BYTES;
use coordination::fleet::digest_body;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use tokio::sync::Notify;
use tokio::time::Sleep;

use crate::callers::BodyFault;

/// Largest body that is buffered so that it can be sent again, in bytes.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Body of a caller's request. Only the `UploadBody` returned last may read it.
pub struct ReplayableUpload {
    state: Mutex<UploadState>,
    size: SizeHint,
    is_empty: bool,
    max_bytes: u64,
    max_pause: Duration,
    finished: Notify,
}

struct UploadState {
    source: Incoming,
    generation: u32,
    buffered_parts: Vec<Bytes>,
    buffered_bytes: usize,
    is_buffer_complete: bool,
    /// Digest of a body that is no longer buffered.
    digest: Option<u64>,
    received_bytes: u64,
    expected_bytes: Option<u64>,
    finished_at: Option<Instant>,
    last_progress_at: Instant,
    fault: Option<BodyFault>,
}

/// What is known of a caller's body at one moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UploadProgress {
    /// Number of bytes received from the caller.
    pub received_bytes: u64,
    /// Length that the caller announced; `None` if it announced none.
    pub expected_bytes: Option<u64>,
    /// Whether the end of the body was received.
    pub is_complete: bool,
    /// Whether all that was received can be sent once more.
    pub has_start: bool,
}

/// Request body as one connection reads it: first the buffered parts, then the rest from the caller.
pub struct UploadBody {
    upload: Arc<ReplayableUpload>,
    generation: u32,
    replayed_parts: usize,
    sent_bytes: u64,
    transfer: Arc<TransferRecord>,
    idle_timer: Pin<Box<Sleep>>,
}

/// Whether a connection has taken the whole body of its request.
#[derive(Debug, Default)]
pub struct TransferRecord {
    is_complete: AtomicBool,
}

impl TransferRecord {
    /// Whether the connection has taken the whole body.
    pub fn is_complete(&self) -> bool {
        self.is_complete.load(Ordering::Relaxed)
    }
}

impl ReplayableUpload {
    /// Wraps a body of at most `max_bytes` bytes whose sender may pause for at most `max_pause`.
    pub fn new(source: Incoming, max_bytes: u64, max_pause: Duration) -> Arc<Self> {
        let now = Instant::now();
        let size = source.size_hint();
        let is_empty = source.is_end_stream();
        let state = UploadState {
            source,
            generation: 0,
            buffered_parts: Vec::new(),
            buffered_bytes: 0,
            is_buffer_complete: true,
            digest: None,
            received_bytes: 0,
            expected_bytes: size.exact(),
            finished_at: is_empty.then_some(now),
            last_progress_at: now,
            fault: None,
        };
        Arc::new(Self {
            state: Mutex::new(state),
            size,
            is_empty,
            max_bytes,
            max_pause,
            finished: Notify::new(),
        })
    }

    /// Returns the body for the next connection. The one returned before then ends with `BodyFault::Superseded`.
    pub fn next_body(self: &Arc<Self>) -> UploadBody {
        let mut state = self.lock();
        state.generation += 1;
        state.last_progress_at = Instant::now();
        UploadBody {
            upload: Arc::clone(self),
            generation: state.generation,
            replayed_parts: 0,
            sent_bytes: 0,
            transfer: Arc::new(TransferRecord { is_complete: AtomicBool::new(self.is_empty) }),
            idle_timer: Box::pin(tokio::time::sleep(self.max_pause)),
        }
    }

    /// Whether the request has no body.
    pub fn is_empty(&self) -> bool {
        self.is_empty
    }

    /// Whether the whole body can still be sent from its start.
    pub fn is_replayable(&self) -> bool {
        let state = self.lock();
        state.is_buffer_complete && state.fault.is_none()
    }

    /// Digest by which the body is recognized if it is sent again; `None` until enough of it was read.
    pub fn digest(&self) -> Option<u64> {
        self.lock().digest()
    }

    /// Reads the body until its digest is known, and keeps what was read for the next connection. `None` if the body ends
    /// early.
    pub async fn read_digest(&self) -> Option<u64> {
        std::future::poll_fn(|context| {
            let mut state = self.lock();
            loop {
                if let Some(digest) = state.digest() {
                    return Poll::Ready(Some(digest));
                }
                match std::task::ready!(state.poll_source(context, self.max_bytes, usize::MAX)) {
                    Some(Ok(_)) | None => {}
                    Some(Err(fault)) => {
                        state.fault = Some(fault);
                        return Poll::Ready(None);
                    }
                }
            }
        })
        .await
    }

    /// Time at which the end of the body was read; `None` if it was not read yet.
    pub fn finished_at(&self) -> Option<Instant> {
        self.lock().finished_at
    }

    /// Waits until the end of the body is read; for a single waiter. Never returns if the end was already read before
    /// the call.
    pub async fn wait_until_finished(&self) {
        match self.finished_at() {
            Some(_) => std::future::pending().await,
            None => self.finished.notified().await,
        }
    }

    /// Time at which a part of the body was last read, or at which the body was last handed to a connection.
    pub fn last_progress_at(&self) -> Instant {
        self.lock().last_progress_at
    }

    /// Number of bytes received from the caller so far.
    pub fn received_bytes(&self) -> u64 {
        self.lock().received_bytes
    }

    /// State of the body, for logs.
    pub fn progress(&self) -> UploadProgress {
        let state = self.lock();
        UploadProgress {
            received_bytes: state.received_bytes,
            expected_bytes: state.expected_bytes,
            is_complete: state.finished_at.is_some(),
            has_start: state.is_buffer_complete,
        }
    }

    /// Reason why the body ended early; `None` if it did not.
    pub fn fault(&self) -> Option<BodyFault> {
        self.lock().fault.clone()
    }

    fn lock(&self) -> MutexGuard<'_, UploadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl UploadState {
    fn digest(&self) -> Option<u64> {
        let is_known = self.finished_at.is_some() || self.buffered_bytes >= MAX_DIGESTED_BYTES;
        match self.is_buffer_complete {
            true => is_known.then(|| self.digest_buffer()),
            false => self.digest,
        }
    }

    fn digest_buffer(&self) -> u64 {
        digest_body(self.buffered_parts.iter().map(|part| &**part), self.expected_bytes)
    }

    fn record_data(
        &mut self,
        data: &Bytes,
        max_bytes: u64,
        max_buffered_bytes: usize,
    ) -> Result<(), BodyFault> {
        self.received_bytes += data.len() as u64;
        self.last_progress_at = Instant::now();
        if self.received_bytes > max_bytes {
            return Err(BodyFault::TooLarge);
        }
        if self.expected_bytes == Some(self.received_bytes) {
            self.finished_at = Some(self.last_progress_at);
        }
        match self.is_buffer_complete && self.buffered_bytes + data.len() <= max_buffered_bytes {
            true => {
                self.buffered_bytes += data.len();
                self.buffered_parts.push(data.clone());
            }
            false if self.is_buffer_complete => {
                self.buffered_parts.push(data.clone());
                self.digest = Some(self.digest_buffer());
                self.is_buffer_complete = false;
                self.buffered_parts = Vec::new();
            }
            false => {}
        }
        Ok(())
    }

    fn poll_source(
        &mut self,
        context: &mut Context<'_>,
        max_bytes: u64,
        max_buffered_bytes: usize,
    ) -> Poll<Option<Result<Bytes, BodyFault>>> {
        loop {
            let frame = std::task::ready!(Pin::new(&mut self.source).poll_frame(context));
            return Poll::Ready(match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => Some({
                        self.record_data(&data, max_bytes, max_buffered_bytes).map(|()| data)
                    }),
                    Err(_trailers) => continue,
                },
                Some(Err(error)) => {
                    Some(Err(BodyFault::Truncated { reason: error.to_string().into() }))
                }
                None if self.expected_bytes.is_some_and(|bytes| bytes != self.received_bytes) => {
                    Some(Err(BodyFault::Truncated { reason: "end of the stream".into() }))
                }
                None => {
                    self.finished_at = Some(Instant::now());
                    None
                }
            });
        }
    }
}

impl UploadBody {
    /// Record that tells when the connection has taken the whole body.
    pub(super) fn transfer(&self) -> Arc<TransferRecord> {
        Arc::clone(&self.transfer)
    }

    fn record_part(&mut self, state: &UploadState, data: &Bytes) {
        self.sent_bytes += data.len() as u64;
        if self.is_read(state) {
            self.transfer.is_complete.store(true, Ordering::Relaxed);
        }
    }

    fn is_read(&self, state: &UploadState) -> bool {
        let is_replayed =
            !state.is_buffer_complete || self.replayed_parts >= state.buffered_parts.len();
        let is_readable = state.generation == self.generation && state.fault.is_none();
        is_readable && state.finished_at.is_some() && is_replayed
    }
}

impl Body for UploadBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let body = self.get_mut();
        let upload = Arc::clone(&body.upload);
        let mut state = upload.lock();
        match &state.fault {
            _ if state.generation != body.generation => {
                return Poll::Ready(Some(Err(BodyFault::Superseded)));
            }
            Some(fault) => return Poll::Ready(Some(Err(fault.clone()))),
            None => {}
        }
        if let Some(data) = state
            .buffered_parts
            .get(body.replayed_parts)
            .filter(|_| state.is_buffer_complete)
            .cloned()
        {
            body.replayed_parts += 1;
            body.record_part(&state, &data);
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if state.finished_at.is_some() {
            body.transfer.is_complete.store(true, Ordering::Relaxed);
            return Poll::Ready(None);
        }
        let polled = state.poll_source(context, upload.max_bytes, MAX_BUFFERED_BYTES);
        if state.finished_at.is_some() {
            upload.finished.notify_one();
        }
        match polled {
            Poll::Ready(Some(Ok(data))) => {
                body.replayed_parts = state.buffered_parts.len();
                body.record_part(&state, &data);
                body.idle_timer.as_mut().reset(tokio::time::Instant::now() + upload.max_pause);
                Poll::Ready(Some(Ok(Frame::data(data))))
            }
            Poll::Ready(Some(Err(fault))) => {
                state.fault = Some(fault.clone());
                Poll::Ready(Some(Err(fault)))
            }
            Poll::Ready(None) => {
                body.transfer.is_complete.store(true, Ordering::Relaxed);
                Poll::Ready(None)
            }
            Poll::Pending => {
                std::task::ready!(body.idle_timer.as_mut().poll(context));
                state.fault = Some(BodyFault::Stalled);
                Poll::Ready(Some(Err(BodyFault::Stalled)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_read(&self.upload.lock())
    }

    fn size_hint(&self) -> SizeHint {
        match self.upload.size.exact() {
            Some(size) => SizeHint::with_exact(size.saturating_sub(self.sent_bytes)),
            None => SizeHint::default(),
        }
    }
}
