//! Reads the platform's host list, on relays only, and passes it on in the failure domain.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use rand::RngExt;
use spdlog::warn;
use tokio::sync::watch;

use crate::interface::ListedHost;
use crate::interface::MemberHealth;
use crate::interface::ObjectStore;
use crate::interface::PeerCaller;
use crate::interface::PeerRequest;
use crate::membership::HostStatus;
use crate::membership::MemberActor;
use crate::membership::member_actor::RecordHostList;
use crate::mesh::MeshCaller;

/// Time between two reads of the first relay.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Readings of the second relay are that many times rarer.
const SECOND_RELAY_INTERVAL_FACTOR: u32 = 5;
/// Longest wait for a peer to take the list.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Times that a changed list is passed on; a host acts on a missing row after two.
const PUSHES_PER_CHANGE: u32 = 3;

/// Reads the platform's host list and passes it on.
pub struct HostListReader {
    store: Arc<dyn ObjectStore>,
    members: ActorRef<MemberActor>,
    status: Arc<HostStatus>,
    peers: MeshCaller,
    relay_rank: watch::Receiver<Option<usize>>,
    last_pushed: Vec<ListedHost>,
    pushes_left: u32,
}

impl HostListReader {
    /// A reader that acts while this host is a relay.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        members: ActorRef<MemberActor>,
        status: Arc<HostStatus>,
        peers: MeshCaller,
        relay_rank: watch::Receiver<Option<usize>>,
    ) -> Self {
        Self { store, members, status, peers, relay_rank, last_pushed: Vec::new(), pushes_left: 0 }
    }

    /// Reads the list once at the start, then as often as the role asks for, until the task is dropped.
    pub async fn run(mut self) {
        loop {
            self.read_host_list().await;
            let rank = match self.relay_rank.wait_for(Option::is_some).await {
                Ok(rank) => rank.unwrap_or_default(),
                Err(_) => return,
            };
            let factor = if rank == 0 { 1 } else { SECOND_RELAY_INTERVAL_FACTOR };
            let jitter = rand::rng().random_range(0.8..1.2);
            tokio::time::sleep(READ_INTERVAL.mul_f64(jitter) * factor).await;
        }
    }

    async fn read_host_list(&mut self) {
        let rows = match self.store.hosts().await {
            Ok(rows) => rows,
            Err(error) => return warn!("host list not read", kv: { reason: = error }),
        };
        let domain = &self.status.identity().failure_domain;
        let domain_rows: Vec<_> =
            rows.iter().filter(|row| row.failure_domain == *domain).cloned().collect();
        if self.members.tell(RecordHostList { rows, domain: None }).await.is_err() {
            return;
        }
        if domain_rows != self.last_pushed {
            self.last_pushed = domain_rows;
            self.pushes_left = PUSHES_PER_CHANGE;
        }
        if self.pushes_left > 0 && *self.relay_rank.borrow() == Some(0) {
            self.pushes_left -= 1;
            self.push_host_list().await;
        }
    }

    async fn push_host_list(&self) {
        let identity = self.status.identity();
        let view = self.peers.members();
        let pushes = view
            .members
            .iter()
            .filter(|member| member.failure_domain == identity.failure_domain)
            .filter(|member| member.host != identity.host && member.health != MemberHealth::Gone)
            .map(|member| {
                let request = PeerRequest::PushHosts { rows: self.last_pushed.clone() };
                self.peers.call(&member.host, request, PUSH_TIMEOUT)
            });
        futures::future::join_all(pushes).await;
    }
}
