use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;

use super::host_directory::HostDirectory;
use super::*;
use crate::callers::SteerAnswer;
use crate::callers::SteerHost;
use crate::configuration::ConfigurationCell;
use crate::configuration::ConfigurationState;
use crate::configuration::DrainScope;
use crate::interface::ConfigChange;
use crate::interface::MemberEntry;
use crate::interface::MemberHealth;
use crate::interface::MemberView;
use crate::interface::SteerLookup;
use crate::interface::SteerSource;
use crate::interface::TargetWeights;

const DOMAINS: [(&str, &str); 4] = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];

fn wall_time(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000 + seconds)
}

fn put_object(state: &mut ConfigurationState, object: Value) {
    state.put(serde_json::from_value(object).unwrap());
    state.revision += 1;
}

/// Four failure domains of two targets with four slots each, in two regions, with a shift cap of 20 % per minute.
fn state() -> ConfigurationState {
    let mut state = ConfigurationState::default();
    put_object(&mut state, json!({ "kind": "service", "name": "s", "hosts": ["s"], "routes": [] }));
    put_object(
        &mut state,
        json!({ "kind": "profile", "name": "p", "shift_cap_percent_per_minute": 20.0 }),
    );
    put_object(
        &mut state,
        json!({ "kind": "assignment", "name": "s", "service": "s", "profile": "p" }),
    );
    for (domain, region) in DOMAINS {
        put_object(&mut state, json!({ "kind": "domain", "name": domain, "region": region }));
        for number in 1..=2 {
            put_object(
                &mut state,
                json!({
                    "kind": "target", "name": format!("{domain}-{number}"), "service": "s",
                    "failure_domain": domain, "address": "127.0.0.1:1", "slots": 4,
                }),
            );
        }
    }
    state
}

fn apply_change(state: &mut ConfigurationState, change: DrainChange) {
    for change in change.changes {
        match change {
            ConfigChange::Put { object } => state.put(object),
            ConfigChange::Remove { kind, name } => assert!(state.remove(&kind, &name)),
        }
    }
    state.revision += 1;
}

fn plan_at(state: &ConfigurationState, seconds: u64) -> SteeringPlan {
    SteeringPlan::new(state, "a1", &mut IndexMap::new(), Instant::now(), wall_time(seconds))
}

fn drain(state: &mut ConfigurationState, scope: DrainScope, name: &str, seconds: u64) {
    apply_change(state, DrainChange::start(state, scope, name, None, wall_time(seconds)).unwrap());
}

fn undrain(state: &mut ConfigurationState, scope: DrainScope, name: &str, seconds: u64) {
    apply_change(state, DrainChange::end(state, scope, name, wall_time(seconds)).unwrap());
}

fn target_steering(plan: SteeringPlan) -> TargetSteering {
    TargetSteering::new("a1".into(), Arc::new(ArcSwap::from_pointee(plan)))
}

#[test]
fn drained_target_gets_weight_zero_immediately() {
    let mut state = state();
    drain(&mut state, DrainScope::Target, "a1-1", 0);
    let steering = target_steering(plan_at(&state, 0));
    assert_eq!(steering.weight("a1-1", Instant::now()), 0.0);
    assert_eq!(steering.weight("a1-2", Instant::now()), 1.0);
    undrain(&mut state, DrainScope::Target, "a1-1", 1);
    assert!(state.drains.is_empty());
}

#[test]
fn unknown_target_has_weight_zero() {
    assert_eq!(target_steering(plan_at(&state(), 0)).weight("x", Instant::now()), 0.0);
}

#[test]
fn drained_region_shifts_within_the_cap_and_back() {
    let mut state = state();
    drain(&mut state, DrainScope::Region, "a", 0);
    let weight = |state: &ConfigurationState, domain: &str, seconds: u64| {
        plan_at(state, seconds).position("s", domain).traffic_weight()
    };
    assert!((weight(&state, "a1", 30) - 0.6).abs() < 1e-6);
    assert!(weight(&state, "a1", 150) == 0.0 && weight(&state, "a2", 150) == 0.0);
    assert_eq!(target_steering(plan_at(&state, 75)).weight("a1-1", Instant::now()), 0.0);
    undrain(&mut state, DrainScope::Region, "a", 60);
    let before = weight(&state, "a1", 60);
    assert!((before - 0.2).abs() < 1e-6, "{before}");
    assert!((weight(&state, "a1", 90) - 0.6).abs() < 1e-6);
    assert_eq!(weight(&state, "a1", 120), 1.0);
    drain(&mut state, DrainScope::Domain, "b1", 300);
    assert_eq!(state.drains.len(), 1, "the completed order was kept: {:?}", state.drains);
}

