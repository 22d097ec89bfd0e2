//! Compares the overshoot meter with a brute-force computation, and the ideal bucket with the overshoot meter.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use standin::load::IdealBucket;
use standin::load::peak_overshoot;

const CASES: u32 = 256;
const SEED: u64 = 7;

fn config() -> Config {
    Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Largest excess of requests over all windows, computed for each window by itself.
fn brute_force_overshoot(rate: f64, burst: f64, spans: &[(Duration, Duration)]) -> f64 {
    let mut peak: f64 = 0.0;
    for (start, _) in spans {
        for (_, end) in spans {
            let inside = spans.iter().filter(|span| span.0 >= *start && span.1 <= *end).count();
            let window = end.saturating_sub(*start).as_secs_f64();
            if inside > 0 {
                peak = peak.max(inside as f64 - burst - rate * window);
            }
        }
    }
    peak
}

fn spans() -> impl Strategy<Value = Vec<(Duration, Duration)>> {
    let span = (0_u64..5_000, 0_u64..200).prop_map(|(start, length)| {
        (Duration::from_millis(start), Duration::from_millis(start + length))
    });
    prop::collection::vec(span, 0..40)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn overshoot_is_the_maximum_over_all_windows(
        spans in spans(), rate in 0.5_f64..20.0, burst in 1.0_f64..10.0,
    ) {
        let computed = peak_overshoot(rate, burst, &spans);
        let expected = brute_force_overshoot(rate, burst, &spans);
        prop_assert!((computed - expected).abs() < 1e-6, "{computed} against {expected}");
    }

    #[test]
    fn ideal_bucket_admissions_never_overshoot(
        mut times in prop::collection::vec(0_u64..5_000, 1..60),
        rate in 0.5_f64..20.0, burst in 1.0_f64..10.0,
    ) {
        times.sort_unstable();
        let mut bucket = IdealBucket::new(rate, burst);
        let mut admitted = Vec::new();
        for at in times.into_iter().map(Duration::from_millis) {
            if bucket.tokens_at(at) >= 1.0 {
                bucket.take_token(at);
                admitted.push((at, at));
            }
        }
        prop_assert!(peak_overshoot(rate, burst, &admitted) < 1e-6);
    }
}
