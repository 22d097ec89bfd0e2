//! Limits that targets state over the requests of all hosts: the sum over hosts, at several sizes of the fleet.

#![allow(clippy::unwrap_used)]

mod support {
    pub mod fleet_parts;
    pub mod limit_model;
}

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::LimitChange;
use coordination::fleet::LimitReport;
use coordination::fleet::PlacementRefusal;
use coordination::fleet::TargetLimit;

use support::fleet_parts::TestRequest;
use support::fleet_parts::balancer;
use support::fleet_parts::entry;
use support::limit_model::LimitCase;
use support::limit_model::LimitModel;

/// Seeds played for each case with up to `SMALL_FLEET` hosts; larger ones are played once.
const SEEDS: u64 = 3;
const SMALL_FLEET: usize = 10;
/// Largest share of a region's requests that may change the region in which they run from one window to the next.
const MAX_SHIFT: f64 = 0.15;
/// Seeds played for each case of shifts, with up to `SMALL_FLEET` hosts and with more.
const SHIFT_SEEDS: (u64, u64) = (40, 2);
/// Time for which each limit is in force.
const LIMIT_TIME: Duration = Duration::from_secs(12);
/// Longest time after its end for which hosts keep to a limit, also of a target that gets no requests.
const LIMIT_FORGOTTEN_TIME: Duration = Duration::from_secs(35);

