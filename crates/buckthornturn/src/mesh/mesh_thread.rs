//! Dedicated thread that runs all connections between hosts.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use coordination::ids::HostId;
use indexmap::IndexMap;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use crate::interface::PeerReply;
use crate::interface::PeerRequest;
use crate::interface::StreamDialer;
use crate::interface::TcpDialer;
use crate::mesh::MeshCounters;
use crate::mesh::PeerRegistry;
use crate::mesh::connection_error::ConnectionError;
use crate::mesh::mesh_capnp::peer_port;
use crate::mesh::peer_link::PeerLink;
use crate::mesh::peer_link::vat_network;
use crate::mesh::peer_stream::PeerTransport;
use crate::mesh::port_server::PortServer;
use crate::tls::MeshTls;

/// Calls that may be queued for the thread; further ones fail at once.
const MAX_QUEUED_CALLS: usize = 1_024;
/// Connections from peers that may be open at once; further ones are closed on accept.
const MAX_INCOMING_CONNECTIONS: usize = 512;
/// Links to peers that may exist at once; beyond that the oldest idle link is closed.
const MAX_OUTGOING_CONNECTIONS: usize = 512;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A call that is queued for the mesh thread.
pub(crate) struct OutgoingCall {
    pub(crate) address: SocketAddr,
    pub(crate) request: PeerRequest,
    pub(crate) timeout: Duration,
    pub(crate) reply_sender: oneshot::Sender<Result<PeerReply, ConnectionError>>,
}

/// Handle of the thread that runs all connections between hosts. Dropping the handle stops the thread.
pub struct MeshThread {
    stop_sender: Option<oneshot::Sender<()>>,
    call_sender: mpsc::Sender<OutgoingCall>,
    counters: Arc<MeshCounters>,
    address: SocketAddr,
}

impl MeshThread {
    /// Starts the thread with TCP connections without TLS and serves peers on `listener`. Handlers run on the current
    /// runtime of the caller, not on the mesh thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(
        own_host: HostId,
        listener: TcpListener,
        registry: PeerRegistry,
    ) -> io::Result<Self> {
        Self::start_with_dialer(own_host, listener, registry, TcpDialer::shared(), None)
    }

    /// Starts the thread like `start`, with connections opened by `dialer`, and with TLS in both directions if `tls` is
    /// given.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start_with_dialer(
        own_host: HostId,
        listener: TcpListener,
        registry: PeerRegistry,
        dialer: Arc<dyn StreamDialer>,
        tls: Option<MeshTls>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let listener = listener.into_std()?;
        let counters = Arc::new(MeshCounters::default());
        let (call_sender, call_receiver) = mpsc::channel(MAX_QUEUED_CALLS);
        let (stop_sender, stop_receiver) = oneshot::channel();
        let transport = PeerTransport { dialer, tls };
        let server = IncomingServer {
            registry,
            transport: transport.clone(),
            counters: Arc::clone(&counters),
            runtime: Handle::current(),
        };
        let settings = LinkSettings { own_host, counters: Arc::clone(&counters), transport };
        thread::Builder::new().name("mesh".into()).spawn(move || {
            let runtime = match Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(error) => return warn!("mesh thread not started", kv: { reason: = error }),
            };
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                tokio::select! {
                    () = server.run(listener) => {}
                    () = dispatch_calls(settings, call_receiver) => {}
                    _ = stop_receiver => {}
                }
            });
        })?;
        Ok(Self { stop_sender: Some(stop_sender), call_sender, counters, address })
    }

    /// Local address of the listener on which peers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of the thread, which it updates while it runs.
    pub fn counters(&self) -> Arc<MeshCounters> {
        Arc::clone(&self.counters)
    }

    pub(crate) fn call_sender(&self) -> mpsc::Sender<OutgoingCall> {
        self.call_sender.clone()
    }
}

impl Drop for MeshThread {
    fn drop(&mut self) {
        drop(self.stop_sender.take());
    }
}

struct IncomingServer {
    registry: PeerRegistry,
    transport: PeerTransport,
    counters: Arc<MeshCounters>,
    runtime: Handle,
}

impl IncomingServer {
    async fn run(self, listener: std::net::TcpListener) {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => return warn!("mesh listener not started", kv: { reason: = error }),
        };
        let connections: Rc<Cell<usize>> = Rc::default();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if connections.get() >= MAX_INCOMING_CONNECTIONS {
                self.counters.record_dropped_connection();
                continue;
            }
            let port = PortServer::new(
                self.registry.clone(),
                Arc::clone(&self.counters),
                self.runtime.clone(),
            );
            let (counters, transport) = (Arc::clone(&self.counters), self.transport.clone());
            let count = Rc::clone(&connections);
            count.set(count.get() + 1);
            tokio::task::spawn_local(async move {
                let _guard = ConnectionGuard(count);
                let Ok(halves) = transport.accept(stream, &counters).await else { return };
                let client: peer_port::Client = capnp_rpc::new_client(port);
                let network = vat_network(halves, Side::Server);
                if RpcSystem::new(network, Some(client.client)).await.is_err() {
                    counters.record_dropped_connection();
                }
            });
        }
    }
}

struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Settings shared by all links to peers.
struct LinkSettings {
    own_host: HostId,
    counters: Arc<MeshCounters>,
    transport: PeerTransport,
}

async fn dispatch_calls(settings: LinkSettings, mut calls: mpsc::Receiver<OutgoingCall>) {
    let links: RefCell<IndexMap<SocketAddr, Rc<PeerLink>>> = RefCell::default();
    while let Some(call) = calls.recv().await {
        let link = match link_to(&links, &settings, call.address) {
            Some(link) => link,
            None => {
                let _ = call.reply_sender.send(Err(ConnectionError::TooManyCalls));
                continue;
            }
        };
        tokio::task::spawn_local(async move {
            let result = link.call(&call.request, call.timeout).await;
            let _ = call.reply_sender.send(result);
        });
    }
}

/// Returns the link to an address, creating it if there is none. At `MAX_OUTGOING_CONNECTIONS` links the oldest idle one
/// is closed; `None` if none is idle.
fn link_to(
    links: &RefCell<IndexMap<SocketAddr, Rc<PeerLink>>>,
    settings: &LinkSettings,
    address: SocketAddr,
) -> Option<Rc<PeerLink>> {
    let mut links = links.borrow_mut();
    if let Some(link) = links.get(&address) {
        return Some(Rc::clone(link));
    }
    if links.len() >= MAX_OUTGOING_CONNECTIONS {
        let idle = links.values().position(|link| link.is_idle())?;
        links.shift_remove_index(idle);
    }
    let link = PeerLink::new(
        settings.own_host.clone(),
        address,
        Arc::clone(&settings.counters),
        settings.transport.clone(),
    );
    links.insert(address, Rc::clone(&link));
    Some(link)
}
