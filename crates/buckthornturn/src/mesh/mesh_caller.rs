//! Sends requests to peers by name.

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

/// Extra wait for the mesh thread, beyond the timeout that it keeps itself.
const THREAD_REPLY_ALLOWANCE: Duration = Duration::from_millis(100);

/// Sends requests to peers by name, with addresses from the published members.
#[derive(Clone)]
pub struct MeshCaller {
    calls: mpsc::Sender<OutgoingCall>,
    members: Arc<ArcSwap<MemberView>>,
}

/// How a call to an address ended, for membership: whether the process is proved not to exist.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AddressError {
    /// Nobody listens there.
    NotListening,
    /// Failed in another way.
    Failed(PeerError),
}

impl MeshCaller {
    /// A caller through a mesh thread, for the members that are published in `members`.
    pub fn new(thread: &MeshThread, members: Arc<ArcSwap<MemberView>>) -> Self {
        Self { calls: thread.calls(), members }
    }

    /// Calls a peer by its address; `peer` is its name, or the address if that is not known.
    pub(crate) async fn call_address(
        &self,
        peer: &str,
        address: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, AddressError> {
        let (reply, receiver) = oneshot::channel();
        let call = OutgoingCall { address, request, timeout, reply };
        if self.calls.try_send(call).is_err() {
            let error = unreachable_peer(peer, "too many calls are waiting for the mesh");
            return Err(AddressError::Failed(error));
        }
        match tokio::time::timeout(timeout + THREAD_REPLY_ALLOWANCE, receiver).await {
            Ok(Ok(Ok(reply))) => Ok(reply),
            Ok(Ok(Err(ConnectionError::NotListening))) => Err(AddressError::NotListening),
            Ok(Ok(Err(error))) => Err(AddressError::Failed(peer_error(peer, error))),
            Ok(Err(_)) => Err(AddressError::Failed(unreachable_peer(peer, "the mesh has ended"))),
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
            let address = address.ok_or_else(|| unreachable_peer(peer, "no such member"))?;
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
