//! Pushes configuration changes and floor plans to the hosts of the failure domain.
//!
//! The hosts form a tree, ordered by their rendezvous hashing scores, with the first relay as the root. Each host
//! pushes only to its children, so that it sends a change no more than `FAN_OUT` times. A host that the tree misses,
//! because the hosts' views of the members differ, learns of the change from the revision in the next heartbeat and
//! pulls it.

use std::sync::Arc;
use std::time::Duration;

use coordination::ids::HostId;
use coordination::ids::Revision;
use coordination::rendezvous::highest_scores;
use indexmap::IndexMap;

use crate::interface::MemberEntry;
use crate::interface::MemberHealth;
use crate::interface::MemberView;
use crate::interface::PeerCaller;
use crate::interface::PeerRequest;
use crate::interface::PlanCell;
use crate::interface::PlanTable;
use crate::membership::HostStatus;
use crate::mesh::MeshCaller;
use crate::state::ConfigurationReplica;
use crate::state::state_handler::MAX_CHANGE_BYTES;

/// Largest number of children of a host in the tree.
const FAN_OUT: usize = 4;
/// Time limit for a peer to answer a push.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Pushes configuration changes and floor plans to this host's children in the tree of its failure domain.
pub struct ChangePusher {
    replica: Arc<ConfigurationReplica>,
    plans: PlanCell,
    status: Arc<HostStatus>,
    peers: MeshCaller,
}

impl ChangePusher {
    /// Creates a pusher of the changes in `replica` and the floor plans in `plans`.
    pub fn new(
        replica: Arc<ConfigurationReplica>,
        plans: PlanCell,
        status: Arc<HostStatus>,
        peers: MeshCaller,
    ) -> Arc<Self> {
        Arc::new(Self { replica, plans, status, peers })
    }

    /// Pushes the changes of each new revision until the task is dropped.
    pub async fn push_changes(self: Arc<Self>) {
        let mut states = self.replica.cell().subscribe();
        let mut pushed: IndexMap<HostId, Revision> = IndexMap::new();
        let mut previous = self.replica.revision();
        while states.changed().await.is_ok() {
            let revision = states.borrow_and_update().revision;
            let children = self.children();
            pushed.retain(|host, _| children.iter().any(|child| child.host == *host));
            let pushes = children.iter().map(|child| {
                let sent = pushed.get(&child.host).copied().unwrap_or(previous);
                self.push_to(child, child.revision.max(sent))
            });
            futures::future::join_all(pushes).await;
            pushed.extend(children.into_iter().map(|child| (child.host, revision)));
            previous = revision;
        }
    }

    /// Pushes floor plans with a new epoch until the task is dropped.
    pub async fn push_plans(self: Arc<Self>) {
        let mut tables = self.plans.subscribe();
        let mut previous = self.plans.load();
        while tables.changed().await.is_ok() {
            let table = Arc::clone(&tables.borrow_and_update());
            let plans: Vec<_> = table
                .values()
                .filter(|plan| !is_plan_known(&previous, &plan.domain, plan.epoch))
                .cloned()
                .collect();
            let children = self.children();
            let pushes = children.iter().map(|child| {
                let request = PeerRequest::PushPlans { plans: plans.clone() };
                self.peers.call(&child.host, request, PUSH_TIMEOUT)
            });
            futures::future::join_all(pushes).await;
            previous = table;
        }
    }

    async fn push_to(&self, child: &MemberEntry, after: Revision) {
        match self.replica.changes_after(after, MAX_CHANGE_BYTES) {
            Some(changes) if !changes.is_empty() => {
                let request = PeerRequest::PushChanges { changes };
                let _ = self.peers.call(&child.host, request, PUSH_TIMEOUT).await;
            }
            Some(_) | None => {}
        }
    }

    fn children(&self) -> Vec<MemberEntry> {
        let identity = self.status.identity();
        children(&self.peers.members(), &identity.host, &identity.failure_domain)
    }
}

/// Children of host `own` in the tree of its failure domain. Hosts that are gone or whose incarnation is not known yet
/// are left out of the tree.
fn children(view: &MemberView, own: &str, domain: &str) -> Vec<MemberEntry> {
    let domain_members = view
        .members
        .iter()
        .filter(|member| {
            member.failure_domain.as_ref() == domain && member.health != MemberHealth::Gone
        })
        .filter(|member| member.incarnation != 0);
    let ranked_hosts =
        highest_scores(domain, domain_members.map(|member| &*member.host), usize::MAX);
    let rank = ranked_hosts.iter().position(|host| *host == own).unwrap_or(0);
    ranked_hosts
        .into_iter()
        .skip(rank * FAN_OUT + 1)
        .take(FAN_OUT)
        .filter(|host| *host != own)
        .filter_map(|host| view.member(host).cloned())
        .collect()
}

fn is_plan_known(table: &PlanTable, domain: &str, epoch: u64) -> bool {
    table.get(domain).is_some_and(|plan| plan.epoch >= epoch)
}