macro_rules! fleets {
    ($($name:ident: $case:expr => used $used:literal, refused $refused:literal;)*) => {
        $(#[test] fn $name() { check_seeds($case, $used, $refused); })*
    };
}

fleets! {
    two_limited_targets_of_ten_hosts_keep_their_limit: LimitCase {
        hosts: 10, targets: 12, limited: 2, slots: 6, rate: 3.7, host_load: 15.0, restart_pause: None,
    } => used 0.5, refused 0.02;
    a_limit_below_one_a_second_is_kept_by_ten_hosts: LimitCase {
        hosts: 10, targets: 12, limited: 2, slots: 6, rate: 0.7, host_load: 15.0, restart_pause: None,
    } => used 0.5, refused 0.02;
    limits_are_kept_while_hosts_restart: LimitCase {
        hosts: 10, targets: 12, limited: 4, slots: 6, rate: 4.0, host_load: 15.0,
        restart_pause: Some(Duration::from_millis(1_500)),
    } => used 0.25, refused 0.02;
    a_third_of_the_targets_of_sixty_hosts_keep_their_limit: LimitCase {
        hosts: 60, targets: 90, limited: 30, slots: 6, rate: 2.0, host_load: 8.0,
        restart_pause: Some(Duration::from_secs(2)),
    } => used 0.0, refused 0.02;
    a_fleet_of_sixty_hosts_uses_a_service_whose_targets_all_have_limits: LimitCase {
        hosts: 60, targets: 90, limited: 90, slots: 1, rate: 5.0, host_load: 10.0, restart_pause: None,
    } => used 0.5, refused 0.5;
    forty_limited_targets_of_a_hundred_and_ninety_five_hosts_keep_their_limit: LimitCase {
        hosts: 195, targets: 120, limited: 40, slots: 6, rate: 2.5, host_load: 4.0, restart_pause: None,
    } => used 0.0, refused 0.02;
}

fn check_seeds(case: LimitCase, min_used: f64, max_refused: f64) {
    let seeds = if case.hosts > SMALL_FLEET { 1 } else { SEEDS };
    (0..seeds).for_each(|seed| check_fleet(case, min_used, max_refused, seed));
}

/// Plays limits that are named, changed and lifted, and counts as the targets do. At least `min_used` of the limit is used,
/// and at most `max_refused` of the requests are refused.
fn check_fleet(case: LimitCase, min_used: f64, max_refused: f64, seed: u64) {
    let mut model = LimitModel::new(case, seed);
    model.play(Duration::from_secs(3));
    for rate in [case.rate, case.rate * 1.5] {
        model.set_limit(Some(rate));
        model.play(LIMIT_TIME);
        let (requests, checks) = model.busiest_window();
        let allowed = rate * 4.0 * 1.5 + 5.0;
        assert!(requests as f64 <= allowed, "{requests} requests, allowed {allowed}, seed {seed}");
        assert!(checks > 0, "no request was counted");
        let used = model.told_rate() / rate;
        assert!(used >= min_used, "{used} of the limit used, seed {seed}");
        let refused = model.refused_share();
        println!(
            "{requests} of {allowed} requests, {checks} checks, {used:.2} used, {refused:.3} refused"
        );
        assert!(refused <= max_refused, "{refused} of the requests refused, seed {seed}");
    }
    model.set_limit(None);
    model.play(LIMIT_FORGOTTEN_TIME);
    let senders = model.senders();
    assert!(senders > 2, "{senders} hosts send to a target whose limit was lifted, seed {seed}");
}

macro_rules! shifts {
    ($($(#[$attribute:meta])* $name:ident: $case:expr;)*) => {
        $($(#[$attribute])* #[test] fn $name() { check_shifts($case); })*
    };
}

shifts! {
    /// With no room left inside, requests went outside at once, whatever the share that may change.
    limits_of_all_targets_of_a_service_move_requests_of_ten_hosts_slowly: LimitCase {
        hosts: 10, targets: 12, limited: 12, slots: 12, rate: 20.0, host_load: 50.0, restart_pause: None,
    };
    limits_of_a_third_of_the_targets_move_requests_of_sixty_hosts_slowly: LimitCase {
        hosts: 60, targets: 90, limited: 30, slots: 4, rate: 4.0, host_load: 20.0, restart_pause: None,
    };
    limits_of_a_third_of_the_targets_move_requests_of_a_large_fleet_slowly: LimitCase {
        hosts: 195, targets: 120, limited: 40, slots: 4, rate: 2.0, host_load: 8.0, restart_pause: None,
    };
}

/// Plays limits that are named and lifted, and compares where the requests of each region run in windows of two seconds.
fn check_shifts(case: LimitCase) {
    let seeds = if case.hosts > SMALL_FLEET { SHIFT_SEEDS.1 } else { SHIFT_SEEDS.0 };
    for seed in 0..seeds {
        let mut model = LimitModel::new(case, seed);
        model.play(Duration::from_secs(6));
        for limit in [Some(case.rate), None] {
            model.set_limit(limit);
            model.play(Duration::from_secs(10));
        }
        let (shift, checks) = model.largest_shift();
        println!("largest shift {shift:.2} of {checks}, seed {seed}");
        assert!(shift <= MAX_SHIFT, "{shift:.2} of a region's requests, seed {seed}");
    }
}

macro_rules! cases {
    ($($name:ident: $check:expr;)*) => { $(#[test] fn $name() { $check(Instant::now()); })* };
}

fn report(target: &str, rate: Option<f64>, age_ms: u32) -> LimitReport {
    LimitReport { target: target.into(), rate, age_ms }
}

cases! {
    a_limit_reported_by_another_host_closes_the_target_at_once: |now| {
        let mut balancer = balancer("h1", "d1", "r1", now);
        let home = TestRequest::for_object(3).choose_target(&mut balancer.clone(), now).unwrap().target;
        let changes = balancer.merge_limit_reports(&[report(&home, Some(2.0), 300)], now).len();
        assert_eq!(changes, 1);
        let choice = TestRequest::for_object(3).choose_target(&mut balancer, now).unwrap();
        assert_ne!(choice.target, home);
    };
    an_older_report_does_not_replace_what_the_target_said: |now: Instant| {
        let mut balancer = balancer("h1", "d1", "r1", now);
        assert_eq!(balancer.record_limit("t1", None, now), LimitChange::Same);
        assert!(balancer.merge_limit_reports(&[report("t1", Some(2.0), 100)], now).is_empty());
        assert_eq!(balancer.limited_targets(), 0);
    };
    a_lifted_limit_is_reported: |now: Instant| {
        let mut balancer = balancer("h1", "d1", "r1", now);
        balancer.record_limit("t1", Some(2.0), now);
        assert_eq!(balancer.record_limit("t1", None, now), LimitChange::Lifted);
        assert_eq!(balancer.limit_reports(now), [report("t1", None, 0)]);
        assert!(balancer.limit_reports(now + Duration::from_secs(11)).is_empty());
    };
    a_restarted_target_has_no_limit_and_ignores_reports_from_before: |now: Instant| {
        let mut balancer = balancer("h1", "d1", "r1", now);
        balancer.record_limit("t1", Some(2.0), now);
        let later = now + Duration::from_secs(1);
        let mut restarted = entry("t1", "d1", "r1");
        restarted.started_at = 2;
        balancer.upsert_target(restarted, later);
        balancer.merge_limit_reports(&[report("t1", Some(2.0), 500)], later);
        assert_eq!(balancer.limited_targets(), 0);
    };
    a_limit_of_zero_is_asked_again_now_and_then: |now: Instant| {
        let mut limit = TargetLimit::restarted(now);
        limit.record_statement(Some(0.0), now);
        assert!(!limit.may_send(now));
        assert!(limit.wait(now) <= Duration::from_secs(1));
    };
    requests_that_only_limits_keep_back_are_refused_with_a_wait: |now: Instant| {
        let mut balancer = balancer("h1", "d1", "r1", now);
        for number in 1..=12 {
            balancer.record_limit(&format!("t{number}"), Some(4.0), now);
        }
        let refusal = TestRequest::for_object(3).choose_target(&mut balancer, now).unwrap_err();
        assert!(matches!(refusal, PlacementRefusal::Limited { wait } if !wait.is_zero()), "{refusal:?}");
        let later = now + Duration::from_secs(1);
        assert!(TestRequest::for_object(3).choose_target(&mut balancer, later).is_ok());
    };
}
