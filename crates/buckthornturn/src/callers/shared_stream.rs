//! Stream that stays available after the HTTP server has dropped its handle, so that the connection can be closed without
//! a reset.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;

/// Longest time for which input is discarded after the write side was shut down.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of bytes of input that are discarded.
const MAX_LINGER_BYTES: usize = 256 << 10;
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Handle of a stream; clones share it. All handles are to be used by one task, as a stream keeps one waker.
pub struct SharedStream<S> {
    stream: Arc<Mutex<S>>,
}

impl<S> SharedStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        Self { stream: Arc::new(Mutex::new(stream)) }
    }

    /// Borrows the stream.
    pub fn lock(&self) -> MutexGuard<'_, S> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S> Clone for SharedStream<S> {
    fn clone(&self) -> Self {
        Self { stream: Arc::clone(&self.stream) }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> SharedStream<S> {
    /// Shuts the write side down, then reads and discards input until the peer closes or a bound is reached. A socket that
    /// is closed with unread input is reset, and the peer loses what it has not yet read of the last answer.
    pub async fn close(mut self) {
        let _ = tokio::time::timeout(LINGER_TIMEOUT, self.discard_input()).await;
    }

    async fn discard_input(&mut self) -> io::Result<()> {
        self.shutdown().await?;
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        let mut discarded = 0;
        while discarded < MAX_LINGER_BYTES {
            match self.read(&mut buffer).await? {
                0 => break,
                bytes => discarded += bytes,
            }
        }
        Ok(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for SharedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for SharedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.lock()).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.lock()).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_shutdown(context)
    }
}
