//! Admission by the gates of several hosts, also under partitions, crashes, lost answers and store outages.

#![allow(dead_code, clippy::unwrap_used)]

#[path = "support/fake_store.rs"]
mod fake_store;
#[path = "support/gate_fleet.rs"]
mod gate_fleet;

use std::sync::Arc;
use std::time::Duration;

use buckthornturn::interface::AdmissionGate;
use buckthornturn::interface::AdmissionPermit;
use buckthornturn::interface::AdmissionRefusal;
use buckthornturn::interface::AdmissionRequest;
use buckthornturn::interface::DispatchOutcome;
use buckthornturn::interface::MemberHealth;
use coordination::floor_plan::FloorPlan;
use futures::future::join_all;
use indexmap::IndexMap;

use fake_store::StoreMode;
use gate_fleet::FleetShape;
use gate_fleet::GateFleet;
use gate_fleet::now;
use gate_fleet::request;

const LARGE_FLEET: FleetShape = FleetShape {
    hosts: 10,
    domains: 6,
    targets: 36,
    slots: 4,
    rate: 50.0,
    burst: 10.0,
    customers: 8,
};
const UNLIMITED_FLEET: FleetShape = FleetShape { rate: 1e6, burst: 1e6, ..LARGE_FLEET };
const SMALL_FLEET: FleetShape =
    FleetShape { hosts: 2, domains: 2, targets: 2, slots: 2, ..LARGE_FLEET };

async fn sleep_millis(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Sends `count` requests to one host at the same time; returns how many were admitted.
async fn admitted_at_once(fleet: &GateFleet, host: usize, count: usize) -> usize {
    let results = join_all((0..count).map(|_| fleet.admit(host, 0))).await;
    results.iter().filter(|result| result.is_ok()).count()
}

macro_rules! whole_burst_admitted {
    ($($name:ident: $host:expr,)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let fleet = GateFleet::start(LARGE_FLEET).await;
            let admitted = admitted_at_once(&fleet, $host, 10).await;
            assert_eq!(admitted, 10);
        }
    )*};
}

whole_burst_admitted! {
    whole_burst_is_admitted_at_the_first_host: 0,
    whole_burst_is_admitted_at_the_last_host: 9,
}

/// Offers `factor` times the rate limit of 50/s, spread evenly over `hosts`; returns how many requests were admitted.
async fn offer_load(fleet: &GateFleet, hosts: &[usize], factor: u64, seconds: u64) -> usize {
    let mut admitted = 0;
    let gap = 1_000_000 * hosts.len() as u64 / (50 * factor);
    for _ in 0..seconds * 1_000_000 / gap {
        let results = join_all(hosts.iter().map(|host| fleet.admit(*host, 0))).await;
        admitted += results.iter().filter(|result| result.is_ok()).count();
        tokio::time::sleep(Duration::from_micros(gap)).await;
    }
    admitted
}

#[tokio::test(start_paused = true)]
async fn five_times_the_rate_stays_within_rate_and_burst() {
    let fleet = GateFleet::start(LARGE_FLEET).await;
    let started = now();
    let hosts: Vec<_> = (0..10).collect();
    let admitted = offer_load(&fleet, &hosts, 5, 10).await as f64;
    let limit = 10.0 + 50.0 * (now() - started).as_secs_f64();
    assert!(admitted <= limit, "{admitted} of at most {limit}");
    assert!(admitted >= limit * 0.95, "{admitted} of {limit}");
}

#[tokio::test(start_paused = true)]
async fn steady_demand_within_the_rate_is_admitted_with_few_calls() {
    let fleet = GateFleet::start(LARGE_FLEET).await;
    *fleet.network.call_count.lock().unwrap() = 0;
    let mut refused = 0;
    for _ in 0..400 {
        refused += usize::from(fleet.admit(9, 0).await.is_err());
        sleep_millis(25).await;
    }
    assert_eq!(refused, 0);
    let calls = *fleet.network.call_count.lock().unwrap();
    assert!(calls < 900, "{calls} calls in 10 s");
}

#[tokio::test(start_paused = true)]
async fn partitioned_domain_admits_only_within_its_floor() {
    let fleet = GateFleet::start(LARGE_FLEET).await;
    fleet.network.cut_hosts.lock().unwrap().extend(["h3".into(), "h9".into()]);
    let started = now();
    let inside = offer_load(&fleet, &[2, 8], 5, 10);
    let outside = offer_load(&fleet, &[0, 1, 3, 4], 5, 10);
    let (inside, outside) = tokio::join!(inside, outside);
    let limit = 10.0 + 50.0 * (now() - started).as_secs_f64();
    assert!(inside > 0, "nothing admitted in the partitioned domain");
    assert!((inside + outside) as f64 <= limit, "{inside} and {outside} of {limit}");
}

