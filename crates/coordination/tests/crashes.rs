//! Requests that crash targets: how often they reach targets over all hosts, and what happens to others beside them.

#![allow(clippy::unwrap_used)]

mod support {
    pub mod crash_model;
}

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::CrashChange;
use coordination::fleet::CrashLedger;
use coordination::fleet::CrashVerdict;
use coordination::fleet::RequestFingerprint;
use coordination::fleet::RequestHead;
use coordination::fleet::TrialGrant;
use coordination::fleet::digest_body;
use coordination::fleet::select_crash_keepers;

use support::crash_model::CrashCase;
use support::crash_model::CrashModel;

/// Seeds played for each case with up to `SMALL_FLEET` hosts, and for larger ones.
const SEEDS: (u64, u64) = (8, 2);
const SMALL_FLEET: usize = 10;
const PLAY_TIME: Duration = Duration::from_secs(100);
const MAX_LATE_ARRIVALS: usize = 3;

macro_rules! fleets {
    ($($name:ident: $case:expr => refused $refused:literal;)*) => {
        $(#[test] fn $name() { check_seeds($case, $refused); })*
    };
}

const CALM: CrashCase = CrashCase {
    hosts: 10,
    crashing: 4,
    pause: Duration::from_millis(400),
    burst: 1,
    restart_pause: None,
    loss_pause: None,
};

fleets! {
    ten_hosts_keep_a_request_that_crashes_targets_from_them: CALM => refused 0.001;
    a_request_that_crashes_targets_comes_several_times_at_once: CrashCase {
        burst: 5, pause: Duration::from_secs(4), ..CALM
    } => refused 0.001;
    a_request_that_crashes_targets_comes_rarely: CrashCase {
        pause: Duration::from_secs(9), ..CALM
    } => refused 0.001;
    hosts_restart_while_requests_crash_targets: CrashCase {
        restart_pause: Some(Duration::from_secs(3)), ..CALM
    } => refused 0.001;
    popular_requests_are_not_refused_for_long_when_many_targets_end: CrashCase {
        hosts: 60, loss_pause: Some(Duration::from_secs(15)), ..CALM
    } => refused 0.02;
    sixty_hosts_keep_requests_that_crash_targets_from_them: CrashCase {
        hosts: 60, crashing: 8, restart_pause: Some(Duration::from_secs(2)), ..CALM
    } => refused 0.001;
    a_hundred_and_ninety_five_hosts_keep_requests_that_crash_targets_from_them: CrashCase {
        hosts: 195, crashing: 8, restart_pause: Some(Duration::from_secs(2)), ..CALM
    } => refused 0.001;
}

/// Plays a fleet with several seeds. At most `max_refused` of the harmless requests are refused.
fn check_seeds(case: CrashCase, max_refused: f64) {
    let seeds = if case.hosts > SMALL_FLEET { SEEDS.1 } else { SEEDS.0 };
    for seed in 0..seeds {
        let mut model = CrashModel::new(case, seed);
        model.play(PLAY_TIME);
        for (late, crashes) in model.late_arrivals() {
            assert!(crashes >= 3, "{crashes} crashes, seed {seed}");
            assert!(
                late <= MAX_LATE_ARRIVALS,
                "{late} late arrivals, {crashes} crashes, seed {seed}"
            );
        }
        let (others, refused) = model.others;
        let share = refused as f64 / others as f64;
        println!("{:?}, {refused} of {others} others refused, seed {seed}", model.late_arrivals());
        assert!(share <= max_refused, "{refused} of {others} others refused, seed {seed}");
    }
}

const REQUEST: RequestFingerprint = RequestFingerprint { head: 1, body: 2 };

macro_rules! cases {
    ($($name:ident: $check:expr;)*) => { $(#[test] fn $name() { $check(Instant::now()); })* };
}

/// Returns a ledger that knows of a number of crashes, half a second apart and the last one now.
fn ledger(crashes: u32, now: Instant) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for number in 0..crashes {
        let at = now - Duration::from_millis(500) * (crashes - 1 - number);
        ledger.record_crash(REQUEST, &format!("t{number}"), at);
    }
    ledger
}

cases! {
    crashes_that_different_hosts_saw_add_up: |now: Instant| {
        let mut keeper = CrashLedger::default();
        let changes = ["t1", "t2", "t3"].map(|target| {
            let report = CrashLedger::default().record_crash(REQUEST, target, now).unwrap();
            keeper.merge_report(&report, now)
        });
        assert_eq!(changes, [CrashChange::None, CrashChange::Noted, CrashChange::Refused]);
        assert_eq!(keeper.verdict(REQUEST, now), CrashVerdict::NeedsTrial);
    };
    copies_on_one_target_end_with_the_same_crash: |now: Instant| {
        let mut keeper = ledger(1, now);
        let later = now + Duration::from_millis(40);
        assert_eq!(keeper.record_crash(REQUEST, "t0", later), None);
        assert!(keeper.record_crash(REQUEST, "t0", now + Duration::from_secs(2)).is_some());
    };
    one_host_at_a_time_tries_a_refused_request: |now: Instant| {
        let mut keeper = ledger(3, now);
        assert_eq!(keeper.grant_trial(REQUEST, now), TrialGrant::Granted);
        assert!(matches!(keeper.grant_trial(REQUEST, now), TrialGrant::Refused { .. }));
        let later = now + Duration::from_secs(5);
        assert!(matches!(keeper.verdict(REQUEST, later), CrashVerdict::Refused { wait } if wait >= Duration::from_secs(20)));
        assert_eq!(keeper.verdict(REQUEST, now + Duration::from_secs(31)), CrashVerdict::NeedsTrial);
    };
    at_most_three_trials_are_granted_in_an_hour: |now: Instant| {
        let mut keeper = ledger(3, now);
        let granted = (0..3_500).filter(|second| {
            let at = now + Duration::from_secs(*second);
            keeper.prune(at);
            keeper.grant_trial(REQUEST, at) == TrialGrant::Granted
        });
        assert_eq!(granted.count(), 3);
    };
    an_answer_clears_a_request_at_all_hosts: |now: Instant| {
        let mut host = ledger(3, now);
        let mut other = host.clone();
        let later = now + Duration::from_millis(200);
        let report = host.record_answer(REQUEST, later).unwrap();
        assert_eq!(other.merge_report(&report, later), CrashChange::Cleared);
        assert_eq!(other.verdict(REQUEST, later), CrashVerdict::Trusted);
    };
    a_report_from_before_an_answer_changes_nothing: |now: Instant| {
        let mut host = ledger(3, now);
        let report = host.report(REQUEST, now);
        let later = now + Duration::from_millis(200);
        host.record_answer(REQUEST, later);
        let delayed = later + Duration::from_millis(1);
        let aged = coordination::fleet::CrashReport {
            crashes: report.crashes.iter().map(|(target, age)| (*target, age + 201)).collect(),
            ..report
        };
        assert_eq!(host.merge_report(&aged, delayed), CrashChange::None);
        assert_eq!(host.verdict(REQUEST, delayed), CrashVerdict::Trusted);
    };
    a_request_that_crashed_one_target_is_forgotten_after_a_minute: |now: Instant| {
        let mut host = ledger(1, now);
        host.prune(now + Duration::from_secs(61));
        assert!(!host.knows_head(REQUEST.head));
        let mut refused = ledger(3, now);
        refused.prune(now + Duration::from_secs(61));
        assert!(refused.knows_head(REQUEST.head));
    };
    a_restarted_host_learns_of_refused_requests: |now: Instant| {
        let mut restarted = CrashLedger::default();
        for report in ledger(3, now).reports(now) {
            restarted.merge_report(&report, now);
        }
        assert_eq!(restarted.refused_requests(), 1);
    };
    requests_that_differ_in_any_part_are_told_apart: |_| {
        let head = RequestHead { customer: Some("a"), method: "GET", host: "b", path: "/c" };
        let heads = [
            head,
            RequestHead { customer: None, ..head },
            RequestHead { method: "POST", ..head },
            RequestHead { host: "b/c", path: "", ..head },
            RequestHead { path: "/c?d", ..head },
        ];
        let digests: Vec<u64> = heads.iter().map(RequestHead::digest).collect();
        assert!((1..5).all(|number| !digests[..number].contains(&digests[number])));
        let whole: [&[u8]; 1] = [b"body"];
        let parts: [&[u8]; 2] = [b"bo", b"dy"];
        assert_eq!(digest_body(whole, Some(4)), digest_body(parts, Some(4)));
        assert_ne!(digest_body(whole, Some(4)), digest_body(whole, Some(5)));
    };
    keepers_are_two_and_do_not_depend_on_the_order_of_hosts: |_| {
        let keepers = select_crash_keepers(REQUEST, ["a", "b", "c"].into_iter());
        assert_eq!(keepers.len(), 2);
        assert_eq!(keepers, select_crash_keepers(REQUEST, ["c", "a", "b"].into_iter()));
    };
}
