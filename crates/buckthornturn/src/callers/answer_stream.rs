//! Passes the body of a target's answer on to the caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use tokio::runtime::Handle;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::callers::ActiveGuard;
use crate::callers::BodyFault;
use crate::callers::Busy;
use crate::callers::Idle;
use crate::callers::PoolKey;
use crate::callers::ReplayableUpload;
use crate::callers::TargetConnection;
use crate::callers::TargetPool;
use crate::callers::request_stage::Answered;
use crate::callers::request_stage::RequestStage;

/// Longest time between two frames of a target's answer, after which the answer is aborted.
const MAX_TARGET_PAUSE: Duration = Duration::from_secs(120);

/// Resources that are held while the body of an answer is passed on.
pub struct AnswerResources {
    /// Stage with the admission slot; `None` when another host admitted the request and holds the slot.
    pub stage: Option<RequestStage<Answered>>,
    /// Connection that the body is read from.
    pub connection: TargetConnection<Busy>,
    /// Pool and key to return the connection to after a complete answer; `None` closes the connection.
    pub return_to: Option<(TargetPool, PoolKey)>,
    /// Registration of the request, whose token aborts the answer when the caller's permission is withdrawn.
    pub active: Arc<ActiveGuard>,
    /// Body of the request.
    pub upload: Arc<ReplayableUpload>,
}

/// Body of an answer. It holds the slot and the connection until the answer is complete. Dropping it earlier closes
/// the connection, which tells the target to stop. If the answer is complete before the request, the rest is still sent.
pub struct AnswerStream {
    source: Incoming,
    resources: Option<AnswerResources>,
    revocation: Pin<Box<WaitForCancellationFutureOwned>>,
    idle_timer: Pin<Box<Sleep>>,
}

impl AnswerResources {
    /// Sends the rest of a body to a target that has answered before its end, until the permission is withdrawn.
    async fn finish_request(self) {
        let revocation = self.active.token().clone();
        tokio::select! {
            connection = self.connection.finish_request() => {
                return_connection(self.return_to, connection);
            }
            () = revocation.cancelled() => {}
        }
    }
}

fn return_connection(
    return_to: Option<(TargetPool, PoolKey)>,
    connection: Option<TargetConnection<Idle>>,
) {
    if let (Some((pool, key)), Some(connection)) = (return_to, connection) {
        pool.return_connection(key, connection, None);
    }
}

impl AnswerStream {
    /// Wraps the body `source`; `resources` are released when it ends.
    pub fn new(source: Incoming, resources: AnswerResources) -> Self {
        let revocation = Box::pin(resources.active.token().clone().cancelled_owned());
        let idle_timer = Box::pin(tokio::time::sleep(MAX_TARGET_PAUSE));
        Self { source, resources: Some(resources), revocation, idle_timer }
    }

    fn finish_complete(&mut self) {
        let Some(mut resources) = self.resources.take() else { return };
        if let Some(mut stage) = resources.stage.take() {
            stage.record_transfer(resources.upload.received_bytes());
            stage.complete();
        }
        match Handle::try_current() {
            Ok(runtime) if !resources.connection.has_sent_request() => {
                runtime.spawn(resources.finish_request());
            }
            _ => return_connection(resources.return_to, resources.connection.release()),
        }
    }

    fn finish_truncated(
        &mut self,
        fault: BodyFault,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        if let Some(stage) = self.resources.take().and_then(|resources| resources.stage) {
            stage.fail();
        }
        Poll::Ready(Some(Err(fault)))
    }
}

impl Body for AnswerStream {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let body = self.get_mut();
        if body.resources.is_some() && body.revocation.as_mut().poll(context).is_ready() {
            return body.finish_truncated(BodyFault::Revoked);
        }
        match Pin::new(&mut body.source).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                if let Some(stage) =
                    body.resources.as_mut().and_then(|resources| resources.stage.as_mut())
                {
                    stage.record_transfer(bytes);
                }
                body.idle_timer.as_mut().reset(Instant::now() + MAX_TARGET_PAUSE);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                body.finish_truncated(BodyFault::Truncated { reason: error.to_string().into() })
            }
            Poll::Ready(None) => {
                body.finish_complete();
                Poll::Ready(None)
            }
            Poll::Pending => {
                std::task::ready!(body.idle_timer.as_mut().poll(context));
                body.finish_truncated(BodyFault::Stalled)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.source.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.source.size_hint()
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        if self.source.is_end_stream() {
            self.finish_complete();
        }
    }
}
