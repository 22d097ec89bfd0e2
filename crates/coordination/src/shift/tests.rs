use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use proptest::prelude::*;

use super::*;

const CAP: f64 = 20.0;

fn at(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000 + seconds)
}

fn input(orders: Vec<ShiftOrder>) -> ShiftInput {
    let capacity = |domain: &str| DomainCapacity {
        domain: domain.into(),
        slots: 10,
        warm_up: Duration::from_secs(10),
    };
    let domains = ["a", "b", "c", "d", "e"].map(capacity).into();
    ShiftInput { cap_percent_per_minute: CAP, domains, orders }
}

fn away(name: &str, domains: &[&str], start: u64, by: Option<u64>) -> ShiftOrder {
    ShiftOrder {
        name: name.into(),
        direction: ShiftDirection::Away,
        start: at(start),
        deadline: by.map(at),
        domains: domains.iter().map(|domain| ((*domain).into(), None)).collect(),
    }
}

fn back(name: &str, domain: &str, start: u64, position: f64) -> ShiftOrder {
    let mut order = away(name, &[domain], start, None);
    order.direction = ShiftDirection::Back;
    order.domains[0] = Some(ShiftPosition::new(position));
    order
}

macro_rules! weight_cases {
    ($($name:ident: $orders:expr, $domain:expr, $time:expr => $traffic:expr, $callers:expr;)*) => {$(
        #[test]
        fn $name() {
            let position = input($orders).positions_at(at($time))[$domain];
            let found = (position.traffic_weight(), position.caller_weight());
            assert!((found.0 - $traffic).abs() < 1e-6, "traffic {found:?}");
            assert!((found.1 - $callers).abs() < 1e-6, "callers {found:?}");
        }
    )*};
}

weight_cases! {
    no_order_moves_nothing: vec![], "a", 100 => 1.0, 1.0;
    before_the_start_nothing_moves: vec![away("x", &["a"], 50, None)], "a", 50 => 1.0, 1.0;
    half_of_a_fifth_moves_in_half_a_minute: vec![away("x", &["a"], 0, None)], "a", 30 => 0.5, 1.0;
    targets_are_free_after_work_over_cap: vec![away("x", &["a"], 0, None)], "a", 60 => 0.0, 1.0;
    callers_follow_after_the_targets: vec![away("x", &["a"], 0, None)], "a", 90 => 0.0, 0.5;
    both_are_done_after_two_moves: vec![away("x", &["a"], 0, None)], "a", 120 => 0.0, 0.0;
    others_stay_whole: vec![away("x", &["a"], 0, None)], "b", 60 => 1.0, 1.0;
    second_drain_waits_for_the_cap:
        vec![away("x", &["a"], 0, None), away("y", &["b"], 10, None)], "b", 60 => 1.0, 1.0;
    second_drain_follows:
        vec![away("x", &["a"], 0, None), away("y", &["b"], 10, None)], "b", 90 => 0.5, 1.0;
    earlier_end_goes_first:
        vec![away("x", &["a"], 0, Some(900)), away("y", &["b"], 0, Some(80))], "b", 30 => 0.5, 1.0;
    undrain_starts_where_the_drain_was: vec![back("x", "a", 30, 0.5)], "a", 30 => 0.5, 1.0;
    undrain_ramps_under_the_cap: vec![back("x", "a", 30, 0.5)], "a", 45 => 0.75, 1.0;
    undrain_of_callers_comes_first: vec![back("x", "a", 0, -0.5)], "a", 30 => 0.0, 1.0;
    another_order_keeps_the_domain_away:
        vec![away("x", &["a"], 0, None), back("y", "a", 120, -1.0)], "a", 400 => 0.0, 0.0;
}

#[test]
fn last_domains_are_not_drained_without_a_receiver() {
    let input = input(vec![away("x", &["a", "b", "c", "d", "e"], 0, Some(9_000))]);
    assert!(input.positions_at(at(8_000)).values().all(|at| at.traffic_weight() == 1.0));
    let forecast = input.forecast(at(10)).orders.remove(0);
    assert_eq!(forecast.delay_causes, vec![DelayCause::NoReceiver]);
    assert!(!forecast.is_in_time());
}

