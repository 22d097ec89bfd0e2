use std::net::SocketAddr;

use coordination::floor_plan::FloorPlan;

use crate::admission::OwnHost;
use crate::admission::plan_draft::draft_plan;
use crate::interface::MemberEntry;
use crate::interface::MemberHealth;
use crate::interface::MemberView;

fn member(host: &str, incarnation: u64, health: MemberHealth) -> MemberEntry {
    MemberEntry {
        host: host.into(),
        incarnation,
        failure_domain: "a".into(),
        region: "north".into(),
        callers: None,
        mesh: SocketAddr::from(([127, 0, 0, 1], 1)),
        health,
        revision: 0,
        heard_ago: None,
        plan_shrunk: 0,
        store_reached: true,
        confirmation_age: None,
    }
}

macro_rules! draft_cases {
    ($($name:ident: $incarnation:expr, $health:ident => $wanted:expr;)*) => {
        $(
            /// Checks the holders that `ben` drafts if `ana`, a holder with incarnation 5, has this incarnation and health.
            #[test]
            fn $name() {
                let own = OwnHost {
                    host: "ben".into(),
                    incarnation: 7,
                    failure_domain: "a".into(),
                    region: "north".into(),
                };
                let holders = [("ana".into(), 5), ("ben".into(), 7)].into();
                let plan = FloorPlan::first("a".into(), holders);
                let members = vec![
                    member("ana", $incarnation, MemberHealth::$health),
                    member("ben", 7, MemberHealth::Live),
                ];
                let draft = draft_plan(Some(&plan), &own, &MemberView { members }, true);
                let wanted: Option<Vec<(&str, u64)>> = $wanted;
                let found = draft.as_ref().map(|plan| {
                    plan.holders
                        .iter()
                        .map(|(host, incarnation)| (&**host, *incarnation))
                        .collect::<Vec<_>>()
                });
                assert_eq!(found, wanted);
            }
        )*
    };
}

draft_cases! {
    a_live_holder_stays: 5, Live => None;
    a_silent_holder_stays: 5, Suspect => None;
    a_listed_holder_that_was_never_heard_stays: 0, Suspect => None;
    a_leaving_holder_goes: 5, Leaving => Some(vec![("ben", 7)]);
    a_dead_holder_goes: 5, Gone => Some(vec![("ben", 7)]);
    a_later_incarnation_replaces_the_earlier_one: 6, Live => Some(vec![("ana", 6), ("ben", 7)]);
}

/// Returns the plan that `ben` drafts while `ana` is leaving, is awaited and has released its floors up to an epoch.
fn draft_with_leaving_holder(shrunk: u64) -> Option<FloorPlan> {
    let own = OwnHost {
        host: "ben".into(),
        incarnation: 7,
        failure_domain: "a".into(),
        region: "north".into(),
    };
    let first = FloorPlan::first("a".into(), [("ana".into(), 5), ("ben".into(), 7)].into());
    let plan = first.successor([("ben".into(), 7)].into(), |_, _| false, |_, _| false, false);
    let mut ana = member("ana", 5, MemberHealth::Leaving);
    ana.plan_shrunk = shrunk;
    let members = vec![ana, member("ben", 7, MemberHealth::Live)];
    draft_plan(Some(&plan), &own, &MemberView { members }, false)
}

#[test]
fn a_leaving_host_that_released_all_floors_is_no_longer_awaited() {
    let plan = draft_with_leaving_holder(2).unwrap();
    assert!(plan.awaited.is_empty() && plan.gone.is_empty());
}

#[test]
fn a_leaving_host_that_still_holds_floors_is_awaited() {
    assert_eq!(draft_with_leaving_holder(1), None);
}
