//! Decides whether the floor plan of this host's failure domain must change, and drafts the next one.

use std::time::Duration;

use coordination::floor_plan::FloorPlan;
use coordination::ids::HostId;
use coordination::ids::Incarnation;
use indexmap::IndexMap;

use crate::admission::OwnHost;
use crate::interface::MemberEntry;
use crate::interface::MemberHealth;
use crate::interface::MemberView;

/// Delay that a host adds for each live host of the domain with a smaller name, so that those write the plan first.
const WRITE_DELAY_STEP: Duration = Duration::from_secs(2);

/// Returns the plan that should follow the known one, or `None` if that may stay. `is_settled` says that the known plan
/// has been known here for a lender's lease term, so that loans of its dead hosts have ended and are not carried on.
pub(crate) fn draft_plan(
    known: Option<&FloorPlan>,
    own: &OwnHost,
    members: &MemberView,
    is_settled: bool,
) -> Option<FloorPlan> {
    let holders = desired_holders(known, own, members);
    if holders.is_empty() {
        return None;
    }
    let Some(known) = known else {
        return Some(FloorPlan::first(own.failure_domain.clone(), holders));
    };
    let is_dead = |host: &str, incarnation| is_dead(members, host, incarnation);
    let has_dead_awaited = known
        .awaited
        .iter()
        .any(|(host, incarnation)| is_dead(host, *incarnation) && !known.gone.contains_key(host));
    let has_shrunk = |host: &str, incarnation| {
        members.member(host).is_some_and(|member| {
            member.incarnation == incarnation && member.plan_shrunk >= known.epoch
        })
    };
    // The plan is written while a leaving host can still report that it released everything. Once that host has
    // ended, the others must wait for a lease term instead.
    let has_handed_over =
        known.awaited.iter().any(|(host, incarnation)| has_shrunk(host, *incarnation));
    if holders == known.holders && !has_dead_awaited && !has_handed_over {
        return None;
    }
    Some(known.successor(holders, is_dead, has_shrunk, is_settled))
}

/// Time that this host waits before it writes a plan. The live host with the smallest name in the domain writes at once.
pub(crate) fn write_delay(own: &OwnHost, members: &MemberView) -> Duration {
    let earlier = members.members.iter().filter(|member| {
        member.failure_domain == own.failure_domain
            && member.health == MemberHealth::Live
            && member.host < own.host
    });
    WRITE_DELAY_STEP * u32::try_from(earlier.count()).unwrap_or(u32::MAX)
}

/// Returns the live hosts of the domain, and the current holders that are silent but not proved dead.
fn desired_holders(
    known: Option<&FloorPlan>,
    own: &OwnHost,
    members: &MemberView,
) -> IndexMap<HostId, Incarnation> {
    let mut holders: IndexMap<_, _> = members
        .members
        .iter()
        .filter(|member| member.failure_domain == own.failure_domain && member.incarnation > 0)
        .filter(|member| match member.health {
            MemberHealth::Live => true,
            MemberHealth::Suspect => is_current_holder(known, member),
            MemberHealth::Leaving | MemberHealth::Gone => false,
        })
        .map(|member| (member.host.clone(), member.incarnation))
        .collect();
    let is_unseen = |host: &str, incarnation| {
        members.member(host).is_none_or(|member| member.incarnation < incarnation)
    };
    let known_holders = known.into_iter().flat_map(|plan| &plan.holders);
    for (host, incarnation) in
        known_holders.filter(|(host, incarnation)| is_unseen(host, **incarnation))
    {
        if !is_dead(members, host, *incarnation) {
            holders.insert(host.clone(), *incarnation);
        }
    }
    holders.sort_unstable_keys();
    holders
}

fn is_current_holder(known: Option<&FloorPlan>, member: &MemberEntry) -> bool {
    known.is_some_and(|plan| plan.holders.get(&member.host) == Some(&member.incarnation))
}

/// Whether a process is proved dead: its host is gone, or runs a later incarnation.
fn is_dead(members: &MemberView, host: &str, incarnation: Incarnation) -> bool {
    members.member(host).is_some_and(|member| {
        let is_gone = member.health == MemberHealth::Gone && member.incarnation <= incarnation;
        is_gone || member.incarnation > incarnation
    })
}
