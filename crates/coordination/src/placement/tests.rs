use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;

const WARM_UP: Duration = Duration::from_secs(10);

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

fn report(at: Instant, in_flight: u32) -> TargetReport {
    TargetReport { requested_at: at, is_healthy: true, is_draining: false, in_flight, slots: 4 }
}

fn table(targets: &[&str]) -> PlacementTable {
    let mut table = PlacementTable::default();
    for target in targets {
        let group = TargetGroup { service: "s".into(), domain: "d".into() };
        table.insert((*target).into(), group, TargetRecord::new(WarmRamp::warm(WARM_UP)));
    }
    table
}

fn candidate<'a>(target: &'a str, domain: &'a str, distance_ms: u64) -> PlacementCandidate<'a> {
    PlacementCandidate {
        target,
        domain,
        slots: 4,
        in_flight: 0,
        round_trip: Duration::from_millis(distance_ms),
        traffic_weight: 1.0,
        link_utilization: 0.0,
    }
}

/// Share of 2000 selections that go to each candidate.
fn shares(
    table: &PlacementTable,
    candidates: &[PlacementCandidate<'_>],
    elsewhere: f64,
) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut shares = vec![0.0; candidates.len()];
    let mut table = table.clone();
    let now = Instant::now();
    for _ in 0..2_000 {
        let choice = table.choose(candidates, elsewhere, &mut rng, now);
        shares[choice.unwrap()] += 1.0 / 2_000.0;
    }
    shares
}

macro_rules! trust_cases {
    ($($name:ident: $reports:expr, own $own:expr, age $age:expr => $trust:ident;)*) => {$(
        #[test]
        fn $name() {
            let origin = Instant::now();
            let mut track = ReportTrack::default();
            let reports: &[u32] = &$reports;
            for in_flight in reports {
                track.apply_report(report(origin, *in_flight), $own, None);
            }
            assert_eq!(track.trust(origin + seconds($age)), ReportTrust::$trust);
        }
    )*};
}

trust_cases! {
    no_report_is_absent: [], own 0, age 0.0 => Absent;
    a_fresh_report_is_trusted: [2], own 2, age 1.0 => Trusted;
    an_old_report_is_lagging: [2], own 0, age 7.0 => Stale;
    fewer_than_own_contradicts: [1], own 2, age 0.0 => Contradicted;
    one_contradiction_is_forgiven: [1, 2], own 2, age 0.0 => Trusted;
    three_contradictions_are_not: [1, 1, 1, 2], own 2, age 0.0 => Contradicted;
}

#[test]
fn health_that_own_requests_contradict_loses() {
    let now = Instant::now();
    let mut track = ReportTrack::default();
    track.apply_report(TargetReport { is_healthy: false, ..report(now, 1) }, 0, Some(true));
    assert!(!track.is_unhealthy(now));
    track.apply_report(TargetReport { is_healthy: false, ..report(now, 1) }, 0, None);
    assert!(track.is_unhealthy(now));
}

#[test]
fn a_draining_target_gets_nothing() {
    let now = Instant::now();
    let mut table = table(&["a", "b"]);
    table.apply_report("a", TargetReport { is_draining: true, ..report(now, 0) });
    let candidates = [candidate("a", "d", 0), candidate("b", "d", 0)];
    assert_eq!(shares(&table, &candidates, 0.0)[0], 0.0);
}

#[test]
fn close_costs_are_decided_by_a_trusted_report_only() {
    let now = Instant::now();
    let mut table = table(&["a", "b"]);
    table.apply_report("a", report(now, 4));
    let candidates = [candidate("a", "d", 0), candidate("b", "d", 0)];
    assert!((0.4..0.6).contains(&shares(&table, &candidates, 0.0)[0]));
    table.apply_report("b", report(now, 1));
    assert_eq!(shares(&table, &candidates, 0.0)[0], 0.0);
}

