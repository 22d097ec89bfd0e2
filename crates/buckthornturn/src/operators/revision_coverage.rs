//! Which failure domains have a configuration revision in force, for example the withdrawal of a key.

use std::sync::Arc;
use std::time::Duration;

use coordination::ids::DomainId;
use coordination::ids::HostId;
use coordination::ids::Revision;
use coordination::member_view::MemberEntry;
use coordination::member_view::MemberHealth;
use coordination::member_view::MemberView;
use indexmap::IndexSet;
use serde::Serialize;
use tokio::time::Instant;

use crate::interface::PeerCaller;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;

/// Longest time that an operator waits for a revision to be in force in all failure domains.
const COVERAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest time between the starts of two rounds of queries to members.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one query to a member.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest number of members that are queried in one round.
const MAX_QUERIED_MEMBERS: usize = 128;

/// Failure domains by whether a revision is in force on all of their hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct RevisionCoverage {
    /// Failure domains in which every host that is not gone has confirmed the revision; sorted.
    pub in_force: Vec<DomainId>,
    /// Failure domains in which at least one host has not confirmed it, or of which no host is known; sorted.
    pub not_reached: Vec<DomainId>,
}

impl RevisionCoverage {
    /// Sorts failure domains by the revisions that members report in heartbeats, and by `confirmed_hosts`, which
    /// answered a query with this revision or a later one. Members that are gone do not count. A failure domain in
    /// `domains` of which no host is known counts as not reached.
    pub fn from_members(
        view: &MemberView,
        domains: &[DomainId],
        revision: Revision,
        confirmed_hosts: &IndexSet<HostId>,
    ) -> Self {
        let mut coverage = Self::default();
        let present_members =
            view.members.iter().filter(|member| member.health != MemberHealth::Gone);
        for member in present_members {
            let domain = &member.failure_domain;
            match has_revision(member, revision, confirmed_hosts) {
                true if coverage.not_reached.contains(domain) => {}
                true if coverage.in_force.contains(domain) => {}
                true => coverage.in_force.push(domain.clone()),
                false if coverage.not_reached.contains(domain) => {}
                false => {
                    coverage.in_force.retain(|known| known != domain);
                    coverage.not_reached.push(domain.clone());
                }
            }
        }
        let is_classified = |domain: &&DomainId| {
            coverage.in_force.contains(domain) || coverage.not_reached.contains(domain)
        };
        let hostless_domains: Vec<_> =
            domains.iter().filter(|domain| !is_classified(domain)).cloned().collect();
        coverage.not_reached.extend(hostless_domains);
        coverage.in_force.sort_unstable();
        coverage.not_reached.sort_unstable();
        coverage
    }

    /// Waits until a revision is in force in all failure domains, or until `COVERAGE_TIMEOUT` has passed, and returns the
    /// coverage reached by then. Members whose heartbeats do not report the revision yet are queried directly, because
    /// heartbeats between two hosts are rare.
    pub async fn wait_until_in_force(
        peers: &Arc<dyn PeerCaller>,
        domains: &[DomainId],
        revision: Revision,
    ) -> Self {
        let deadline = Instant::now() + COVERAGE_TIMEOUT;
        let mut confirmed_hosts = IndexSet::new();
        loop {
            let view = peers.members();
            let coverage = Self::from_members(&view, domains, revision, &confirmed_hosts);
            if coverage.not_reached.is_empty() || Instant::now() >= deadline {
                return coverage;
            }
            let pause = tokio::time::sleep(QUERY_INTERVAL);
            let (newly_confirmed, ()) =
                tokio::join!(query_members(peers, &view, revision, &confirmed_hosts), pause);
            confirmed_hosts.extend(newly_confirmed);
        }
    }
}

fn has_revision(
    member: &MemberEntry,
    revision: Revision,
    confirmed_hosts: &IndexSet<HostId>,
) -> bool {
    member.revision >= revision || confirmed_hosts.contains(&member.host)
}

/// Queries members that have not reported the revision, and returns those that have it in force now. Members that
/// fail to answer in time are left out.
async fn query_members(
    peers: &Arc<dyn PeerCaller>,
    view: &MemberView,
    revision: Revision,
    confirmed_hosts: &IndexSet<HostId>,
) -> Vec<HostId> {
    let unconfirmed_members = view
        .members
        .iter()
        .filter(|member| member.health != MemberHealth::Gone)
        .filter(|member| !has_revision(member, revision, confirmed_hosts))
        .take(MAX_QUERIED_MEMBERS);
    let calls = unconfirmed_members.map(|member| async {
        let request = PeerRequest::PullChanges { after: revision };
        match peers.call(&member.host, request, QUERY_TIMEOUT).await {
            Ok(PeerReply::Changes { latest, .. }) if latest >= revision => {
                Some(member.host.clone())
            }
            _ => None,
        }
    });
    futures::future::join_all(calls).await.into_iter().flatten().collect()
}
