//! Opens TCP connections that detect a peer that stopped responding.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

use crate::interface::StreamDialer;
use crate::sockets::SocketOption;
use crate::sockets::set_no_delay;

/// Idle time before the first keepalive probe and pause between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes that may stay unanswered; the connection ends one interval after the last one. Two lost probes are tolerated.
const KEEPALIVE_RETRIES: u32 = 3;
/// Time for which sent bytes may stay unacknowledged before the connection fails. A lost packet is sent again several times within
/// it. It would also end a connection after one lost keepalive probe and while the peer reads nothing, so that
/// [`OutgoingStream`](crate::sockets::OutgoingStream) changes it while all bytes are acknowledged or the peer's window is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(2);

static KEEPALIVE: SocketOption = SocketOption::new("SO_KEEPALIVE");
static USER_TIMEOUT: SocketOption = SocketOption::new("TCP_USER_TIMEOUT");

/// Opens TCP connections with keepalive probes, a limit on unacknowledged data and without Nagle's algorithm. Options that the
/// system does not know are left out.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeepaliveDialer;

impl StreamDialer for KeepaliveDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        async move {
            let stream = TcpStream::connect(address).await?;
            enable_keepalive(&stream);
            Ok(stream)
        }
        .boxed()
    }
}

fn enable_keepalive(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    KEEPALIVE.check(socket.set_tcp_keepalive(&keepalive));
    USER_TIMEOUT.check(socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)));
    set_no_delay(stream);
}
