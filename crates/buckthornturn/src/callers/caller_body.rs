//! Body of a request that this host serves, as it is received.

use std::pin::Pin;
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
use crate::resources::BodyMeter;

/// Body that ends without an error only if its sender has ended it.
pub struct CallerBody {
    incoming: Incoming,
    is_http2: bool,
    meter: Option<BodyMeter>,
}

impl CallerBody {
    /// Takes a request apart.
    pub fn split_request(request: Request<Incoming>) -> (Parts, Self) {
        let (mut head, incoming) = request.into_parts();
        let meter = head.extensions.remove();
        let is_http2 = head.version == Version::HTTP_2;
        (head, Self { incoming, is_http2, meter })
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let truncated = |reason| BodyFault::Truncated { reason };
        let frame = std::task::ready!(Pin::new(&mut self.incoming).poll_frame(context));
        if self.incoming.is_end_stream() || !matches!(frame, Some(Ok(_))) {
            self.meter.iter().for_each(BodyMeter::end);
        }
        Poll::Ready(match frame {
            Some(frame) => Some(frame.map_err(|error| truncated(error.to_string().into()))),
            // The HTTP library ends a body whose stream is reset with NO_ERROR as if it were whole.
            None if self.is_http2 && !self.incoming.is_end_stream() => {
                Some(Err(truncated("the stream was reset".into())))
            }
            None => None,
        })
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