#[test]
fn at_most_half_of_a_group_is_ejected() {
    let now = Instant::now();
    let mut table = table(&["a", "b", "c", "d"]);
    for target in ["a", "b", "c", "d"] {
        for _ in 0..20 {
            table.record_result(target, DispatchResult::Failed, now);
        }
    }
    let out = ["a", "b", "c", "d"]
        .iter()
        .filter(|target| table.record(target).unwrap().health.is_restricted())
        .count();
    assert_eq!(out, 2);
}

#[test]
fn an_ejected_target_is_probed_one_request_at_a_time() {
    let now = Instant::now();
    let mut health = HealthTrack::default();
    health.eject(now);
    assert!(!health.admits(now + seconds(1.9)));
    let later = now + seconds(2.0);
    assert!(health.admits(later));
    health.record_start(later);
    assert!(!health.admits(later));
    assert!(!health.record_success(later));
    assert!(health.admits(later));
    health.record_start(later);
    assert!(health.record_success(later));
    assert_eq!(health.state(later), HealthState::Admitted);
}

#[test]
fn a_probe_that_fails_doubles_the_ejection() {
    let now = Instant::now();
    let mut health = HealthTrack::default();
    health.eject(now);
    let later = now + seconds(2.0);
    health.record_start(later);
    assert!(health.record_failure(later));
    health.eject(later);
    assert!(!health.admits(later + seconds(3.9)));
    assert!(health.admits(later + seconds(4.0)));
}

#[test]
fn a_slow_target_is_tried_again() {
    let now = Instant::now();
    let mut record = TargetRecord::new(WarmRamp::warm(WARM_UP));
    record.record_start(now);
    record.record_result(DispatchResult::Succeeded { latency: seconds(1.0) }, now);
    assert!(record.cost(0, 4, 0.05, now) > 0.2);
    assert!(record.cost(0, 4, 0.05, now + seconds(100.0)) < 0.013);
}

macro_rules! ramp_cases {
    ($($name:ident: used $used:expr, at $at:expr => $share:expr;)*) => {$(
        #[test]
        fn $name() {
            let origin = Instant::now();
            let mut ramp = WarmRamp::cold(WARM_UP);
            let used: &[f64] = &$used;
            used.iter().for_each(|time| ramp.record_use(origin + seconds(*time)));
            assert!((ramp.usable_share(origin + seconds($at)) - $share).abs() < 1e-9);
        }
    )*};
}

ramp_cases! {
    an_unused_target_stays_cold: used [], at 100.0 => 0.2;
    half_of_the_warm_up: used [0.0], at 5.0 => 0.6;
    warm_in_the_end: used [0.0, 10.0], at 10.0 => 1.0;
}

#[test]
fn a_shift_moves_its_share_of_requests() {
    let mut own = candidate("a", "own", 0);
    own.traffic_weight = 0.25;
    let candidates = [own, candidate("b", "near", 2)];
    let shares = shares(&table(&[]), &candidates, 0.0);
    assert!((0.22..0.28).contains(&shares[0]), "{shares:?}");
}

#[test]
fn a_shift_without_another_place_stays() {
    let mut own = candidate("a", "own", 0);
    own.traffic_weight = 0.01;
    assert!(shares(&table(&[]), &[own], 0.0)[0] > 0.99);
}

#[test]
fn spill_prefers_near_domains_and_free_links() {
    let mut busy_link = candidate("c", "far-busy", 40);
    busy_link.link_utilization = 1.0;
    let candidates = [candidate("a", "near", 2), candidate("b", "far", 40), busy_link];
    let shares = shares(&table(&[]), &candidates, 0.0);
    assert!(shares[0] > 0.98 && shares[1] > shares[2], "{shares:?}");
}

#[test]
fn nearest_domain_gets_all_but_the_spilled_share() {
    let candidates = [candidate("a", "own", 0), candidate("b", "near", 2)];
    assert_eq!(shares(&table(&[]), &candidates, 0.0)[1], 0.0);
    let spilled = shares(&table(&[]), &candidates, 0.3)[1];
    assert!((0.26..0.34).contains(&spilled), "{spilled}");
}
