//! Reads input of a connection before the HTTP server asks for it, so that the end of the connection is noticed behind
//! unread requests.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::BytesMut;
use coordination::admission_bounds::ByteUse;
use coordination::admission_budget::AdmissionBudget;
use coordination::byte_reservation::ByteReservation;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio_util::io::poll_read_buf;

use crate::callers::HeadScanner;

/// Room that is made in the buffer before each read.
const READ_BYTES: usize = 4 << 10;
/// What a connection takes of the budget of the process while it reads ahead: its input, the scanner's copy, and the state of the
/// requests that are started early.
const READ_AHEAD_CHARGE_BYTES: usize = 128 << 10;

/// Stream with a bounded buffer of input that [`fill`](Self::fill) reads ahead.
pub struct ReadAhead<S> {
    stream: S,
    buffer: BytesMut,
    max_bytes: usize,
    scanner: HeadScanner,
    has_ended: bool,
    fault: Option<io::Error>,
    budget: Option<Arc<AdmissionBudget>>,
    /// Taken while the connection reads ahead.
    reservation: Option<ByteReservation>,
}

impl<S> ReadAhead<S> {
    /// Wraps a stream; up to `max_bytes` are read ahead. All input is also passed to the scanner, as it is read.
    pub fn new(stream: S, max_bytes: usize, scanner: HeadScanner) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            max_bytes,
            scanner,
            has_ended: false,
            fault: None,
            budget: None,
            reservation: None,
        }
    }

    /// Sets the budget that the buffers draw on. Without room in it the connection reads nothing ahead, and its requests run one
    /// after another from then on.
    pub fn set_budget(&mut self, budget: Arc<AdmissionBudget>) {
        self.budget = Some(budget);
    }

    /// Returns what was taken of the budget, if nothing is read ahead. To be called when no request is ahead.
    pub fn return_reservation(&mut self) {
        if self.buffer.is_empty() && self.scanner.is_idle() {
            self.reservation = None;
        }
    }

    /// Whether the budget has room for reading ahead and for requests that are started early, which is taken if it has.
    pub fn has_room(&mut self) -> bool {
        let (Some(budget), None) = (&self.budget, &self.reservation) else { return true };
        let mut reservation = budget.reserve();
        let is_taken = reservation.grow(READ_AHEAD_CHARGE_BYTES, ByteUse::Optional);
        match is_taken {
            true => self.reservation = Some(reservation),
            false => self.scanner.end(),
        }
        is_taken
    }

    /// Frees the buffer once the HTTP server has read it.
    fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Scanner of the input.
    pub fn scanner(&mut self) -> &mut HeadScanner {
        &mut self.scanner
    }

    /// Whether the peer has ended its side, or the connection has failed.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }
}

impl<S: AsyncRead + Unpin> ReadAhead<S> {
    /// Reads what has arrived, up to the bound. Returns whether there was any. The waker of `context` is woken when more
    /// arrives, unless the buffer is full.
    pub fn fill(&mut self, context: &mut Context<'_>) -> bool {
        let mut has_read = false;
        while !self.has_ended && self.buffer.len() < self.max_bytes {
            // The first part is covered by what each connection takes of the budget.
            if !self.buffer.is_empty() && !self.has_room() {
                break;
            }
            self.buffer.reserve(READ_BYTES);
            match poll_read_buf(Pin::new(&mut self.stream), context, &mut self.buffer) {
                Poll::Ready(Ok(0)) => self.has_ended = true,
                Poll::Ready(Ok(bytes)) => {
                    has_read = true;
                    self.scanner.add(&self.buffer[self.buffer.len() - bytes..]);
                }
                Poll::Ready(Err(error)) => (self.has_ended, self.fault) = (true, Some(error)),
                Poll::Pending => break,
            }
        }
        self.release_buffer();
        has_read
    }

    fn poll_stream(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.scanner.add(&buffer.filled()[filled..]);
        self.has_ended = match &poll {
            Poll::Ready(Ok(())) => buffer.filled().len() == filled && buffer.remaining() > 0,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        poll
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReadAhead<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.buffer.is_empty() {
            let bytes = self.buffer.len().min(buffer.remaining());
            buffer.put_slice(&self.buffer[..bytes]);
            self.buffer.advance(bytes);
            self.release_buffer();
            return Poll::Ready(Ok(()));
        }
        match self.fault.take() {
            Some(error) => Poll::Ready(Err(error)),
            None if self.has_ended => Poll::Ready(Ok(())),
            None => self.poll_stream(context, buffer),
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ReadAhead<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
