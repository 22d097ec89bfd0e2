//! Where the requests of a region run changes slowly, whatever takes room from its targets or gives it back.

#![allow(clippy::unwrap_used)]

mod support {
    pub mod fleet_parts;
    pub mod shift_model;
}

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::PlacementRefusal;
use coordination::fleet::TargetBalancer;
use coordination::fleet::TargetState;

use support::fleet_parts::TestRequest;
use support::fleet_parts::balancer;
use support::fleet_parts::entry;
use support::shift_model::NeighbourShares;
use support::shift_model::ShiftCase;
use support::shift_model::ShiftModel;
use support::shift_model::TargetTrouble;

/// Largest share of a region's requests that may change the region in which they run from one window of two seconds to the
/// next (`max_region_shift`).
const MAX_SHIFT: f64 = 0.15;
const TIME_BEFORE: Duration = Duration::from_secs(8);
const TIME_AFTER: Duration = Duration::from_secs(22);
const SEEDS: u64 = 1;

/// A third of the hosts and targets in each region, at 44, 65 and 87% of the slots.
const CALM: ShiftCase = ShiftCase {
    hosts: 30,
    targets: [18, 18, 18],
    slots: 4,
    load: 0.44,
    trouble: TargetTrouble::None,
    region: 0,
    share: 1.0,
    second: None,
    burst: 1.0,
    shares: NeighbourShares::Current,
};
const BUSY: ShiftCase = ShiftCase { load: 0.65, ..CALM };
const FULL: ShiftCase = ShiftCase { load: 0.87, ..CALM };

/// A region with a tenth of the targets, whose callers run mostly in the others.
const UNEVEN: ShiftCase = ShiftCase { targets: [6, 24, 24], load: 0.55, ..CALM };

/// Callers of one region triple and need half as much again as its targets have, while the other regions use half of theirs.
const BURST: ShiftCase =
    ShiftCase { load: 0.5, burst: 3.0, shares: NeighbourShares::Reported, ..CALM };

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn play(case: ShiftCase, seed: u64) -> (f64, f64, f64) {
    let report = ShiftModel::new(case, seed).play(TIME_BEFORE, TIME_AFTER);
    println!("{:?}, {:.2} of the slots, {} hosts: {report:?}", case.trouble, case.load, case.hosts);
    assert!(report.checks > 0, "no window was compared");
    (report.shift.0, report.refused, report.refused_at_end)
}

fn check(case: ShiftCase, max_refused: f64) {
    for seed in 0..SEEDS {
        let (shift, refused, _) = play(case, seed);
        assert!(shift <= MAX_SHIFT, "{shift:.2} of a region's requests, seed {seed}");
        assert!(refused <= max_refused, "{refused:.2} of a region's requests refused, seed {seed}");
    }
}

