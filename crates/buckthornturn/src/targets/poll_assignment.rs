//! Assignment of hosts that poll each target.

use coordination::floor_plan::FloorPlan;
use coordination::floor_share::FloorKind;
use coordination::floor_share::floor_holder;
use coordination::ids::HostId;

use crate::interface::MemberHealth;
use crate::interface::MemberView;
use crate::steering::hash_text;
use crate::steering::mix_hashes;

/// Decides which hosts of a failure domain poll a target: the host that holds the target's slots, so that it stops
/// leasing them once the target drains, and one more, so that reports continue if either host fails.
pub struct PollAssignment<'a> {
    live_hosts: Vec<(&'a HostId, u64)>,
    plan: Option<&'a FloorPlan>,
}

impl<'a> PollAssignment<'a> {
    /// Creates the assignment for a failure domain from its live members and its floor plan. Without a plan two live
    /// members poll each target.
    pub fn new(domain: &str, members: &'a MemberView, plan: Option<&'a FloorPlan>) -> Self {
        let live_hosts = members
            .members
            .iter()
            .filter(|member| *member.failure_domain == *domain)
            .filter(|member| member.health == MemberHealth::Live)
            .map(|member| (&member.host, hash_text(&member.host)));
        Self { live_hosts: live_hosts.collect(), plan }
    }

    /// Hosts that poll a target, at most two: the holder of its slots first, then live hosts in hash order.
    pub fn pollers(&self, target: &str) -> Vec<HostId> {
        let holder = self.plan.and_then(|plan| floor_holder(plan, FloorKind::Slots, target));
        let others = self.live_hosts.iter().filter(|(host, _)| Some(*host) != holder);
        let mut others: Vec<_> = others.collect();
        let target_hash = hash_text(target);
        others.sort_by_key(|(_, host_hash)| mix_hashes(target_hash, *host_hash));
        let others = others.into_iter().map(|(host, _)| *host);
        holder.into_iter().chain(others).take(2).cloned().collect()
    }
}
