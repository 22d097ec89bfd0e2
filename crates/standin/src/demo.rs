//! A whole small deployment inside one process, with callers of all customers for a bounded time.

use std::time::Duration;
use std::time::Instant;

use crate::deployment::DeploymentError;
use crate::deployment::DeploymentKind;
use crate::deployment::DeploymentOptions;
use crate::deployment::FleetDeployment;
use crate::load::LoadDriver;
use crate::load::LoadReport;
use crate::report_table::report_text;

/// Part of a customer's rate that its callers send.
const RATE_SHARE: f64 = 0.6;
const LOAD_SEED: u64 = 1;

/// Starts the deployment, drives callers for `duration` and prints a report.
///
/// # Errors
///
/// Fails if a part cannot start or the configuration does not come in force.
pub async fn run(kind: DeploymentKind, duration: Duration) -> Result<(), DeploymentError> {
    let started = Instant::now();
    let deployment = FleetDeployment::start(&DeploymentOptions::new(kind)).await?;
    let (plan, _) =
        deployment.standard_load(kind, duration.as_secs_f64(), RATE_SHARE, LOAD_SEED).await?;
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
