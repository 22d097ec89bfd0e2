//! Deterministic simulation of requests that hosts place while a failure domain is drained.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use coordination::placement::PlacementCandidate;
use coordination::placement::PlacementTable;
use coordination::shift::DomainCapacity;
use coordination::shift::ShiftDirection;
use coordination::shift::ShiftInput;
use coordination::shift::ShiftOrder;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];
const TARGETS: [&str; 8] = ["a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"];
const REQUESTS_PER_SECOND: u32 = 400;
const SLOTS: u32 = 4;

/// How a host applies the traffic weight of its own failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DrainPolicy {
    /// Each request moves with a probability equal to the share of traffic that has moved.
    Sampled,
    /// The domain's slots are scaled by the weight, and requests move once the scaled slots are full.
    ScaledSlots,
}

/// Speed and duration of a drain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainResult {
    /// Highest rate at which the service's traffic moved, between any 10 s and the next 10 s, in percent per minute.
    pub fastest: f64,
    /// Time until the domain got no more requests, as a multiple of the lower bound under the cap.
    pub ratio: f64,
}

/// Simulates the drain of one of four domains at 20% per minute and 30% load. Callers do not move.
pub fn run_drain(policy: DrainPolicy) -> DrainResult {
    let start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
    let input = drain_input(start);
    let mut rng = ChaCha8Rng::seed_from_u64(17);
    let mut table = PlacementTable::default();
    let (mut shares, mut last_kept_second) = (Vec::new(), 0);
    let origin = Instant::now();
    for second in 0..100_u32 {
        let time = start + Duration::from_secs(u64::from(second));
        let weight = input.positions_at(time)["a"].traffic_weight();
        let mut kept = 0;
        for number in 0..REQUESTS_PER_SECOND {
            let stays = match policy {
                DrainPolicy::Sampled => {
                    let now = origin + Duration::from_secs(u64::from(second));
                    let candidates = candidates(weight);
                    let choice = table.choose(&candidates, 0.0, &mut rng, now);
                    choice.is_some_and(|index| candidates[index].domain == "a")
                }
                DrainPolicy::ScaledSlots => {
                    let busy = f64::from(number % 10) / 10.0 * 0.3;
                    busy < weight
                }
            };
            kept += u32::from(stays);
        }
        if kept > 0 {
            last_kept_second = second + 1;
        }
        shares.push(f64::from(kept) / f64::from(REQUESTS_PER_SECOND) / DOMAINS.len() as f64);
    }
    let mean = |part: &[f64]| part.iter().sum::<f64>() / part.len() as f64;
    let moved = |pair: &[f64]| (mean(&pair[..10]) - mean(&pair[10..])).abs() * 100.0 * 6.0;
    DrainResult {
        fastest: shares.windows(20).map(moved).fold(0.0, f64::max),
        ratio: f64::from(last_kept_second)
            / input.forecast(start).orders[0].lower_bound.as_secs_f64(),
    }
}

fn drain_input(start: SystemTime) -> ShiftInput {
    let capacity = |domain: &str| DomainCapacity {
        domain: domain.into(),
        slots: 2 * SLOTS,
        warm_up: Duration::from_secs(10),
    };
    let order = ShiftOrder {
        name: "domain/a".into(),
        direction: ShiftDirection::Away,
        start,
        deadline: None,
        domains: [("a".into(), None)].into_iter().collect(),
    };
    ShiftInput {
        cap_percent_per_minute: 20.0,
        domains: DOMAINS.map(capacity).into(),
        orders: vec![order],
    }
}

/// Candidates of a host in the drained domain.
fn candidates(weight: f64) -> Vec<PlacementCandidate<'static>> {
    TARGETS
        .iter()
        .map(|target| {
            let own = target.starts_with('a');
            PlacementCandidate {
                target,
                domain: &target[..1],
                slots: SLOTS,
                in_flight: 1,
                round_trip: Duration::from_millis(if own { 0 } else { 2 }),
                traffic_weight: if own { weight } else { 1.0 },
                link_utilization: 0.0,
            }
        })
        .collect()
}
