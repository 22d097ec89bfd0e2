//! Guarantees to callers under mixed load on ten hosts, while hosts and targets are killed, paused, drained and replaced.

#![allow(clippy::unwrap_used)]

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use standin::experiment::ExperimentPlan;
use standin::experiment::ExperimentReport;
use standin::experiment::run_experiment;
use standin::load::CustomerReport;
use standin::log_output::redirect_log;

const SEED: u64 = 6;
const HOSTS: u64 = 10;
const TARGETS: u64 = 36;
const FAULT_SECONDS: f64 = 6.0;
const FAULT_INTERVAL_SECONDS: f64 = 0.4;
/// Time from the start of a fault to the step that ends it.
const OUTAGE_SECONDS: f64 = 1.0;

/// Draws faults from the seed; each of them ends before the run does.
fn random_faults() -> Vec<Value> {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut faults = Vec::new();
    let mut at = 0.5;
    while at < FAULT_SECONDS {
        let (host, target) = (random.random_range(1..HOSTS), random.random_range(0..TARGETS));
        let (first, last) = match random.random_range(0..5) {
            0 => (
                json!({ "do": "kill_hosts", "hosts": [host] }),
                json!({ "do": "start_hosts", "hosts": [host] }),
            ),
            1 => (
                json!({ "do": "pause_host", "host": host, "for_ms": 400 }),
                json!({ "do": "undrain" }),
            ),
            2 => (
                json!({ "do": "kill_targets", "targets": [target] }),
                json!({ "do": "start_targets", "targets": [target] }),
            ),
            3 => (
                json!({ "do": "hang_targets", "targets": [target] }),
                json!({ "do": "heal_targets", "targets": [target] }),
            ),
            _ => (json!({ "do": "drain_target", "target": target }), json!({ "do": "undrain" })),
        };
        for (time, mut fault) in [(at, first), (at + OUTAGE_SECONDS, last)] {
            fault["at_s"] = json!(time);
            faults.push(fault);
        }
        at += FAULT_INTERVAL_SECONDS;
    }
    faults.sort_by(|left, right| {
        left["at_s"].as_f64().unwrap().total_cmp(&right["at_s"].as_f64().unwrap())
    });
    faults
}

async fn run_faults(seconds: f64, rate_share: f64, faults: Vec<Value>) -> ExperimentReport {
    redirect_log(None).unwrap();
    let plan = json!({
        "name": "requests", "seconds": seconds, "seed": SEED, "rate_share": rate_share, "faults": faults,
    });
    run_experiment(&ExperimentPlan::parse(&plan.to_string()).unwrap()).await.unwrap()
}

fn assert_guarantees(report: &ExperimentReport) {
    let ExperimentReport { load, targets, .. } = report;
    assert!(load.answered > 0);
    assert_eq!((load.executed_twice, load.wrong_answers), (0, 0));
    assert_eq!((load.false_not_run, targets.keys_seen), (0, 0));
}

fn print_ends(report: &ExperimentReport) {
    println!("{} requests, {} answered", report.load.requests, report.load.answered);
    for customer in &report.load.customers {
        println!("{}: {:?}", customer.customer, customer.unanswered);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn random_faults_cause_no_double_execution_or_wrong_answer() {
    let report = run_faults(FAULT_SECONDS + 2.0, 0.8, random_faults()).await;
    print_ends(&report);
    assert_guarantees(&report);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replacing_every_host_cuts_no_answer() {
    let faults = vec![json!({ "at_s": 0.5, "do": "replace_hosts", "pause_ms": 100 })];
    let report = run_faults(16.0, 0.5, faults).await;
    print_ends(&report);
    assert_guarantees(&report);
    assert!(report.faults.iter().all(|fault| fault.error.is_none()), "{:?}", report.faults);
    assert_eq!(report.load.cut_answers, 0);
    let cut = |customer: &CustomerReport| {
        let ends = ["no-answer", "timed-out"].map(|end| customer.unanswered.get(end).copied());
        ends.into_iter().flatten().sum::<u64>()
    };
    assert_eq!(report.load.customers.iter().map(cut).sum::<u64>(), 0);
}
