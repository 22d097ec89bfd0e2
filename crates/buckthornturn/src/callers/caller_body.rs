//! Body of a request that this host serves, as it is received.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::Request;
use http::Version;
use http::request::Parts;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;

use crate::callers::BodyFault;
use crate::callers::RequestProgress;
use crate::resources::BodyMeter;

/// Body that ends without an error only if its sender has ended it.
pub struct CallerBody {
    /// `None` for a request without a body that was started before the HTTP server reached it.
    incoming: Option<Incoming>,
    is_http2: bool,
    progress: Option<Arc<RequestProgress>>,
    meter: Option<BodyMeter>,
}

impl CallerBody {
    /// Takes a request apart.
    pub fn split_request(request: Request<Incoming>) -> (Parts, Self) {
        Self::wrap_request(request).into_parts()
    }

    /// Wraps the body of a request.
    pub fn wrap_request(mut request: Request<Incoming>) -> Request<Self> {
        let is_http2 = request.version() == Version::HTTP_2;
        let meter = request.extensions_mut().remove();
        request.map(|incoming| Self { incoming: Some(incoming), is_http2, progress: None, meter })
    }

    /// Body of a request without one.
    pub fn empty() -> Self {
        Self { incoming: None, is_http2: false, progress: None, meter: None }
    }

    /// Sets where the end of the body is recorded.
    pub fn with_progress(self, progress: Arc<RequestProgress>) -> Self {
        if self.is_end_stream() {
            progress.record_received();
        }
        Self { progress: Some(progress), ..self }
    }

    fn poll_incoming(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let truncated = |reason| BodyFault::Truncated { reason };
        let Some(incoming) = &mut self.incoming else { return Poll::Ready(None) };
        Poll::Ready(match std::task::ready!(Pin::new(&mut *incoming).poll_frame(context)) {
            Some(frame) => Some(frame.map_err(|error| truncated(error.to_string().into()))),
            // The HTTP library ends a body whose stream is reset with NO_ERROR as if it were whole.
            None if self.is_http2 && !incoming.is_end_stream() => {
                Some(Err(truncated("the stream was reset".into())))
            }
            None => None,
        })
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let frame = std::task::ready!(self.poll_incoming(context));
        if let Some(progress) =
            self.progress.as_ref().filter(|_| frame.is_none() || self.is_end_stream())
        {
            progress.record_received();
        }
        if self.is_end_stream() || !matches!(frame, Some(Ok(_))) {
            self.meter.iter().for_each(BodyMeter::end);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(Incoming::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.as_ref().map_or_else(|| SizeHint::with_exact(0), Incoming::size_hint)
    }
}
