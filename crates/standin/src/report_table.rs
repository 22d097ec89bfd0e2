//! Formats reports as text tables for the terminal.

use std::fmt::Write;

use indexmap::IndexMap;

use crate::deployment::FleetDeployment;
use crate::experiment::ExperimentReport;
use crate::experiment::total_target_counts;
use crate::load::LoadReport;
use crate::target_standin::TargetCounts;

/// Formats latency by customer, refusals by reason, answers by failure domain and the counters of the targets.
pub fn report_text(report: &LoadReport, deployment: &FleetDeployment) -> String {
    let mut text = load_text(report);
    text.push_str(&targets_text(&total_target_counts(deployment)));
    text
}

/// Formats the counters of all targets together.
fn targets_text(targets: &TargetCounts) -> String {
    let bodies = targets.bodies;
    format!(
        "targets: executed {}, shed {}, over their slots {}, cancelled {}, keys seen by targets {}\n\
         bodies: compared {}, differing {}, unchecked {}; refused before they were read {}, broken off {}\n",
        targets.executed,
        targets.shed,
        targets.over_slots + u64::from(targets.max_in_flight),
        targets.cancelled,
        targets.keys_seen,
        bodies.compared,
        bodies.differing,
        bodies.unchecked,
        targets.refused_early,
        targets.cut_uploads,
    )
}

/// Head of the Markdown table that compares experiments.
pub const SUMMARY_TABLE_HEAD: &str = "\
| experiment | answered | worst p50 / p99 ms | worst to median p99 | least free slots | drain s | wrongful | overshoot \
| twice / wrong / cut / false not-run / keys | over slots |
|---|---|---|---|---|---|---|---|---|---|";

/// Formats an experiment as a row under [`SUMMARY_TABLE_HEAD`]; a quantity that was not measured is a dash.
pub fn summary_row(report: &ExperimentReport) -> String {
    let (measures, load) = (&report.measures, &report.load);
    let seconds = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.1}"));
    format!(
        "| {} | {:.2}% | {:.0} / {:.0} | {:.2} | {:.0}% | {} | {:.3}% | {:.1} | {} / {} / {} / {} / {} | {} |",
        report.name,
        100.0 * measures.answered_share,
        measures.worst_p50_ms,
        measures.worst_p99_ms,
        measures.worst_to_median_p99,
        100.0 * measures.least_headroom,
        seconds(measures.drain_time_s.or(measures.withdrawn_key_last_answer_s)),
        100.0 * measures.wrongful_refusal_share,
        measures.overshoot,
        load.executed_twice,
        load.wrong_answers,
        load.cut_answers,
        load.false_not_run,
        report.targets.keys_seen,
        report.targets.over_slots + u64::from(report.targets.max_in_flight)
    )
}

/// Formats the full report of an experiment: its faults with their times, the load and the counters of the targets.
pub fn experiment_text(report: &ExperimentReport) -> String {
    let mut text = format!("{} ({})\n", report.name, report.deployment.name());
    for fault in &report.faults {
        let error = fault.error.as_deref().map(|error| format!(" FAILED: {error}"));
        let _ =
            writeln!(text, "  {:6.2} s {}{}", fault.at_s, fault.what, error.unwrap_or_default());
    }
    text.push_str(&load_text(&report.load));
    text.push_str(&targets_text(&report.targets));
    let measures = &report.measures;
    let seconds = |value: Option<f64>| value.map_or("-".into(), |value| format!("{value:.2} s"));
    let _ = writeln!(
        text,
        "least free slots of a region {:.0}%, drain time {}, withdrawn key's last answer after {}",
        100.0 * measures.least_headroom,
        seconds(measures.drain_time_s),
        seconds(measures.withdrawn_key_last_answer_s)
    );
    let _ = writeln!(
        text,
        "store: {} calls, at most {} in one second",
        report.store["total"], report.store["peak_per_second"]
    );
    text
}

/// Formats what callers saw, which needs no access to the deployment.
pub fn load_text(report: &LoadReport) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<22} {:>8} {:>8} {:>9} {:>9} {:>9} {:>8} {:>9}",
        "customer", "requests", "answered", "p50 ms", "p99 ms", "max ms", "wrongful", "overshoot"
    );
    for customer in &report.customers {
        let latency = &customer.latency;
        let _ = writeln!(
            text,
            "{:<22} {:>8} {:>8} {:>9.2} {:>9.2} {:>9.2} {:>8} {:>9.1}",
            customer.customer,
            customer.requests,
            customer.answered,
            latency.p50_ms,
            latency.p99_ms,
            latency.max_ms,
            customer.wrongful_refusals,
            customer.overshoot
        );
    }
    let mut reasons: IndexMap<&str, u64> = IndexMap::new();
    for (reason, count) in report.customers.iter().flat_map(|customer| &customer.unanswered) {
        *reasons.entry(reason).or_default() += count;
    }
    let _ = writeln!(text, "\nnot answered, by reason: {}", counts_text(&reasons));
    let domains = report.answers_by_domain.iter().map(|(name, count)| (&**name, *count)).collect();
    let _ =
        writeln!(text, "answers by failure domain of the entry host: {}", counts_text(&domains));
    let _ = writeln!(
        text,
        "requests {}, answered {}, wrongful refusals {}, greatest overshoot {:.1}, worst customer's p99 over the \
         median customer's {:.2}",
        report.requests,
        report.answered,
        report.wrongful_refusals,
        report.overshoot,
        report.worst_to_median_p99
    );
    let _ = writeln!(
        text,
        "executed twice {}, wrong answers {}, cut answers {}, false \"not run\" {}",
        report.executed_twice, report.wrong_answers, report.cut_answers, report.false_not_run
    );
    if report.without_ticket > 0 {
        let _ =
            writeln!(text, "requests sent without the ticket asked for: {}", report.without_ticket);
    }
    text
}

fn counts_text(counts: &IndexMap<&str, u64>) -> String {
    match counts.is_empty() {
        true => "none".into(),
        false => {
            let parts: Vec<_> =
                counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
            parts.join(", ")
        }
    }
}