macro_rules! shifts {
    ($($name:ident: $case:expr => refused $refused:literal;)*) => {
        $(#[test] fn $name() { check($case, $refused); })*
    };
}

shifts! {
    a_fleet_without_trouble_shifts_little: FULL => refused 0.02;
    limits_of_all_targets_of_a_busy_region_shift_slowly:
        ShiftCase { trouble: TargetTrouble::Limits(seconds(10)), ..BUSY } => refused 0.55;
    limits_of_a_third_of_a_full_region_shift_slowly:
        ShiftCase { trouble: TargetTrouble::Limits(seconds(10)), share: 0.3, ..FULL } => refused 0.1;
    pauses_of_all_targets_of_a_region_shift_slowly:
        ShiftCase { trouble: TargetTrouble::Pauses(seconds(4)), ..CALM } => refused 0.3;
    pauses_of_a_third_of_a_full_region_shift_slowly:
        ShiftCase { trouble: TargetTrouble::Pauses(seconds(4)), share: 0.3, ..FULL } => refused 0.1;
    half_of_the_targets_of_a_busy_region_that_leave_shift_slowly:
        ShiftCase { trouble: TargetTrouble::Leaving, share: 0.5, ..BUSY } => refused 0.1;
    a_fifth_of_the_targets_of_a_full_region_that_leave_shift_slowly:
        ShiftCase { trouble: TargetTrouble::Leaving, share: 0.2, ..FULL } => refused 0.1;
    a_fifth_of_a_full_region_that_is_gone_for_a_moment_shifts_slowly:
        ShiftCase { trouble: TargetTrouble::Gone, share: 0.2, ..FULL } => refused 0.1;
    one_lost_target_does_not_open_a_full_region:
        ShiftCase { trouble: TargetTrouble::Gone, share: 0.05, ..FULL } => refused 0.03;
    targets_that_crash_one_after_the_other_do_not_open_a_full_region:
        ShiftCase { trouble: TargetTrouble::Crashes(seconds(1)), share: 0.6, ..FULL } => refused 0.1;
    targets_replaced_under_their_names_do_not_open_a_full_region:
        ShiftCase { trouble: TargetTrouble::Restarts(Duration::from_millis(300)), share: 0.5, ..FULL } => refused 0.03;
    limits_of_a_region_that_serves_others_shift_slowly:
        ShiftCase { trouble: TargetTrouble::Limits(seconds(10)), region: 1, ..UNEVEN } => refused 0.6;
    pauses_of_a_third_of_a_region_that_serves_others_shift_slowly:
        ShiftCase { trouble: TargetTrouble::Pauses(seconds(4)), region: 1, share: 0.3, ..UNEVEN } => refused 0.1;
    half_of_a_region_that_serves_others_leaves_slowly:
        ShiftCase { trouble: TargetTrouble::Leaving, region: 1, share: 0.5, ..UNEVEN } => refused 0.1;
    targets_that_crash_in_a_region_that_serves_others_shift_little:
        ShiftCase { trouble: TargetTrouble::Crashes(seconds(1)), region: 1, share: 0.6, ..UNEVEN } => refused 0.1;
    a_closed_domain_of_a_busy_region_shifts_slowly:
        ShiftCase { trouble: TargetTrouble::Closed(seconds(8)), ..BUSY } => refused 0.15;
}

/// Share of a region's requests refused in `TIME_AFTER` if what runs outside grows at half the pace that the platform allows, where
/// callers ask for `demand` times what the region's targets can run.
fn refused_at_half_pace(demand: f64) -> f64 {
    let steps = TIME_AFTER.as_millis() as usize / 100;
    let refused_of = |step: usize| {
        let share = (MAX_SHIFT / 2.0 / 2.0 * step as f64 / 10.0).min(0.9);
        (1.0 - 1.0 / (1.0 - share) / demand).max(0.0)
    };
    (0..steps).map(refused_of).sum::<f64>() / steps as f64
}

macro_rules! bursts {
    ($($name:ident: $hosts:literal hosts, $targets:literal targets;)*) => {
        $(#[test] fn $name() {
            let case = ShiftCase { hosts: $hosts, targets: [$targets; 3], ..BURST };
            check(case, refused_at_half_pace(case.load * case.burst));
        })*
    };
}

bursts! {
    callers_in_a_burst_are_not_refused_beside_free_regions: 30 hosts, 18 targets;
    callers_in_a_burst_are_not_refused_in_a_small_fleet: 12 hosts, 8 targets;
    callers_in_a_burst_are_not_refused_in_a_large_fleet: 120 hosts, 47 targets;
}

/// Requests that are exchanged run cold and far away, and no caller more is served.
#[test]
fn regions_that_are_all_overloaded_do_not_exchange_requests() {
    for (hosts, targets) in [(12, 8), (30, 18)] {
        for load in [1.1, 1.5] {
            let case = ShiftCase { hosts, targets: [targets; 3], load, ..CALM };
            let report = ShiftModel::new(case, 0).play(TIME_BEFORE, TIME_AFTER);
            println!("{load:.2} of the slots, {hosts} hosts: {report:?}");
            assert!(report.outside_at_end <= 0.1, "{:.2} run outside", report.outside_at_end);
        }
    }
}

const TROUBLES: [(TargetTrouble, f64); 11] = [
    (TargetTrouble::Limits(Duration::from_secs(10)), 1.0),
    (TargetTrouble::Limits(Duration::from_secs(10)), 0.3),
    (TargetTrouble::Pauses(Duration::from_secs(4)), 1.0),
    (TargetTrouble::Pauses(Duration::from_secs(4)), 0.3),
    (TargetTrouble::Leaving, 0.5),
    (TargetTrouble::Leaving, 0.2),
    (TargetTrouble::Gone, 0.2),
    (TargetTrouble::Gone, 0.05),
    (TargetTrouble::Crashes(Duration::from_secs(1)), 0.6),
    (TargetTrouble::Restarts(Duration::from_millis(300)), 0.5),
    (TargetTrouble::Closed(Duration::from_secs(8)), 1.0),
];
/// Numbers of hosts, and targets in each region.
const SIZES: [(usize, usize); 3] = [(10, 8), (82, 47), (195, 60)];

/// Plays cases with several seeds each and prints the largest figures.
fn check_cases(cases: Vec<ShiftCase>, seeds: u64) {
    let mut broken = 0;
    for case in cases {
        let reports: Vec<_> = (0..seeds).map(|seed| play(case, seed)).collect();
        let shift = reports.iter().fold(0.0, |largest: f64, report| largest.max(report.0));
        let refused = reports.iter().fold(0.0, |largest: f64, report| largest.max(report.1));
        let ShiftCase { trouble, share, second, load, hosts, .. } = case;
        println!(
            "case: {hosts} hosts, {load:.2}, {trouble:?} {share} {second:?}: {shift:.2}, refused {refused:.3}"
        );
        broken += usize::from(shift > MAX_SHIFT);
    }
    assert_eq!(broken, 0, "cases that shift too much");
}

