//! Compares placement, spill and drains with simpler policies in deterministic simulations, and prints the results.

#[path = "../tests/support/drain_model.rs"]
mod drain_model;
#[path = "../tests/support/placement_model.rs"]
mod placement_model;
#[path = "../tests/support/spill_model.rs"]
mod spill_model;

use std::time::Duration;
use std::time::SystemTime;

use coordination::shift::DomainCapacity;
use coordination::shift::ShiftDirection;
use coordination::shift::ShiftInput;
use coordination::shift::ShiftOrder;
use drain_model::DrainPolicy;
use drain_model::run_drain;
use placement_model::ModelPolicy;
use placement_model::TargetFault;
use placement_model::run_model;
use spill_model::RegionLossPolicy;
use spill_model::SpillPolicy;
use spill_model::run_oscillation;
use spill_model::run_region_loss;

const SECONDS: usize = 120;
const SEEDS: [u64; 3] = [11, 12, 13];

fn main() {
    placement();
    spill();
    drains();
}

fn placement() {
    println!("one of 12 targets at fault, 10 hosts, 60% load; means of {} seeds", SEEDS.len());
    println!("| fault | way | failed % | p99 s | to the faulty target % |");
    let faults = [
        TargetFault::None,
        TargetFault::FastErrors,
        TargetFault::Hangs,
        TargetFault::LiesIdle,
        TargetFault::NoReports,
    ];
    for fault in faults {
        for policy in [ModelPolicy::Table, ModelPolicy::LeastReported] {
            let runs = SEEDS.map(|seed| run_model(policy, fault, SECONDS, seed));
            let mean = |value: fn(&placement_model::ModelResult) -> f64| {
                runs.iter().map(value).sum::<f64>() / runs.len() as f64
            };
            println!(
                "| {fault:?} | {policy:?} | {:.2} | {:.3} | {:.2} |",
                100.0 * mean(|run| run.failed_share),
                mean(|run| run.p99_seconds),
                100.0 * mean(|run| run.faulty_share),
            );
        }
    }
}

fn spill() {
    println!("\na domain at 120% beside one at 20%, measured 2 s late, second half of 240 s");
    for policy in [SpillPolicy::Damped, SpillPolicy::Undamped] {
        println!("{policy:?}: {:?}", run_oscillation(policy));
    }
    println!("\na region of three loses its targets at 60% load, measured 2 s late");
    for policy in [RegionLossPolicy::Limited, RegionLossPolicy::LeastMeasured] {
        println!("{policy:?}: {:?}", run_region_loss(policy));
    }
}

fn drains() {
    println!("\nrequests while one of four domains is drained at 20% a minute, 30% load");
    for policy in [DrainPolicy::Sampled, DrainPolicy::ScaledSlots] {
        println!("{policy:?}: {:?}", run_drain(policy));
    }
    println!("\ndrain time against the lower bound, 6 domains, 20% a minute");
    let start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
    let names = ["a", "b", "c", "d", "e", "f"];
    for drained in [1, 2, 4] {
        let share = |name: &&str| DomainCapacity {
            domain: (**name).into(),
            slots: 48,
            warm_up: Duration::from_secs(10),
        };
        let order = |name: &&str| ShiftOrder {
            name: (**name).into(),
            direction: ShiftDirection::Away,
            start,
            deadline: None,
            domains: [((**name).into(), None)].into_iter().collect(),
        };
        let input = ShiftInput {
            cap_percent_per_minute: 20.0,
            domains: names.iter().map(share).collect(),
            orders: names[..drained].iter().map(order).collect(),
        };
        let forecast = input.forecast(start);
        let work: f64 = forecast.orders.iter().map(|order| order.lower_bound.as_secs_f64()).sum();
        let end = forecast.orders.iter().filter_map(|order| order.targets_free_at).max();
        let taken = end.and_then(|end| end.duration_since(start).ok()).unwrap_or_default();
        println!(
            "{drained} domains: {:.1} s, lower bound {work:.1} s, ratio {:.4}",
            taken.as_secs_f64(),
            taken.as_secs_f64() / work
        );
    }
}
