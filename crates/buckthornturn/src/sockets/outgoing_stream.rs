//! Stream of an outgoing connection, as the HTTP client reads and writes it.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::sockets::IdleSocket;
use crate::sockets::KernelProbe;
use crate::sockets::peer_watch::PeerWatch;

/// Stream of an outgoing connection, whose end is decided by the state of its [`IdleSocket`] or
/// [`RequestSocket`](crate::sockets::RequestSocket).
pub struct OutgoingStream {
    stream: Arc<TcpStream>,
    watch: Option<PeerWatch>,
}

impl OutgoingStream {
    /// Takes a connection that has carried no request. If its dialer has set a user timeout, that is adjusted to what the kernel
    /// tells of the other end.
    pub fn new(stream: TcpStream) -> (Self, IdleSocket) {
        Self::with_probe(stream, KernelProbe::shared())
    }

    /// Takes a connection whose kernel state `probe` reads. Without one the user timeout stays as it is.
    pub fn with_probe(
        stream: TcpStream,
        probe: Option<&'static KernelProbe>,
    ) -> (Self, IdleSocket) {
        let watch = PeerWatch::new(&stream, probe);
        let stream = Arc::new(stream);
        let socket = IdleSocket::new(Arc::downgrade(&stream));
        (Self { stream, watch }, socket)
    }

    fn check_peer(&mut self, context: &mut Context<'_>) {
        if let Some(watch) = &mut self.watch {
            watch.check_if_due(&self.stream, context);
        }
    }
}

impl AsyncRead for OutgoingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_peer(context);
        loop {
            std::task::ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(bytes) => {
                    buffer.advance(bytes);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl OutgoingStream {
    fn poll_write_with(
        &mut self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        self.check_peer(context);
        loop {
            std::task::ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(bytes) => {
                    if let Some(watch) = &mut self.watch {
                        watch.record_written(&self.stream, bytes, context);
                    }
                    return Poll::Ready(Ok(bytes));
                }
            }
        }
    }
}

impl AsyncWrite for OutgoingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_peer(context);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match SockRef::from(&*self.stream).shutdown(Shutdown::Write) {
            Err(error) if error.kind() != io::ErrorKind::NotConnected => Poll::Ready(Err(error)),
            _ => Poll::Ready(Ok(())),
        }
    }
}
