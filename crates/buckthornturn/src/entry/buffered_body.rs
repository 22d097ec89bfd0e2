//! Buffers the bodies of targets' answers until they are complete, so that a truncated answer can still be retried.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::callers::BodyFault;
use crate::callers::TargetConnection;

/// Largest answer that is buffered, in bytes; a longer one is streamed to the caller.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// A body that was read up to the buffer limit.
pub enum BufferedBody {
    /// The complete body, within the buffer limit.
    Complete(Bytes),
    /// The buffered start of a longer body, and the stream of the rest.
    Streamed(StreamedBody),
}

/// A body whose rest is still being received. Dropping it closes the target's connection.
pub struct StreamedBody {
    start: Option<Bytes>,
    rest: Incoming,
    size: SizeHint,
    connection: Option<TargetConnection>,
}

/// Reads a body until it ends or exceeds the buffer limit.
///
/// # Errors
///
/// Fails if the connection ends before the body is complete.
pub async fn buffer_body(mut body: Incoming) -> Result<BufferedBody, hyper::Error> {
    let size = body.size_hint();
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffered.extend_from_slice(&data);
        }
        if buffered.len() > MAX_BUFFERED_BYTES {
            let start = Some(buffered.freeze());
            return Ok(BufferedBody::Streamed(StreamedBody {
                start,
                rest: body,
                size,
                connection: None,
            }));
        }
    }
    Ok(BufferedBody::Complete(buffered.freeze()))
}

impl StreamedBody {
    /// Hands over the target's connection, which is kept open until the body ends.
    pub fn with_connection(self, connection: TargetConnection) -> Self {
        Self { connection: Some(connection), ..self }
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
        match std::task::ready!(Pin::new(&mut self.rest).poll_frame(context)) {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(error)) => {
                Poll::Ready(Some(Err(BodyFault::Truncated { reason: error.to_string().into() })))
            }
            None => {
                self.connection = None;
                Poll::Ready(None)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}
