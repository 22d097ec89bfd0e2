//! The `demo` subcommand: runs a small deployment in this process under load from every customer for a limited time.

use std::time::Duration;
use std::time::Instant;

use crate::deployment::DeploymentError;
use crate::deployment::DeploymentKind;
use crate::deployment::DeploymentOptions;
use crate::deployment::FleetDeployment;
use crate::load::LoadDriver;
use crate::load::LoadReport;
use crate::report_table::report_text;

/// Share of a customer's configured rate that its callers send, from 0 to 1.
const RATE_SHARE: f64 = 0.6;
const LOAD_SEED: u64 = 1;

/// Starts the deployment, sends load for `duration` and prints a report on standard output.
///
/// # Errors
///
/// Fails if a store, target or host cannot start, or if the configuration does not take effect on every host in time.
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
