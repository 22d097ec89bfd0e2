//! Dialer whose connections go through the simulated network.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use buckthornturn::interface::StreamDialer;
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;

use crate::network::LinkTable;
use crate::network::relay_pump::LinkDirection;
use crate::network::relay_pump::relay_both_ways;

/// Opens connections from one failure domain, each through a relay of its own. While the link is cut, a connection
/// attempt gets no answer. If the other end refuses the connection, dialing fails.
pub struct RelayedDialer {
    links: Arc<LinkTable>,
    domain: Box<str>,
    relays: Handle,
}

impl RelayedDialer {
    /// Creates a dialer for a failure domain. Its relays run on the current runtime, so that they outlive the runtime of
    /// the host that dials.
    pub fn new(links: Arc<LinkTable>, domain: Box<str>) -> Self {
        Self { links, domain, relays: Handle::current() }
    }
}

impl StreamDialer for RelayedDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        let to = self.links.domain_of(address).unwrap_or_else(|| self.domain.clone());
        let direction =
            LinkDirection { links: Arc::clone(&self.links), from: self.domain.clone(), to };
        let opening = self.relays.spawn(open_relay(address, direction));
        async move {
            let relay = opening.await.map_err(io::Error::other)??;
            TcpStream::connect(relay).await
        }
        .boxed()
    }
}

/// Connects to `address` and returns the address of a relay to it, which accepts one connection.
async fn open_relay(address: SocketAddr, direction: LinkDirection) -> io::Result<SocketAddr> {
    direction.wait_connected().await;
    tokio::time::sleep(2 * direction.latency() + direction.links.dial_delay()).await;
    direction.wait_connected().await;
    if direction.refuses() {
        return Err(io::ErrorKind::ConnectionRefused.into());
    }
    let far = TcpStream::connect(address).await?;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let relay = listener.local_addr()?;
    tokio::spawn(async move {
        if let Ok((near, _)) = listener.accept().await {
            drop(listener);
            relay_both_ways(near, far, direction).await;
        }
    });
    Ok(relay)
}
