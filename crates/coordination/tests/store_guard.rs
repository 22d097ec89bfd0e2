//! Call budget and circuit breaker, which protect the store from overload.

use std::time::Duration;
use std::time::Instant;

use coordination::call_budget::CallBudget;
use coordination::circuit_breaker::BreakerSettings;
use coordination::circuit_breaker::CircuitBreaker;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

#[test]
fn budget_limits_a_burst_of_calls() {
    let start = Instant::now();
    let mut budget = CallBudget::new(10.0, 20.0, start);
    let taken = (0..60_000)
        .filter(|step| budget.take_call(start + Duration::from_millis(*step)).is_ok())
        .count();
    assert!((600..=620).contains(&taken), "{taken}");
}

#[test]
fn budget_returns_the_time_until_the_next_call() {
    let start = Instant::now();
    let mut budget = CallBudget::new(10.0, 1.0, start);
    budget.take_call(start).unwrap();
    let wait = budget.take_call(start).unwrap_err();
    assert!(budget.take_call(start + wait + Duration::from_micros(1)).is_ok());
}

fn breaker() -> CircuitBreaker {
    CircuitBreaker::new(BreakerSettings {
        failures_to_open: 3,
        min_backoff: Duration::from_millis(200),
        max_backoff: Duration::from_secs(5),
    })
}

#[test]
fn breaker_opens_and_lets_one_call_through_after_each_backoff() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let start = Instant::now();
    let mut breaker = breaker();
    let mut calls = 0;
    for step in 0..3_600_000_u64 {
        let now = start + Duration::from_millis(step);
        if breaker.admit(now).is_ok() {
            calls += 1;
            breaker.record_failure(now, &mut random);
        }
    }
    assert!((720..1_500).contains(&calls), "{calls}");
    assert!(
        breaker.failing_for(start + Duration::from_secs(3_600)) > Some(Duration::from_secs(3_599))
    );
    breaker.record_success();
    assert_eq!(breaker.admit(start), Ok(()));
    assert_eq!(breaker.failing_for(start), None);
}

#[test]
fn breaker_spreads_the_return_of_many_hosts() {
    let start = Instant::now();
    let mut returns = Vec::new();
    for seed in 0..1_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut breaker = breaker();
        for _ in 0..20 {
            breaker.record_failure(start, &mut random);
        }
        returns.push(breaker.admit(start).unwrap_err().as_millis() / 250);
    }
    let most = (0..20).map(|slot| returns.iter().filter(|at| **at == slot).count()).max();
    assert!(most < Some(200), "{most:?}");
}
