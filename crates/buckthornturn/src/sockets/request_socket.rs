//! Socket of a connection that carries a request.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

use crate::sockets::IdleSocket;
use crate::sockets::SocketOption;

static LINGER: SocketOption = SocketOption::new("SO_LINGER");

/// Socket of a connection whose request is not known to be answered. However the connection ends, also with the process, it is
/// reset: the kernel drops the bytes that it still holds, which could otherwise reach the other end long after the request was
/// given up.
#[derive(Debug)]
pub struct RequestSocket {
    /// Keeps the socket open until this state has ended, as the HTTP client drops its stream after the last answer. `None` if
    /// the connection was closed before the request.
    stream: Option<Arc<TcpStream>>,
}

impl RequestSocket {
    pub(super) fn new(stream: Weak<TcpStream>) -> Self {
        let stream = stream.upgrade();
        set_linger(stream.as_deref(), Some(Duration::ZERO));
        Self { stream }
    }

    /// Socket after a request that was written to its end and answered whole. Its connection is closed in order, so that the
    /// other end still receives the last bytes of the request.
    pub fn finish_request(self) -> IdleSocket {
        set_linger(self.stream.as_deref(), None);
        IdleSocket::new(self.stream.as_ref().map(Arc::downgrade).unwrap_or_default())
    }
}

fn set_linger(stream: Option<&TcpStream>, linger: Option<Duration>) {
    if let Some(stream) = stream {
        LINGER.check(SockRef::from(stream).set_linger(linger));
    }
}
