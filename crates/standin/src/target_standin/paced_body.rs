//! Answer body that is sent piece by piece, with pauses.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;

use crate::http_server::ServerBody;
use crate::target_standin::AnswerContent;
use crate::target_standin::slot_pool::SlotGuard;

const PIECE_BYTES: u64 = 16 * 1024;

struct PacedState {
    content: AnswerContent,
    sent: u64,
    length: u64,
    pause: Duration,
    slot: SlotGuard,
}

/// Creates a body of `length` bytes that pauses before each piece and occupies the slot to its end.
pub fn paced_body(
    content: AnswerContent,
    length: u64,
    pause: Duration,
    mut slot: SlotGuard,
) -> ServerBody {
    if length == 0 {
        slot.mark_answered();
    }
    let state = PacedState { content, sent: 0, length, pause, slot };
    let pieces = stream::unfold(state, next_piece).boxed();
    StreamBody::new(pieces).boxed_unsync()
}

async fn next_piece(mut state: PacedState) -> Option<(io::Result<Frame<Bytes>>, PacedState)> {
    let length = (state.length - state.sent).min(PIECE_BYTES);
    if length == 0 {
        return None;
    }
    if !state.pause.is_zero() {
        tokio::time::sleep(state.pause).await;
    }
    let bytes = state.content.bytes(state.sent, length as usize);
    state.sent += length;
    if state.sent == state.length {
        state.slot.mark_answered();
    }
    Some((Ok(Frame::data(bytes)), state))
}
