//! Parts of an answer that were read ahead of its caller.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use coordination::answer_budget::AnswerShare;
use tokio::sync::Notify;

use crate::callers::BodyFault;

/// Largest part that is handed to the server at once, about as much as that buffers. The rest counts as held.
pub(super) const PART_BYTES: usize = 16 << 10;

/// Parts of an answer between the connection to its target and the one to its caller. One part is always held, further ones within the
/// host's budget of answer bytes.
pub(super) struct ReadAhead {
    state: Mutex<ReadState>,
    room: Notify,
}

struct ReadState {
    parts: VecDeque<HeldPart>,
    share: AnswerShare,
    end: Option<Result<(), BodyFault>>,
    reader: Option<Waker>,
}

struct HeldPart {
    data: Bytes,
    /// Bytes that the part takes of the budget.
    held_bytes: usize,
}

impl ReadAhead {
    /// Takes the start of an answer, which `share` holds as far as the budget had room.
    pub(super) fn new(start: Bytes, share: AnswerShare) -> Self {
        let held_bytes = share.held_bytes();
        let parts = VecDeque::from([HeldPart { data: start, held_bytes }]);
        let state = ReadState { parts, share, end: None, reader: None };
        Self { state: Mutex::new(state), room: Notify::new() }
    }

    /// Adds a part, once there is room for it.
    pub(super) async fn push(&self, data: Bytes) {
        while !self.try_push(&data) {
            self.room.notified().await;
        }
    }

    fn try_push(&self, data: &Bytes) -> bool {
        let mut state = self.lock();
        let is_held = state.share.grow(data.len());
        if !is_held && !state.parts.is_empty() {
            return false;
        }
        let held_bytes = if is_held { data.len() } else { 0 };
        state.parts.push_back(HeldPart { data: data.clone(), held_bytes });
        state.wake_reader();
        true
    }

    /// Ends the answer, whole or not. The first end counts.
    pub(super) fn end(&self, end: Result<(), BodyFault>) {
        let mut state = self.lock();
        state.end.get_or_insert(end);
        state.wake_reader();
    }

    /// Takes the next part; `None` after the last one of a whole answer.
    pub(super) fn poll_part(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyFault>>> {
        let mut state = self.lock();
        if let Some((data, held_bytes)) = state.take_data() {
            state.share.shrink(held_bytes);
            self.room.notify_one();
            return Poll::Ready(Some(Ok(data)));
        }
        match &state.end {
            Some(Ok(())) => Poll::Ready(None),
            Some(Err(fault)) => Poll::Ready(Some(Err(fault.clone()))),
            None => {
                state.reader = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, ReadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ReadState {
    /// Takes the next bytes, and tells how many of them the budget holds.
    fn take_data(&mut self) -> Option<(Bytes, usize)> {
        let part = self.parts.front_mut()?;
        let data = part.data.split_to(part.data.len().min(PART_BYTES));
        let held_bytes = part.held_bytes.min(data.len());
        part.held_bytes -= held_bytes;
        if part.data.is_empty() {
            self.parts.pop_front();
        }
        Some((data, held_bytes))
    }

    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

#[cfg(test)]
#[path = "read_ahead_tests.rs"]
mod tests;
