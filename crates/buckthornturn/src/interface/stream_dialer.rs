//! Interface that opens outgoing connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::TcpStream;

/// Opens the outgoing connections of a host. Tests replace it to simulate delays and network partitions.
pub trait StreamDialer: Send + Sync {
    /// Connects to an address. It has no timeout of its own; the calling code has to set one.
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>>;
}

/// Opens plain TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

impl TcpDialer {
    /// Creates a dialer behind a shared pointer.
    pub fn shared() -> Arc<dyn StreamDialer> {
        Arc::new(Self)
    }
}

impl StreamDialer for TcpDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        TcpStream::connect(address).boxed()
    }
}
