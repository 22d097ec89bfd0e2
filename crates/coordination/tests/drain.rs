//! A drain must move requests no faster than the cap allows, and not more slowly than that either.

#[path = "support/drain_model.rs"]
mod drain_model;

use drain_model::DrainPolicy;
use drain_model::run_drain;

#[test]
fn requests_move_under_the_cap_and_in_the_shortest_time() {
    let sampled = run_drain(DrainPolicy::Sampled);
    assert!(sampled.fastest < 21.0, "{sampled:?}");
    assert!((0.98..1.02).contains(&sampled.ratio), "{sampled:?}");
    let scaled = run_drain(DrainPolicy::ScaledSlots);
    assert!(scaled.fastest > 40.0, "{scaled:?}");
}