#[test]
fn forecast_names_the_earliest_end_and_whether_it_is_in_time() {
    let input = input(vec![away("x", &["a", "b"], 0, Some(119)), away("y", &["c"], 0, Some(180))]);
    let forecast = input.forecast(at(0)).orders;
    assert_eq!(forecast[0].targets_free_at, Some(at(120)));
    assert_eq!(forecast[0].lower_bound, Duration::from_secs(120));
    assert!(!forecast[0].is_in_time());
    assert_eq!(forecast[1].targets_free_at, Some(at(180)));
    assert!(forecast[1].is_in_time());
    let ahead = vec!["a".into(), "b".into()];
    assert_eq!(forecast[1].delay_causes, vec![DelayCause::SharedCap { ahead }]);
}

#[test]
fn slow_warm_up_of_receivers_holds_a_drain_up() {
    let mut input = input(vec![away("x", &["a"], 0, None)]);
    input.domains.iter_mut().for_each(|capacity| capacity.warm_up = Duration::from_secs(480));
    let forecast = input.forecast(at(0)).orders.remove(0);
    assert!(matches!(forecast.delay_causes[..], [DelayCause::WarmUp { percent_per_minute }]
        if (percent_per_minute - 10.0).abs() < 1e-6));
    assert_eq!(forecast.targets_free_at, Some(at(120)));
    assert_eq!(forecast.lower_bound, Duration::from_secs(60));
}

#[test]
fn a_raised_cap_does_not_make_a_host_jump() {
    let origin = Instant::now();
    let mut limiter = ShiftLimiter::default();
    let mut input = input(vec![away("x", &["a", "b"], 0, None)]);
    input.cap_percent_per_minute = 2.0;
    for second in 0..=120 {
        let now = origin + Duration::from_secs(second);
        limiter.limit_positions(&input, input.positions_at(at(second)), now);
    }
    input.cap_percent_per_minute = 20.0;
    assert_eq!(input.positions_at(at(121))["a"].traffic_weight(), 0.0);
    let now = origin + Duration::from_secs(121);
    let limited = limiter.limit_positions(&input, input.positions_at(at(121)), now)["a"].value();
    assert!((0.78..0.81).contains(&limited), "{limited}");
}

#[test]
fn a_host_that_starts_takes_positions_as_they_are() {
    let origin = Instant::now();
    let mut limiter = ShiftLimiter::default();
    let none = input(Vec::new());
    limiter.limit_positions(&none, none.positions_at(at(600)), origin);
    let drained = input(vec![away("x", &["a"], 0, None)]);
    let now = origin + Duration::from_secs(1);
    let position = limiter.limit_positions(&drained, drained.positions_at(at(601)), now)["a"];
    assert_eq!(position, ShiftPosition::DRAINED);
}

fn any_order() -> impl Strategy<Value = ShiftOrder> {
    let domains = proptest::sample::subsequence(vec!["a", "b", "c", "d"], 1..=4);
    (0..300_u64, proptest::option::of(0..900_u64), domains, any::<u32>())
        .prop_map(|(start, by, domains, id)| away(&format!("{id}"), &domains, start, by))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn cap_holds_over_any_interval(
        orders in proptest::collection::vec(any_order(), 1..5),
        start in 0..900_u64,
        length in 1..120_u64,
    ) {
        let input = input(orders);
        let before = input.positions_at(at(start));
        let after = input.positions_at(at(start + length));
        let share = 1.0 / before.len() as f64;
        let moved = |weight: fn(ShiftPosition) -> f64| -> f64 {
            before.values().zip(after.values())
                .map(|(a, b)| share * (weight(*a) - weight(*b)).abs())
                .sum()
        };
        let allowed = CAP / 100.0 * length as f64 / 60.0 + 1e-6;
        prop_assert!(moved(ShiftPosition::traffic_weight) <= allowed);
        prop_assert!(moved(ShiftPosition::caller_weight) <= allowed);
    }
}