#[test]
fn restarted_drain_continues_from_the_current_position() {
    let mut state = state();
    drain(&mut state, DrainScope::Domain, "a1", 0);
    undrain(&mut state, DrainScope::Domain, "a1", 60);
    drain(&mut state, DrainScope::Domain, "a1", 75);
    let position = plan_at(&state, 75).position("s", "a1").value();
    assert!((position - 0.4).abs() < 1e-6, "{position}");
}

#[test]
fn scheduled_drain_starts_at_its_start_time() {
    let mut state = state();
    let start = humantime::format_rfc3339_seconds(wall_time(0)).to_string();
    let by = humantime::format_rfc3339_seconds(wall_time(600)).to_string();
    let drain = json!({ "scope": "domain", "name": "a1", "start": start, "by": by });
    put_object(&mut state, json!({ "kind": "profile", "name": "p", "schedule": [drain] }));
    assert_eq!(plan_at(&state, 0).position("s", "a1").value(), 1.0);
    assert_eq!(plan_at(&state, 75).position("s", "a1").traffic_weight(), 0.0);
}

#[test]
fn drain_that_cannot_meet_its_deadline_is_refused_with_the_time_it_needs() {
    let mut state = state();
    let deadline_at = |seconds: u64| Some((1_800_000_000 + seconds) * 1_000);
    let late = DrainChange::start(&state, DrainScope::Region, "a", deadline_at(149), wall_time(0))
        .unwrap_err();
    assert!(late.to_string().contains("at least 150 s at a cap of 20 % per minute"), "{late}");
    let change =
        DrainChange::start(&state, DrainScope::Region, "a", deadline_at(150), wall_time(0))
            .unwrap();
    apply_change(&mut state, change);
    let next = DrainChange::start(&state, DrainScope::Domain, "b1", deadline_at(100), wall_time(0))
        .unwrap();
    assert_eq!(next.warnings.len(), 1, "{:?}", next.warnings);
    let all = DrainChange::start(&state, DrainScope::Region, "b", deadline_at(9_000), wall_time(0))
        .unwrap_err();
    assert!(all.to_string().contains("no failure domain is left"), "{all}");
    let none = DrainChange::end(&state, DrainScope::Region, "b", wall_time(0)).unwrap_err();
    assert!(matches!(none, DrainRefusal::NotDrained { .. }));
    let none = DrainChange::start(&state, DrainScope::Domain, "x", None, wall_time(0)).unwrap_err();
    assert!(matches!(none, DrainRefusal::Unknown { .. }));
}

#[test]
fn drain_status_shows_progress_and_delay_causes() {
    let mut state = state();
    drain(&mut state, DrainScope::Domain, "a1", 0);
    drain(&mut state, DrainScope::Domain, "b1", 0);
    let statuses = drain_statuses(&state, wall_time(30));
    let status_of = |name: &str| statuses.iter().find(|status| &*status.name == name).unwrap();
    assert!((status_of("domain/a1").services[0].moved_percent - 40.0).abs() < 1e-6);
    assert_eq!(status_of("domain/b1").services[0].hold_ups, ["the cap is used by a1 first".into()]);
}

fn member(host: &str, domain: &str, region: &str, health: MemberHealth) -> MemberEntry {
    let port =
        host.bytes().fold(7_u16, |port, byte| port.wrapping_mul(31).wrapping_add(byte.into()));
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    MemberEntry {
        host: host.into(),
        incarnation: 1,
        failure_domain: domain.into(),
        region: region.into(),
        callers: Some(address),
        mesh: address,
        health,
        revision: 1,
        heard_ago: None,
        plan_shrunk: 0,
        store_reached: true,
        confirmation_age: None,
    }
}

/// Steering of a host that knows two hosts in each failure domain; the second one has the given health.
fn caller_steering(
    state: &ConfigurationState,
    seconds: u64,
    second: MemberHealth,
) -> CallerSteering {
    let own = SteerHost {
        address: "127.0.0.1:9".parse().unwrap(),
        failure_domain: "a1".into(),
        region: "a".into(),
    };
    let cell = ConfigurationCell::new();
    cell.replace_if_newer(Arc::new(state.clone()));
    let plan = Arc::new(ArcSwap::from_pointee(plan_at(state, seconds)));
    let steering = CallerSteering::new(own, cell, plan);
    let mut members = Vec::new();
    for (domain, region) in DOMAINS {
        members.push(member(&format!("{domain}-x"), domain, region, MemberHealth::Live));
        members.push(member(&format!("{domain}-y"), domain, region, second));
    }
    steering.set_members(&MemberView { members });
    steering
}

