//! Body that keeps something alive until it is passed on.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;

/// Body that drops its guard once it is passed on or given up.
pub struct GuardedBody<B, G> {
    body: Pin<Box<B>>,
    _guard: G,
}

impl<B, G> GuardedBody<B, G> {
    /// Wraps a body.
    pub fn new(body: B, guard: G) -> Self {
        Self { body: Box::pin(body), _guard: guard }
    }
}

impl<B: Body, G: Unpin> Body for GuardedBody<B, G> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