#[tokio::test(start_paused = true)]
async fn lost_answers_grant_no_tokens_and_do_not_block() {
    let fleet = GateFleet::start(LARGE_FLEET).await;
    *fleet.network.lose_answers.lock().unwrap() = true;
    let started = now();
    let admitted = admitted_at_once(&fleet, 0, 10).await;
    let waited = now() - started;
    let limit = 2.0 + 10.0 * waited.as_secs_f64();
    assert!(admitted as f64 <= limit, "{admitted} of {limit}");
    assert!(waited <= Duration::from_millis(500), "{waited:?}");
}

#[tokio::test(start_paused = true)]
async fn nothing_is_admitted_without_a_plan() {
    let fleet = GateFleet::without_plans(SMALL_FLEET);
    sleep_millis(500).await;
    let refusal = fleet.admit(0, 0).await.err();
    assert!(matches!(refusal, Some(AdmissionRefusal::RateExceeded { .. })), "{refusal:?}");
}

#[tokio::test(start_paused = true)]
async fn host_without_floors_borrows_tokens() {
    let fleet = GateFleet::without_plans(LARGE_FLEET);
    for mut plan in fleet.initial_plans() {
        plan.holders.shift_remove("h1");
        fleet.distribute_plan(&plan);
    }
    sleep_millis(3_000).await;
    assert_eq!(admitted_at_once(&fleet, 0, 8).await, 8);
}

