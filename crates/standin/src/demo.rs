//! The `demo` subcommand: runs a small deployment in this process under load from every customer for a limited time.

use std::time::Duration;
use std::time::Instant;

use crate::deployment::DeploymentError;
use crate::deployment::DeploymentKind;
use crate::deployment::DeploymentOptions;
use crate::deployment::FleetDeployment;
use crate::deployment::mixed_upload_template;
use crate::load::LoadDriver;
use crate::load::LoadReport;
use crate::report_table::report_text;

/// Share of a customer's configured rate that its callers send, from 0 to 1.
const RATE_SHARE: f64 = 0.6;
/// Share of requests with a body that targets refuse before they have read it, in percent.
const REFUSE_EARLY_PERCENT: f64 = 20.0;
const LOAD_SEED: u64 = 1;

/// Starts the deployment, sends load for `duration` and prints a report on standard output.
///
/// # Errors
///
/// Fails if a store, target or host cannot start, or if the configuration does not take effect on every host in time.
///
/// # Panics
///
/// Panics after the report if a target got another request than its caller sent.
pub async fn run(kind: DeploymentKind, duration: Duration) -> Result<(), DeploymentError> {
    let started = Instant::now();
    let mut options = DeploymentOptions::new(kind);
    options.behaviour.refuse_early_percent = REFUSE_EARLY_PERCENT;
    let deployment = FleetDeployment::start(&options).await?;
    let (mut plan, _) =
        deployment.standard_load(kind, duration.as_secs_f64(), RATE_SHARE, LOAD_SEED).await?;
    plan.requests.push(mixed_upload_template(kind));
    println!(
        "{}: a store, {} entry hosts, {} targets and callers of {} customers, ready after {:.1} s; load for {} s\n",
        kind.name(),
        deployment.hosts.len(),
        deployment.targets.len(),
        plan.customers.len(),
        started.elapsed().as_secs_f64(),
        duration.as_secs()
    );
    let records = LoadDriver::new(plan.clone(), Instant::now()).run().await;
    let report = LoadReport::new(&plan, &records, &deployment.executions());
    print!("{}", report_text(&report, &deployment));
    let counters = deployment.store.counters();
    println!(
        "store: {} calls, at most {} in one second",
        counters["total"], counters["peak_per_second"]
    );
    Ok(())
}
