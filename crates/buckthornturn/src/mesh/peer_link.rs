//! Client connection to one peer, opened on demand and reopened after it failed.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use coordination::ids::HostId;
use tokio::task::AbortHandle;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;

use crate::interface::PeerReply;
use crate::interface::PeerRequest;
use crate::mesh::MAX_MESSAGE_BYTES;
use crate::mesh::MeshCounters;
use crate::mesh::RequestKind;
use crate::mesh::connection_error::ConnectionError;
use crate::mesh::decode_message::decode_reply;
use crate::mesh::encode_message::encode_request;
use crate::mesh::mesh_capnp::peer_port;
use crate::mesh::peer_stream::PeerTransport;
use crate::mesh::peer_stream::ReadHalf;
use crate::mesh::peer_stream::WriteHalf;
use crate::mesh::port_server::size_bytes;

/// Calls to one peer that may await a reply at once; further ones fail at once.
const MAX_CALLS_PER_PEER: usize = 128;
/// Consecutive timeouts after which the connection is dropped.
const MAX_UNANSWERED_CALLS: u32 = 3;

/// Limits on the size and nesting of messages that are read from a peer.
pub(crate) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / 8)).nesting_limit(16);
    options
}

/// Builds the two-party RPC network of one connection.
pub(crate) fn vat_network(
    halves: (ReadHalf, WriteHalf),
    side: Side,
) -> Box<VatNetwork<tokio_util::compat::Compat<ReadHalf>>> {
    let (reader, writer) = halves;
    Box::new(VatNetwork::new(reader.compat(), writer.compat_write(), side, reader_options()))
}

/// Link to one peer. It holds at most one open connection, which all calls share.
pub(crate) struct PeerLink {
    own_host: HostId,
    address: SocketAddr,
    counters: Arc<MeshCounters>,
    transport: PeerTransport,
    connection: RefCell<Option<OpenConnection>>,
    connecting: tokio::sync::Mutex<()>,
    pending_calls: Cell<usize>,
    unanswered_calls: Cell<u32>,
}

struct OpenConnection {
    port: peer_port::Client,
    task: AbortHandle,
}

struct PendingCallGuard<'a>(&'a Cell<usize>);

impl Drop for PendingCallGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl PeerLink {
    pub(crate) fn new(
        own_host: HostId,
        address: SocketAddr,
        counters: Arc<MeshCounters>,
        transport: PeerTransport,
    ) -> Rc<Self> {
        Rc::new(Self {
            own_host,
            address,
            counters,
            transport,
            connection: RefCell::default(),
            connecting: tokio::sync::Mutex::default(),
            pending_calls: Cell::new(0),
            unanswered_calls: Cell::new(0),
        })
    }

    /// Whether no call is pending on this link.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending_calls.get() == 0
    }

    /// Calls the peer, waiting at most `timeout` for the connection and the reply together. The connection is closed on a
    /// protocol error and after `MAX_UNANSWERED_CALLS` consecutive timeouts.
    pub(crate) async fn call(
        &self,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, ConnectionError> {
        if self.pending_calls.get() >= MAX_CALLS_PER_PEER {
            return Err(ConnectionError::TooManyCalls);
        }
        self.pending_calls.set(self.pending_calls.get() + 1);
        let _pending = PendingCallGuard(&self.pending_calls);
        match tokio::time::timeout(timeout, self.exchange(request)).await {
            Ok(Ok(reply)) => {
                self.unanswered_calls.set(0);
                Ok(reply)
            }
            Ok(Err(error @ ConnectionError::Protocol { .. })) => {
                self.close();
                Err(error)
            }
            Ok(Err(error)) => Err(error),
            Err(_) => {
                self.unanswered_calls.set(self.unanswered_calls.get() + 1);
                if self.unanswered_calls.get() >= MAX_UNANSWERED_CALLS {
                    self.close();
                }
                Err(ConnectionError::TimedOut)
            }
        }
    }

    async fn exchange(&self, request: &PeerRequest) -> Result<PeerReply, ConnectionError> {
        let protocol_error = |source| ConnectionError::Protocol { source };
        let kind = RequestKind::of(request);
        let port = self.connected_port().await?;
        let mut call = port.call_request();
        let mut builder = call.get().init_request();
        encode_request(builder.reborrow(), &self.own_host, request);
        let size = size_bytes(builder.into_reader().total_size().map_err(protocol_error)?);
        if size > MAX_MESSAGE_BYTES as u64 {
            return Err(ConnectionError::Refused { reason: "the request is too large".into() });
        }
        self.counters.record_request_sent(kind, size);
        let response = call.send().promise.await.map_err(protocol_error)?;
        let reader =
            response.get().and_then(|result| result.get_reply()).map_err(protocol_error)?;
        self.counters
            .record_reply_received(kind, size_bytes(reader.total_size().map_err(protocol_error)?));
        decode_reply(reader)
    }

    async fn connected_port(&self) -> Result<peer_port::Client, ConnectionError> {
        let _connecting_guard = self.connecting.lock().await;
        match &*self.connection.borrow() {
            Some(connection) if !connection.task.is_finished() => {
                return Ok(connection.port.clone());
            }
            _ => {}
        }
        let halves =
            self.transport.connect(self.address, &self.counters).await.map_err(connect_error)?;
        let mut system = RpcSystem::new(vat_network(halves, Side::Client), None);
        let port: peer_port::Client = system.bootstrap(Side::Server);
        let task = tokio::task::spawn_local(system).abort_handle();
        self.unanswered_calls.set(0);
        *self.connection.borrow_mut() = Some(OpenConnection { port: port.clone(), task });
        Ok(port)
    }

    fn close(&self) {
        if let Some(connection) = self.connection.borrow_mut().take() {
            self.counters.record_dropped_connection();
            connection.task.abort();
        }
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.borrow_mut().take() {
            connection.task.abort();
        }
    }
}

fn connect_error(source: io::Error) -> ConnectionError {
    match source.kind() {
        io::ErrorKind::ConnectionRefused => ConnectionError::NotListening,
        _ => ConnectionError::Connect { source },
    }
}
