//! Socket of a connection that carries no request.

use std::sync::Weak;

use tokio::net::TcpStream;

use crate::sockets::RequestSocket;

/// Socket of a connection that carries no request. The connection is closed in order.
#[derive(Debug)]
pub struct IdleSocket(Weak<TcpStream>);

impl IdleSocket {
    pub(super) fn new(stream: Weak<TcpStream>) -> Self {
        Self(stream)
    }

    /// Socket for a request. From here on every end of the connection resets it.
    pub fn begin_request(self) -> RequestSocket {
        RequestSocket::new(self.0)
    }
}
