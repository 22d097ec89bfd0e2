//! Connections that notice a silent other side.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

use crate::interface::StreamDialer;

/// Silence after which a connection is probed, and the pause between probes; a dead connection is known within 3 s.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
/// Time for which sent bytes may stay without an ack.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens connections that are probed while they are silent.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeepaliveDialer;

impl StreamDialer for KeepaliveDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        async move {
            let stream = TcpStream::connect(address).await?;
            enable_keepalive(&stream)?;
            Ok(stream)
        }
        .boxed()
    }
}

/// Has a connection probed while it is silent.
///
/// # Errors
///
/// Fails if the system refuses the options.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    stream.set_nodelay(true)
}
