//! Bodies of targets' answers that are held until they are whole, so that a cut answer can still be replaced.

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

/// Most bytes of an answer that are held; a longer one is passed on while it comes.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// A body, as far as it was read.
pub enum BufferedBody {
    /// All of it.
    Complete(Bytes),
    /// Its start, and the rest that still comes.
    Streamed(StreamedBody),
}

/// A body whose rest still comes. Dropping it closes the target's connection.
pub struct StreamedBody {
    start: Option<Bytes>,
    rest: Incoming,
    size: SizeHint,
    connection: Option<TargetConnection>,
}

/// Reads a body up to the bound.
///
/// # Errors
///
/// Fails if the body is cut.
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
    /// Keeps the connection open until the body ends.
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
                Poll::Ready(Some(Err(BodyFault::Cut { reason: error.to_string().into() })))
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