fn answer_for(steering: &CallerSteering, caller: u32) -> SteerAnswer {
    let caller = std::net::Ipv4Addr::from(caller << 8).into();
    steering.steer(&SteerLookup { service: Some("s".into()), caller })
}

/// Share of 2,000 blocks for which a host of each failure domain comes first in the answer.
fn first_host_shares(steering: &CallerSteering) -> IndexMap<Box<str>, f64> {
    let mut shares: IndexMap<Box<str>, f64> = IndexMap::new();
    for block in 0..2_000 {
        let first = answer_for(steering, block * 7 + 1).hosts.swap_remove(0);
        *shares.entry(first.failure_domain).or_default() += 1.0 / 2_000.0;
    }
    shares
}

#[test]
fn callers_are_spread_over_domains_and_get_the_same_answer_from_every_host() {
    let state = state();
    let steering = caller_steering(&state, 0, MemberHealth::Live);
    let shares = first_host_shares(&steering);
    assert!(shares.values().all(|share| (0.21..0.29).contains(share)), "{shares:?}");
    let other = caller_steering(&state, 0, MemberHealth::Live);
    for block in 0..100 {
        let answer = answer_for(&steering, 90_000 + block);
        assert_eq!(answer, answer_for(&other, 90_000 + block));
        assert_ne!(answer.hosts[0].failure_domain, answer.hosts[1].failure_domain);
    }
}

#[test]
fn leaving_hosts_are_never_in_an_answer() {
    let steering = caller_steering(&state(), 0, MemberHealth::Leaving);
    for block in 0..200 {
        let answer = answer_for(&steering, block);
        let is_live = |host: &SteerHost| {
            DOMAINS.iter().any(|(domain, region)| {
                let live = member(&format!("{domain}-x"), domain, region, MemberHealth::Live);
                Some(host.address) == live.callers
            })
        };
        assert!(answer.hosts.iter().all(is_live), "{answer:?}");
    }
}

#[test]
fn suspect_hosts_are_listed_only_in_domains_without_live_hosts() {
    let members = vec![
        member("x", "a1", "a", MemberHealth::Live),
        member("y", "a1", "a", MemberHealth::Suspect),
        member("z", "a2", "a", MemberHealth::Suspect),
    ];
    let directory = HostDirectory::new(&MemberView { members });
    assert_eq!(directory.domains["a1"].hosts.len(), 1);
    assert_eq!(directory.domains["a2"].hosts.len(), 1);
}

#[test]
fn host_without_known_members_answers_with_itself() {
    let steering = caller_steering(&state(), 0, MemberHealth::Live);
    steering.set_members(&MemberView::default());
    assert_eq!(answer_for(&steering, 1).hosts.len(), 1);
}

#[test]
fn drained_domain_loses_callers_after_its_targets_are_free() {
    let mut state = state();
    drain(&mut state, DrainScope::Domain, "a1", 0);
    let share = |seconds: u64| {
        let shares = first_host_shares(&caller_steering(&state, seconds, MemberHealth::Live));
        shares.get("a1").copied().unwrap_or_default()
    };
    assert!((0.21..0.29).contains(&share(75)));
    let half = share(75 + 38);
    assert!((0.10..0.18).contains(&half), "{half}");
    assert_eq!(share(151), 0.0);
}

#[test]
fn block_with_many_lookups_is_spread_over_hosts() {
    let steering = caller_steering(&state(), 0, MemberHealth::Live);
    let mut firsts: IndexMap<SocketAddr, u32> = IndexMap::new();
    for _ in 0..400 {
        *firsts.entry(answer_for(&steering, 5).hosts[0].address).or_default() += 1;
    }
    assert_eq!(firsts.len(), 8, "{firsts:?}");
    assert!(firsts.values().all(|count| *count < 150), "{firsts:?}");
}

#[test]
fn block_in_a_group_is_sent_to_the_groups_regions() {
    let mut state = state();
    put_object(&mut state, json!({ "kind": "group", "name": "south", "regions": ["b"] }));
    put_object(&mut state, json!({ "kind": "block", "name": "0.0.0.0/1", "group": "south" }));
    let steering = caller_steering(&state, 0, MemberHealth::Live);
    for block in 0..50 {
        assert_eq!(&*answer_for(&steering, block).hosts[0].region, "b");
    }
    assert!(state.remove("block", "0.0.0.0/1"));
    assert!(state.blocks.is_empty());
}
