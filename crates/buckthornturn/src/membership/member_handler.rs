//! Handles heartbeats and host lists that peers send.

use std::sync::Arc;
use std::time::Instant;

use coordination::ids::HostId;
use futures::FutureExt;
use futures::future::BoxFuture;
use kameo::actor::ActorRef;

use crate::interface::PeerError;
use crate::interface::PeerHandler;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;
use crate::membership::HostStatus;
use crate::membership::MemberActor;
use crate::membership::member_actor::RecordHeartbeat;
use crate::membership::member_actor::RecordHostList;

/// Answers heartbeats, and records the host lists that the relays of the own failure domain push.
pub struct MemberHandler {
    members: ActorRef<MemberActor>,
    status: Arc<HostStatus>,
}

impl MemberHandler {
    /// Creates a handler that passes what it receives to the member actor.
    pub fn new(members: ActorRef<MemberActor>, status: Arc<HostStatus>) -> Self {
        Self { members, status }
    }

    async fn answer_request(
        &self,
        from: HostId,
        request: PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        let refused =
            |reason: &str| PeerError::Refused { peer: from.clone(), reason: reason.into() };
        match request {
            PeerRequest::Heartbeat { own, others } if own.host == from => {
                let message = RecordHeartbeat { own, others, received_at: Instant::now() };
                let others = self.members.ask(message).await.map_err(|_| refused("ending"))?;
                Ok(PeerReply::Heartbeat { own: self.status.heartbeat(Instant::now()), others })
            }
            PeerRequest::PushHosts { rows } => {
                let domain = self.status.identity().failure_domain.clone();
                if rows.iter().any(|row| row.failure_domain != domain) {
                    return Err(refused("rows of another failure domain"));
                }
                let message = RecordHostList { rows, domain: Some(domain) };
                self.members.tell(message).await.map_err(|_| refused("ending"))?;
                Ok(PeerReply::Done)
            }
            _ => Err(refused("the request makes no sense here")),
        }
    }
}

impl PeerHandler for MemberHandler {
    fn handle(
        &self,
        from: HostId,
        request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>> {
        self.answer_request(from, request).boxed()
    }
}
