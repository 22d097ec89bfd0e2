//! Compares policies that enforce a customer's rate over a fleet, in a deterministic simulation: refusals of requests
//! that one fleet-wide bucket would admit, and tokens spent beyond rate and burst. Run with
//! `cargo bench --bench budget_ratios`.

mod budget_model;

use budget_model::FaultCase;
use budget_model::FleetModel;
use budget_model::PolicyKind;

fn main() {
    println!(
        "{:<18}{:<16}{:>12}{:>12}{:>11}{:>11}{:>10}",
        "case", "way", "wrongful %", "worst %", "5x short %", "overshoot", "msg/s host"
    );
    for case in FaultCase::ALL {
        for policy in PolicyKind::ALL {
            let report = FleetModel::new(case, policy).run();
            println!(
                "{:<18}{:<16}{:>12.3}{:>12.3}{:>11.2}{:>11.1}{:>10.1}",
                case.name(),
                policy.name(),
                report.wrongful_percent,
                report.worst_customer_percent,
                report.heavy_short_percent,
                report.overshoot_tokens,
                report.messages_per_second
            );
        }
    }
}
