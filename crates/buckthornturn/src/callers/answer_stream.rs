//! The body of a target's answer on its way to the caller.

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
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::callers::ActiveGuard;
use crate::callers::BodyFault;
use crate::callers::PoolKey;
use crate::callers::ReplayableUpload;
use crate::callers::TargetConnection;
use crate::callers::TargetPool;
use crate::callers::request_stage::Answered;
use crate::callers::request_stage::RequestStage;

/// Longest pause of a target within an answer.
const MAX_TARGET_PAUSE: Duration = Duration::from_secs(120);

/// What an answer holds while its body runs.
pub struct AnswerResources {
    /// Its stage, with the slot; absent when another host holds it.
    pub stage: Option<RequestStage<Answered>>,
    /// Its connection.
    pub connection: TargetConnection,
    /// Where the connection goes after a clean end; absent if it is not to be reused.
    pub return_to: Option<(TargetPool, PoolKey)>,
    /// Place in the register of running requests.
    pub active: Arc<ActiveGuard>,
    /// The request's body.
    pub upload: Arc<ReplayableUpload>,
}

/// The body of an answer. The slot and the connection are held until its end; dropping it before closes the
/// connection, so that the target stops.
pub struct AnswerStream {
    source: Incoming,
    resources: Option<AnswerResources>,
    revocation: Pin<Box<WaitForCancellationFutureOwned>>,
    idle_timer: Pin<Box<Sleep>>,
}

impl AnswerStream {
    /// The body of an answer.
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
        match resources.return_to {
            Some((pool, key)) if resources.upload.finished_at().is_some() => {
                pool.return_connection(key, resources.connection, None);
            }
            _ => {}
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
