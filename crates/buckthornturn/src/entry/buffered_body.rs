//! Buffers the bodies of targets' answers until they are complete, so that a truncated answer can still be retried.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use coordination::admission_bounds::ByteUse;
use coordination::admission_budget::AdmissionBudget;
use coordination::fleet::AttemptEnd;
use coordination::fleet::TargetLoad;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Sleep;

use crate::callers::BodyFault;
use crate::callers::Busy;
use crate::callers::SendingLease;
use crate::callers::TargetConnection;
use crate::entry::AttemptGuard;
use crate::resources::reserve_bytes;

/// Largest answer that is buffered, in bytes; a longer one is streamed to the caller.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// A body that was read up to the buffer limit.
pub enum BufferedBody {
    /// The complete body, within the buffer limit.
    Complete(Bytes),
    /// The buffered start of a longer body, and the stream of the rest.
    Streamed(Box<StreamedBody>),
}

/// A body whose rest is still being received. Dropping it closes the target's connection.
pub struct StreamedBody {
    start: Option<Bytes>,
    rest: Incoming,
    size: SizeHint,
    sending: Option<(TargetConnection<Busy>, SendingLease)>,
    attempt: Option<StreamedAttempt>,
    timer: Option<Pin<Box<Sleep>>>,
}

/// Attempt at a target whose answer is still being passed on.
pub struct StreamedAttempt {
    /// Guard of the attempt, which ends with the body.
    pub guard: AttemptGuard,
    /// Status of the answer.
    pub status: StatusCode,
    /// Load that the target stated in the answer.
    pub load: Option<TargetLoad>,
}

/// Reads a body until it ends or exceeds the buffer limit, or the budget of the process has no room. What is read draws on the
/// budget until it is passed on.
///
/// # Errors
///
/// Fails if the connection ends before the body is complete.
pub async fn buffer_body(
    mut body: Incoming,
    budget: &Arc<AdmissionBudget>,
) -> Result<BufferedBody, hyper::Error> {
    let size = body.size_hint();
    let mut buffered = BytesMut::new();
    let mut reservation = budget.reserve();
    let mut has_room = true;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            has_room = reservation.grow(data.len(), ByteUse::Optional);
            buffered.extend_from_slice(&data);
        }
        if buffered.len() > MAX_BUFFERED_BYTES || !has_room {
            let start = Some(reserve_bytes(buffered.freeze(), reservation));
            let (sending, attempt, timer) = (None, None, None);
            let body = StreamedBody { start, rest: body, size, sending, attempt, timer };
            return Ok(BufferedBody::Streamed(Box::new(body)));
        }
    }
    Ok(BufferedBody::Complete(reserve_bytes(buffered.freeze(), reservation)))
}

impl StreamedBody {
    /// Hands over the target's connection, which is kept open until the body ends, and its right to send the request's body.
    pub fn with_connection(self, connection: TargetConnection<Busy>, lease: SendingLease) -> Self {
        Self { sending: Some((connection, lease)), ..self }
    }

    /// Hands over the attempt, which ends with the body, at the latest when the caller no longer waits: a target may send
    /// bytes without end.
    pub fn with_attempt(self, attempt: StreamedAttempt, end: Instant) -> Self {
        let timer = Box::pin(tokio::time::sleep_until(end.into()));
        Self { attempt: Some(attempt), timer: Some(timer), ..self }
    }

    fn finish_complete(&mut self) {
        self.sending = None;
        if let Some(mut attempt) = self.attempt.take() {
            attempt.guard.finish_answered(attempt.status, attempt.load);
        }
    }

    fn finish_failed(&mut self) {
        self.sending = None;
        if let Some(mut attempt) = self.attempt.take() {
            attempt.guard.finish(AttemptEnd::Failed, attempt.load);
        }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        if let Some(start) = self.start.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        let is_over = |timer: &mut Pin<Box<Sleep>>| timer.as_mut().poll(context).is_ready();
        if self.timer.as_mut().is_some_and(is_over) {
            self.finish_failed();
            return Poll::Ready(Some(Err(BodyFault::Overdue)));
        }
        match std::task::ready!(Pin::new(&mut self.rest).poll_frame(context)) {
            Some(Ok(frame)) => {
                // The server does not poll a body of known length once it has all of it.
                if self.rest.is_end_stream() {
                    self.finish_complete();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.finish_failed();
                Poll::Ready(Some(Err(BodyFault::Truncated { reason: error.to_string().into() })))
            }
            None => {
                self.finish_complete();
                Poll::Ready(None)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}
