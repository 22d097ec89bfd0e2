//! Buffers the bodies of targets' answers until they are complete, so that a truncated answer can still be retried.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use coordination::admission_bounds::ByteUse;
use coordination::admission_budget::AdmissionBudget;
use coordination::answer_budget::AnswerBudget;
use coordination::answer_budget::AnswerShare;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::callers::AnswerBody;
use crate::entry::read_ahead::PART_BYTES;
use crate::entry::streamed_body::StreamStart;
use crate::resources::reserve_bytes;

/// Largest answer that is buffered, in bytes; a longer one is streamed to the caller.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// A body that was read up to the buffer limit.
pub enum BufferedBody {
    /// The complete body, within the buffer limit.
    Complete(HeldBody),
    /// The buffered start of a longer body, or of one for which the host has no room, and the stream of the rest.
    Streamed(StreamStart),
}

/// A complete body, which takes its part of the budget until it is passed on.
pub struct HeldBody {
    bytes: Bytes,
    share: AnswerShare,
}

/// Reads a body until it ends, or exceeds the buffer limit, the budget of answers or the budget of the process. What is read draws
/// on both until it is passed on.
///
/// # Errors
///
/// Fails if the connection ends before the body is complete.
pub async fn buffer_body(
    mut body: Incoming,
    answers: &Arc<AnswerBudget>,
    process: &Arc<AdmissionBudget>,
) -> Result<BufferedBody, hyper::Error> {
    let size = body.size_hint();
    let mut buffered = BytesMut::new();
    let (mut share, mut reservation) = (answers.share(), process.reserve());
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        buffered.extend_from_slice(&data);
        let has_room = share.grow(data.len()) && reservation.grow(data.len(), ByteUse::Optional);
        if !has_room || buffered.len() > MAX_BUFFERED_BYTES {
            let start = reserve_bytes(buffered.freeze(), reservation);
            return Ok(BufferedBody::Streamed(StreamStart { start, rest: body, size, share }));
        }
    }
    let bytes = reserve_bytes(buffered.freeze(), reservation);
    Ok(BufferedBody::Complete(HeldBody { bytes, share }))
}

impl HeldBody {
    /// Body for the caller.
    pub fn into_answer(self) -> AnswerBody {
        self.map_err(|never: Infallible| match never {}).boxed_unsync()
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let bytes = self.bytes.len().min(PART_BYTES);
        if bytes == 0 {
            return Poll::Ready(None);
        }
        self.share.shrink(bytes);
        Poll::Ready(Some(Ok(Frame::data(self.bytes.split_to(bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
