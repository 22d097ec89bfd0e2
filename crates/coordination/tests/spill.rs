//! Spill to other failure domains and regions must neither oscillate nor overload them, although measurements lag.

#[path = "support/spill_model.rs"]
mod spill_model;

use coordination::placement::SpillLimit;
use proptest::prelude::*;
use spill_model::RegionLossPolicy;
use spill_model::SpillPolicy;
use spill_model::run_oscillation;
use spill_model::run_region_loss;

#[test]
fn damped_spill_settles_and_undamped_spill_swings() {
    let damped = run_oscillation(SpillPolicy::Damped);
    assert_eq!(damped.turns, 0, "{damped:?}");
    assert!(damped.swing < 0.02 && damped.peak < 0.85, "{damped:?}");
    let undamped = run_oscillation(SpillPolicy::Undamped);
    assert!(undamped.turns > 10 && undamped.swing > 0.8, "{undamped:?}");
}

#[test]
fn lost_region_overloads_no_other() {
    let limited = run_region_loss(RegionLossPolicy::Limited);
    assert!(limited.peak <= 0.9, "{limited:?}");
    assert!(limited.served > 0.9, "{limited:?}");
    let least_loaded = run_region_loss(RegionLossPolicy::LeastMeasured);
    assert!(least_loaded.peak > 1.0, "{least_loaded:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn parts_of_all_hosts_stay_under_the_fill(
        slots in 0..500_u32,
        percent in 0.0..100.0_f64,
        own in proptest::collection::vec(0..20_u32, 1..12),
        others in 0..300_u32,
    ) {
        let limit =
            SpillLimit { slots, max_utilization_percent: percent, hosts: own.len() as u32 };
        let busy = others + own.iter().sum::<u32>();
        let after: u32 = others + own.iter().map(|own| limit.host_allowance(busy, *own)).sum::<u32>();
        prop_assert!(after <= limit.max_fill().max(busy));
    }
}
