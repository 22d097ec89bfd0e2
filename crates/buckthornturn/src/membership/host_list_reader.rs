//! Reads the platform's host list on relays and pushes it to the other hosts of the failure domain.

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

/// Interval between reads of the host list by the first relay, before jitter.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Factor by which the read interval of the second relay is longer.
const SECOND_RELAY_INTERVAL_FACTOR: u32 = 5;
/// Timeout of the call that pushes the list to one peer.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of times that a changed list is pushed; a host acts on a missing row only after two lists without it.
const PUSHES_PER_CHANGE: u32 = 3;

/// Reads the platform's host list while this host is a relay. The first relay pushes the rows of its failure domain to the
/// other hosts there whenever they change.
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
    /// Creates a reader. `relay_rank` is this host's rank among the relays of its failure domain, `None` if it is not a
    /// relay.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        members: ActorRef<MemberActor>,
        status: Arc<HostStatus>,
        peers: MeshCaller,
        relay_rank: watch::Receiver<Option<usize>>,
    ) -> Self {
        Self { store, members, status, peers, relay_rank, last_pushed: Vec::new(), pushes_left: 0 }
    }

    /// Reads the list once on every host, then at the interval of the relay rank, until the task is dropped. Waits while
    /// this host is not a relay.
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