#[test]
#[ignore = "plays for minutes, in a release build"]
fn each_trouble_at_each_size_and_load_shifts_slowly() {
    let mut cases = Vec::new();
    for (hosts, targets) in SIZES {
        for load in [0.44, 0.65, 0.87] {
            for (trouble, share) in TROUBLES {
                let targets = [targets; 3];
                cases.push(ShiftCase { hosts, targets, load, trouble, share, ..CALM });
            }
        }
    }
    check_cases(cases, 4);
}

#[test]
#[ignore = "plays for minutes, in a release build"]
fn two_troubles_within_seconds_shift_slowly() {
    let mut cases = Vec::new();
    for (trouble, share) in TROUBLES {
        for (later, part) in TROUBLES {
            let second = Some((seconds(2), later, part));
            cases.push(ShiftCase { hosts: 24, trouble, share, second, ..BUSY });
        }
    }
    check_cases(cases, 2);
}

/// Without a target left inside, callers are served outside at once, beyond the share that may change.
#[test]
fn callers_of_a_region_that_lost_all_targets_are_served() {
    let (_, refused, refused_at_end) = play(ShiftCase { trouble: TargetTrouble::Lost, ..CALM }, 0);
    assert!(
        refused <= 0.1 && refused_at_end <= 0.02,
        "{refused:.2}, {refused_at_end:.2} at the end"
    );
}

/// Number of objects of which a balancer sends one outside the region `r1` while the targets of that region refuse.
fn objects_outside(balancer: &mut TargetBalancer, now: Instant) -> usize {
    for target in ["t1", "t2", "t7", "t8"] {
        balancer.record_limit(target, Some(0.5), now);
    }
    let placed =
        (0..100).map(|object| TestRequest::for_object(object).choose_target(balancer, now));
    placed
        .filter(|choice| choice.as_ref().is_ok_and(|choice| is_outside(&choice.failure_domain)))
        .count()
}

fn is_outside(domain: &str) -> bool {
    !matches!(domain, "d1" | "d2")
}

macro_rules! cases {
    ($($name:ident: $check:expr;)*) => { $(#[test] fn $name() { $check(Instant::now()); })* };
}

cases! {
    limits_alone_send_nothing_outside_at_once: |now| {
        let mut balancer = balancer("h1", "d1", "r1", now);
        TestRequest::for_object(1).choose_target(&mut balancer, now).unwrap();
        assert_eq!(objects_outside(&mut balancer, now), 0);
    };
    a_restart_under_the_same_name_is_no_loss: |now| {
        let mut balancer = balancer("h1", "d1", "r1", now);
        TestRequest::for_object(1).choose_target(&mut balancer, now).unwrap();
        for target in ["t1", "t7"] {
            let mut restarted = entry(target, "d1", "r1");
            restarted.started_at = 2;
            balancer.upsert_target(restarted, now);
        }
        assert_eq!(objects_outside(&mut balancer, now), 0);
    };
    targets_that_drain_before_they_go_are_no_loss: |now| {
        let mut balancer = balancer("h1", "d1", "r1", now);
        TestRequest::for_object(1).choose_target(&mut balancer, now).unwrap();
        for target in ["t1", "t7"] {
            let mut draining = entry(target, "d1", "r1");
            draining.state = TargetState::Draining;
            balancer.upsert_target(draining, now);
            balancer.remove_target(target, now);
        }
        assert_eq!(objects_outside(&mut balancer, now), 0);
    };
    half_of_a_region_lost_without_notice_opens_it: |now| {
        let mut balancer = balancer("h1", "d1", "r1", now);
        TestRequest::for_object(1).choose_target(&mut balancer, now).unwrap();
        balancer.remove_target("t1", now);
        balancer.remove_target("t7", now);
        assert!(objects_outside(&mut balancer, now) > 50);
    };
    a_region_whose_targets_all_leave_is_served_outside: |now| {
        let mut balancer = balancer("h1", "d1", "r1", now);
        TestRequest::for_object(1).choose_target(&mut balancer, now).unwrap();
        for target in ["t1", "t2", "t7", "t8"] {
            balancer.record_leaving(target, 1, now);
        }
        assert!(objects_outside(&mut balancer, now) > 50);
    };
    a_request_that_only_limits_inside_keep_back_is_told_so: |now| {
        let mut balancer = balancer("h1", "d1", "r1", now);
        TestRequest::for_object(1).choose_target(&mut balancer, now).unwrap();
        objects_outside(&mut balancer, now);
        let refusal = TestRequest::for_object(3).choose_target(&mut balancer, now).unwrap_err();
        assert!(matches!(refusal, PlacementRefusal::Limited { .. }), "{refusal:?}");
    };
}