#[tokio::test(start_paused = true)]
async fn paused_host_uses_no_floor_until_confirmed() {
    let mut fleet = GateFleet::start(SMALL_FLEET).await;
    fleet.hosts[0].tasks.abort_all();
    fleet.network.cut_hosts.lock().unwrap().insert("h1".into());
    sleep_millis(10_000).await;
    assert!(fleet.admit(0, 0).await.is_err());
    assert!(fleet.hosts[0].gate.is_paused());
    fleet.hosts[0].gate.resume();
    sleep_millis(1_000).await;
    assert!(fleet.admit(0, 0).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn lower_rate_takes_effect_at_once() {
    let fleet = GateFleet::start(LARGE_FLEET).await;
    fleet.reconfigure(|state| {
        let spec = state.customers.get_mut("t0").unwrap();
        (spec.rate_per_second, spec.burst) = (1.0, 2.0);
    });
    let admitted = admitted_at_once(&fleet, 0, 10).await;
    assert!(admitted <= 2, "{admitted}");
}

#[tokio::test(start_paused = true)]
async fn slots_are_never_exceeded_by_all_hosts_together() {
    let shape = FleetShape { rate: 1e6, burst: 1e6, targets: 6, slots: 3, ..LARGE_FLEET };
    let mut fleet = GateFleet::start(shape).await;
    let mut running: Vec<(usize, Box<str>, _)> = Vec::new();
    let mut seed = 7u64;
    for round in 0..400 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let host = (seed >> 33) as usize % 10;
        match round {
            120 => drop(fleet.network.cut_hosts.lock().unwrap().insert("h2".into())),
            200 => fleet.network.cut_hosts.lock().unwrap().clear(),
            250 => {
                fleet.kill_host(4);
                running.retain(|(host, _, _)| *host != 4);
                fleet.set_health(4, MemberHealth::Gone);
            }
            _ => {}
        }
        let is_dead = round >= 250 && host == 4;
        let timeout = Duration::from_millis(100);
        if !is_dead && let Ok(permit) = fleet.hosts[host].gate.admit(request(0, timeout)).await {
            running.push((host, permit.target.clone(), permit));
        }
        let mut filled: IndexMap<&str, u32> = IndexMap::new();
        for (_, target, _) in &running {
            *filled.entry(target).or_default() += 1;
        }
        assert!(filled.values().all(|count| *count <= 3), "round {round}: {filled:?}");
        if running.len() > 12 {
            let (_, _, permit) = running.remove((seed >> 40) as usize % running.len());
            let outcome = DispatchOutcome::Answered { status: 200, first_byte: Duration::ZERO };
            permit.guard.finish(outcome);
        }
        sleep_millis(20).await;
    }
    assert!(running.len() >= 10, "{}", running.len());
}

#[tokio::test(start_paused = true)]
async fn slots_of_other_domains_are_leased_when_own_slots_are_full() {
    let shape = FleetShape { rate: 1e6, burst: 1e6, ..SMALL_FLEET };
    let fleet = GateFleet::start(shape).await;
    let permits = join_all((0..4).map(|_| fleet.admit(0, 0))).await;
    assert!(permits.iter().all(Result::is_ok));
    let refusal = fleet.hosts[0].gate.admit(request(0, Duration::from_millis(300))).await.err();
    assert!(matches!(refusal, Some(AdmissionRefusal::NoCapacity { .. })), "{refusal:?}");
}

#[tokio::test(start_paused = true)]
async fn cancelled_request_frees_its_slot() {
    let shape = FleetShape {
        rate: 1e6,
        burst: 1e6,
        hosts: 1,
        domains: 1,
        targets: 1,
        slots: 1,
        ..LARGE_FLEET
    };
    let fleet = GateFleet::start(shape).await;
    let first = fleet.admit(0, 0).await.unwrap();
    let gate = Arc::clone(&fleet.hosts[0].gate);
    let waiting = tokio::spawn(async move { gate.admit(request(0, Duration::from_secs(5))).await });
    sleep_millis(10).await;
    waiting.abort();
    drop(first);
    assert!(fleet.admit(0, 0).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn retries_over_the_retry_budget_are_refused() {
    let shape = FleetShape { rate: 1e6, burst: 1e6, ..SMALL_FLEET };
    let fleet = GateFleet::start(shape).await;
    let mut refused = 0;
    for _ in 0..30 {
        let mut retry = request(0, Duration::from_secs(1));
        retry.attempt = 1;
        let refusal = fleet.hosts[0].gate.admit(retry).await.err();
        refused += usize::from(refusal == Some(AdmissionRefusal::RetryBudget));
    }
    assert_eq!(refused, 20);
}

#[tokio::test(start_paused = true)]
async fn the_first_plan_is_written_and_a_dead_holder_replaced() {
    let shape = FleetShape { hosts: 2, domains: 1, targets: 6, ..LARGE_FLEET };
    let mut fleet = GateFleet::without_plans(shape);
    fleet.start_planners();
    sleep_millis(2_000).await;
    let first = fleet.stored_plan("d1").unwrap();
    assert_eq!((first.epoch, first.holders.len()), (1, 2));
    fleet.kill_host(1);
    fleet.set_health(1, MemberHealth::Suspect);
    sleep_millis(5_000).await;
    assert_eq!(fleet.stored_plan("d1").map(|plan| plan.epoch), Some(1));
    fleet.set_health(1, MemberHealth::Gone);
    sleep_millis(2_000).await;
    let second = fleet.stored_plan("d1").unwrap();
    assert_eq!((second.epoch, second.holders.len()), (2, 1));
    assert!(second.gone.contains_key("h2"));
    sleep_millis(4_000).await;
    assert_eq!(fleet.hosts[0].plans.shrunk_epoch(), 2);
    let permits = join_all((0..10).map(|_| fleet.admit(0, 0))).await;
    assert!(permits.iter().all(Result::is_ok));
}

macro_rules! plan_under_store_fault {
    ($($name:ident: $mode:expr => $epoch:expr,)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let mut fleet = GateFleet::without_plans(SMALL_FLEET);
            fleet.store.set_mode($mode);
            fleet.start_planners();
            sleep_millis(10_000).await;
            let epoch: Option<u64> = fleet.stored_plan("d1").map(|plan| plan.epoch);
            assert_eq!(epoch, $epoch);
            assert_eq!(fleet.admit(0, 0).await.is_ok(), epoch.is_some());
        }
    )*};
}

plan_under_store_fault! {
    no_plan_is_written_while_the_store_is_down: StoreMode::Down => None,
    a_lost_answer_does_not_write_the_plan_twice: StoreMode::LosesAnswers => Some(1),
}

#[tokio::test(start_paused = true)]
async fn idle_planner_makes_no_store_calls() {
    let mut fleet = GateFleet::without_plans(SMALL_FLEET);
    fleet.start_planners();
    sleep_millis(5_000).await;
    let calls = fleet.store.call_count();
    sleep_millis(60_000).await;
    assert_eq!(fleet.store.call_count(), calls);
}

#[tokio::test(start_paused = true)]
async fn a_moved_target_waits_for_the_requests_of_its_earlier_owner() {
    let shape = FleetShape {
        hosts: 2,
        domains: 1,
        targets: 1,
        slots: 1,
        rate: 1e6,
        burst: 1e6,
        ..LARGE_FLEET
    };
    let fleet = GateFleet::without_plans(shape);
    let first = FloorPlan::first("d1".into(), [("h1".into(), 1)].into());
    fleet.distribute_plan(&first);
    sleep_millis(500).await;
    let permit = fleet.admit(0, 0).await.unwrap();
    let holders = [("h2".into(), 1)].into();
    fleet.distribute_plan(&first.successor(holders, |_, _| false, |_, _| false, true));
    sleep_millis(10_000).await;
    let timeout = Duration::from_millis(500);
    assert!(fleet.hosts[1].gate.admit(request(0, timeout)).await.is_err());
    drop(permit);
    sleep_millis(3_000).await;
    let timeout = Duration::from_secs(1);
    let permit = fleet.hosts[1].gate.admit(request(0, timeout)).await;
    assert!(permit.is_ok(), "{:?}", permit.err());
}

/// One host with two targets of one slot each, both in use. Returns the permits by target.
async fn start_with_full_targets() -> (GateFleet, IndexMap<Box<str>, AdmissionPermit>) {
    let shape = FleetShape { slots: 1, hosts: 1, domains: 1, targets: 2, ..UNLIMITED_FLEET };
    let fleet = GateFleet::start(shape).await;
    let mut permits = IndexMap::new();
    for _ in 0..2 {
        let permit = fleet.admit(0, 0).await.unwrap();
        permits.insert(permit.target.clone(), permit);
    }
    (fleet, permits)
}

fn retry_elsewhere(customer: usize, excluded: &[&str]) -> AdmissionRequest {
    let excluded = excluded.iter().map(|target| (*target).into()).collect();
    AdmissionRequest { attempt: 1, excluded, ..request(customer, Duration::from_secs(5)) }
}

/// A retry at the head of the queue may not use the free target; those behind it waited for it until its deadline.
#[tokio::test(start_paused = true)]
async fn a_retry_that_waits_for_another_target_keeps_no_queued_request_out() {
    let (fleet, mut permits) = start_with_full_targets().await;
    let gate = Arc::clone(&fleet.hosts[0].gate);
    let retry = tokio::spawn(async move { gate.admit(retry_elsewhere(0, &["x0"])).await });
    sleep_millis(10).await;
    let gate = Arc::clone(&fleet.hosts[0].gate);
    let queued = tokio::spawn(async move { gate.admit(request(0, Duration::from_secs(5))).await });
    sleep_millis(10).await;
    let freed_at = now();
    drop(permits.swap_remove("x0"));
    let permit = queued.await.unwrap().unwrap();
    assert_eq!((&*permit.target, now() - freed_at), ("x0", Duration::ZERO));
    drop(permits.swap_remove("x1"));
    assert_eq!(&*retry.await.unwrap().unwrap().target, "x1");
}

#[tokio::test(start_paused = true)]
async fn a_retry_that_waits_for_another_target_keeps_no_new_request_out() {
    let (fleet, mut permits) = start_with_full_targets().await;
    drop(permits.swap_remove("x0"));
    let gate = Arc::clone(&fleet.hosts[0].gate);
    let _retry = tokio::spawn(async move { gate.admit(retry_elsewhere(0, &["x0"])).await });
    sleep_millis(10).await;
    let (arrived_at, permit) = (now(), fleet.admit(0, 1).await.unwrap());
    assert_eq!((&*permit.target, now() - arrived_at), ("x0", Duration::ZERO));
}

/// The free slot of a target that has refused a request was counted as one for it, so that none was borrowed.
#[tokio::test(start_paused = true)]
async fn a_retry_borrows_a_slot_of_a_target_that_it_may_use() {
    let shape = FleetShape { rate: 1e6, burst: 1e6, ..SMALL_FLEET };
    let fleet = GateFleet::start(shape).await;
    let first = fleet.admit(0, 0).await.unwrap();
    let (target, arrived_at) = (first.target.clone(), now());
    drop(first);
    let retry = fleet.hosts[0].gate.admit(retry_elsewhere(0, &[&target])).await;
    let waited = now() - arrived_at;
    assert_ne!(retry.map(|permit| permit.target).ok(), None, "after {waited:?}");
    assert!(waited < Duration::from_millis(500), "{waited:?}");
}
