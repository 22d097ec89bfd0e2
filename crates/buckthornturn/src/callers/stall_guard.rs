//! Ends a connection whose peer takes no bytes for too long.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;
use tokio::time::Sleep;

/// Stream whose writes fail with `TimedOut` once the peer has taken no bytes for `max_stall`.
pub struct StallGuard<S> {
    stream: S,
    max_stall: Duration,
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> StallGuard<S> {
    /// Wraps a stream; reads and flushes are not limited.
    pub fn new(stream: S, max_stall: Duration) -> Self {
        Self { stream, max_stall, stall_timer: None }
    }

    fn fail_if_stalled<T>(
        &mut self,
        context: &mut Context<'_>,
        poll: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.stall_timer = None;
            return poll;
        }
        let max_stall = self.max_stall;
        let new_timer = || Box::pin(tokio::time::sleep_until(Instant::now() + max_stall));
        let stall_timer = self.stall_timer.get_or_insert_with(new_timer);
        match stall_timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.fail_if_stalled(context, poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.fail_if_stalled(context, poll)
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
