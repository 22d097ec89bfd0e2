//! Byte streams between hosts: connects, accepts, counts bytes and enforces a write timeout.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::interface::StreamDialer;
use crate::mesh::MeshCounters;
use crate::tls::MeshTls;

/// Longest time for which a pending write may make no progress.
const WRITE_STALL_LIMIT: Duration = Duration::from_secs(5);
/// Timeout of the TLS handshake of an incoming connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reading half of a stream.
pub(crate) type ReadHalf = Box<dyn AsyncRead + Unpin>;
/// Writing half of a stream.
pub(crate) type WriteHalf = Box<dyn AsyncWrite + Unpin>;

/// Opens and accepts the connections between hosts.
#[derive(Clone)]
pub(crate) struct PeerTransport {
    /// Dialer that opens connections to peers.
    pub(crate) dialer: Arc<dyn StreamDialer>,
    /// TLS with mutual authentication; `None` for plain TCP.
    pub(crate) tls: Option<MeshTls>,
}

impl PeerTransport {
    /// Connects to a peer and performs the TLS handshake, if any.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened, or the peer cannot be authenticated.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        counters: &Arc<MeshCounters>,
    ) -> io::Result<(ReadHalf, WriteHalf)> {
        let stream = self.dialer.dial(address).await?;
        stream.set_nodelay(true)?;
        match &self.tls {
            None => Ok(wrap_halves(stream.into_split(), counters)),
            Some(tls) => {
                let stream = tls.connect(stream, address.ip()).await?;
                Ok(wrap_halves(tokio::io::split(stream), counters))
            }
        }
    }

    /// Sets up a connection that a peer opened and performs the TLS handshake, if any.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be set up, or the peer is not authenticated within `HANDSHAKE_TIMEOUT`.
    pub(crate) async fn accept(
        &self,
        stream: TcpStream,
        counters: &Arc<MeshCounters>,
    ) -> io::Result<(ReadHalf, WriteHalf)> {
        stream.set_nodelay(true)?;
        match &self.tls {
            None => Ok(wrap_halves(stream.into_split(), counters)),
            Some(tls) => {
                let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, tls.accept(stream));
                let stream = handshake.await.map_err(io::Error::from)??;
                Ok(wrap_halves(tokio::io::split(stream), counters))
            }
        }
    }
}

fn wrap_halves<R, W>(
    (reader, writer): (R, W),
    counters: &Arc<MeshCounters>,
) -> (ReadHalf, WriteHalf)
where
    R: AsyncRead + Unpin + 'static,
    W: AsyncWrite + Unpin + 'static,
{
    let reader = CountingReader { inner: Box::new(reader), counters: Arc::clone(counters) };
    let writer = StallTimeoutWriter {
        inner: Box::new(writer),
        counters: Arc::clone(counters),
        stall_timer: None,
    };
    (Box::new(reader), Box::new(writer))
}

struct CountingReader {
    inner: ReadHalf,
    counters: Arc<MeshCounters>,
}

impl AsyncRead for CountingReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.counters.record_bytes_read(buffer.filled().len() - before);
        poll
    }
}

/// Counts bytes written and fails a write that makes no progress for `WRITE_STALL_LIMIT`, so that the connection to a peer
/// that does not read is dropped.
struct StallTimeoutWriter {
    inner: WriteHalf,
    counters: Arc<MeshCounters>,
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl StallTimeoutWriter {
    fn fail_if_stalled<T>(
        &mut self,
        context: &mut Context<'_>,
        poll: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if poll.is_ready() {
            self.stall_timer = None;
            return poll;
        }
        let deadline = Instant::now() + WRITE_STALL_LIMIT;
        let stall_timer =
            self.stall_timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        match stall_timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncWrite for StallTimeoutWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &poll {
            self.counters.record_bytes_written(*written);
        }
        self.fail_if_stalled(context, poll)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.inner).poll_flush(context);
        self.fail_if_stalled(context, poll)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.inner).poll_shutdown(context);
        self.fail_if_stalled(context, poll)
    }
}
