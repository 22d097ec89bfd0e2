//! Stream that tells a meter what its peer sends and takes.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use coordination::peer_wait::Direction;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::resources::ConnectionMeter;

/// Stream of a connection with its meter; without one nothing is recorded.
pub struct MeteredStream<S> {
    stream: S,
    meter: Option<ConnectionMeter>,
}

impl<S> MeteredStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S, meter: Option<ConnectionMeter>) -> Self {
        Self { stream, meter }
    }

    fn record_write(&self, poll: &Poll<io::Result<usize>>) {
        match (&self.meter, poll) {
            (Some(meter), Poll::Pending) => meter.record_pending(Direction::Write),
            (Some(meter), Poll::Ready(Ok(bytes))) => meter.record_bytes(Direction::Write, *bytes),
            _ => {}
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        match (&self.meter, &poll) {
            (Some(meter), Poll::Pending) => meter.record_pending(Direction::Read),
            (Some(meter), Poll::Ready(Ok(()))) => {
                meter.record_bytes(Direction::Read, buffer.filled().len() - filled);
            }
            _ => {}
        }
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.record_write(&poll);
        poll
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_write(&poll);
        poll
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
