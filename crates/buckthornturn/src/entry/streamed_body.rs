//! Passes on answers of targets while they are received.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Instant;

use bytes::Bytes;
use coordination::answer_budget::AnswerShare;
use coordination::fleet::AttemptEnd;
use coordination::fleet::TargetLoad;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio_util::task::AbortOnDropHandle;

use crate::callers::BodyFault;
use crate::callers::Busy;
use crate::callers::SendingLease;
use crate::callers::TargetConnection;
use crate::entry::AttemptGuard;
use crate::entry::read_ahead::ReadAhead;

/// The buffered start of a body, and the rest that is still to be received.
pub struct StreamStart {
    pub(super) start: Bytes,
    pub(super) rest: Incoming,
    pub(super) size: SizeHint,
    pub(super) share: AnswerShare,
}

/// Attempt at a target whose answer is still being passed on.
pub struct StreamedAttempt {
    /// Guard of the attempt, which ends when the answer is received.
    pub guard: AttemptGuard,
    /// Status of the answer.
    pub status: StatusCode,
    /// Load that the target stated in the answer.
    pub load: Option<TargetLoad>,
    /// Time at which the caller no longer waits. The attempt ends then at the latest: a target may send bytes without end.
    pub deadline: Instant,
}

/// What receives the rest of an answer: the target's connection, its right to send the request's body, and the attempt.
struct AnswerReceiver {
    rest: Incoming,
    connection: TargetConnection<Busy>,
    lease: SendingLease,
    attempt: Option<StreamedAttempt>,
}

/// A body that is received ahead of its caller within the host's budget. The target is done with the request when it is received,
/// however slowly the caller reads. Dropping it earlier resets the target's connection.
pub struct StreamedBody {
    ahead: Arc<ReadAhead>,
    size: SizeHint,
    _receiver: AbortOnDropHandle<()>,
}

impl StreamStart {
    /// Starts to receive the rest over a connection. Without an attempt it may last for as long as the caller reads.
    pub fn receive(
        self,
        connection: TargetConnection<Busy>,
        lease: SendingLease,
        attempt: Option<StreamedAttempt>,
    ) -> StreamedBody {
        let Self { start, rest, size, share } = self;
        let ahead = Arc::new(ReadAhead::new(start, share));
        let receiver = AnswerReceiver { rest, connection, lease, attempt };
        let task = tokio::spawn(receiver.run(Arc::clone(&ahead)));
        StreamedBody { ahead, size, _receiver: AbortOnDropHandle::new(task) }
    }
}

impl AnswerReceiver {
    async fn run(mut self, ahead: Arc<ReadAhead>) {
        let deadline = self.attempt.as_ref().map(|attempt| attempt.deadline);
        let received = receive_parts(&mut self.rest, &ahead);
        let end = match deadline {
            Some(deadline) => tokio::time::timeout_at(deadline.into(), received)
                .await
                .unwrap_or(Err(BodyFault::Overdue)),
            None => received.await,
        };
        let Self { connection, lease, attempt, .. } = self;
        if end.is_ok() {
            drop(connection.release());
        }
        drop(lease);
        if let Some(mut attempt) = attempt {
            match &end {
                Ok(()) => attempt.guard.finish_answered(attempt.status, attempt.load),
                Err(_) => attempt.guard.finish(AttemptEnd::Failed, attempt.load),
            }
        }
        ahead.end(end);
    }
}

async fn receive_parts(rest: &mut Incoming, ahead: &ReadAhead) -> Result<(), BodyFault> {
    while let Some(frame) = rest.frame().await {
        let frame =
            frame.map_err(|error| BodyFault::Truncated { reason: error.to_string().into() })?;
        if let Ok(data) = frame.into_data() {
            ahead.push(data).await;
        }
    }
    Ok(())
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        self.ahead.poll_part(context).map(|part| part.map(|part| part.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}
