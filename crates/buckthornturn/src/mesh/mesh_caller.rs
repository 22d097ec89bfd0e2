//! Client of the mesh thread: sends requests to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use coordination::ids::HostId;
use futures::FutureExt;
use futures::future::BoxFuture;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::interface::MemberView;
use crate::interface::PeerCaller;
use crate::interface::PeerError;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;
use crate::mesh::MeshThread;
use crate::mesh::connection_error::ConnectionError;
use crate::mesh::mesh_thread::OutgoingCall;

/// Time beyond the timeout of a call, which the mesh thread enforces, for its result to arrive from the thread.
const THREAD_REPLY_ALLOWANCE: Duration = Duration::from_millis(100);

/// Sends requests to peers through the mesh thread. Names are resolved to addresses by the published member view.
#[derive(Clone)]
pub struct MeshCaller {
    call_sender: mpsc::Sender<OutgoingCall>,
    members: Arc<ArcSwap<MemberView>>,
}

/// Why a call to an address failed. Membership needs to know whether it proves that no process runs there.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AddressError {
    /// The connection was refused: no process listens at the address.
    NotListening,
    /// Any other failure, which proves nothing about the process.
    Failed(PeerError),
}

impl MeshCaller {
    /// Creates a caller that uses a mesh thread and resolves names by the view published in `members`.
    pub fn new(thread: &MeshThread, members: Arc<ArcSwap<MemberView>>) -> Self {
        Self { call_sender: thread.call_sender(), members }
    }

    /// Calls the peer at `address`, waiting at most `timeout`. `peer` appears in errors only: the name of the host, or its
    /// address if the name is not known.
    pub(crate) async fn call_address(
        &self,
        peer: &str,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, AddressError> {
        let (reply_sender, receiver) = oneshot::channel();
        let call = OutgoingCall { address, request, timeout, reply_sender };
        if self.call_sender.try_send(call).is_err() {
            let error = unreachable_peer(peer, "the call queue of the mesh thread is full");
            return Err(AddressError::Failed(error));
        }
        match tokio::time::timeout(timeout + THREAD_REPLY_ALLOWANCE, receiver).await {
            Ok(Ok(Ok(reply))) => Ok(reply),
            Ok(Ok(Err(ConnectionError::NotListening))) => Err(AddressError::NotListening),
            Ok(Ok(Err(error))) => Err(AddressError::Failed(peer_error(peer, error))),
            Ok(Err(_)) => {
                Err(AddressError::Failed(unreachable_peer(peer, "the mesh thread has stopped")))
            }
            Err(_) => Err(AddressError::Failed(PeerError::TimedOut { peer: peer.into() })),
        }
    }
}

impl PeerCaller for MeshCaller {
    fn call<'a>(
        &'a self,
        peer: &'a str,
        request: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<PeerReply, PeerError>> {
        async move {
            let address = self.members.load().member(peer).map(|member| member.mesh);
            let address =
                address.ok_or_else(|| unreachable_peer(peer, "the host is not a known member"))?;
            match self.call_address(peer, address, request, timeout).await {
                Ok(reply) => Ok(reply),
                Err(AddressError::NotListening) => {
                    Err(unreachable_peer(peer, "the connection was refused"))
                }
                Err(AddressError::Failed(error)) => Err(error),
            }
        }
        .boxed()
    }

    fn members(&self) -> Arc<MemberView> {
        self.members.load_full()
    }
}

fn peer_error(peer: &str, error: ConnectionError) -> PeerError {
    let peer: HostId = peer.into();
    match error {
        ConnectionError::TimedOut => PeerError::TimedOut { peer },
        ConnectionError::Refused { reason } => PeerError::Refused { peer, reason },
        error => PeerError::Unreachable { peer, reason: error.to_string().into() },
    }
}

fn unreachable_peer(peer: &str, reason: &str) -> PeerError {
    PeerError::Unreachable { peer: peer.into(), reason: reason.into() }
}
