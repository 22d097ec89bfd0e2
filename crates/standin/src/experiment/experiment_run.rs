//! Runs an experiment: starts its deployment, sends the load, injects the faults and computes the report.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use snafu::ResultExt;

use crate::deployment::DeploymentKind;
use crate::deployment::DeploymentOptions;
use crate::deployment::FleetDeployment;
use crate::experiment::ExperimentError;
use crate::experiment::ExperimentPlan;
use crate::experiment::ExperimentReport;
use crate::experiment::experiment_error::DeploymentSnafu;
use crate::experiment::experiment_error::FileSnafu;
use crate::experiment::experiment_report::ExperimentMeasures;
use crate::experiment::experiment_report::total_target_counts;
use crate::experiment::fault_runner::FaultRunner;
use crate::experiment::headroom_sampler::HeadroomSampler;
use crate::experiment::per_second_series::PerSecondSeries;
use crate::experiment::report_picture::draw_report;
use crate::load::CustomerSurge;
use crate::load::LoadDriver;
use crate::load::LoadReport;

/// Wait between the start of the deployment and that of the load, so that hosts reach a steady state first.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Runs the experiment in `file` and writes its report into `directory` as a JSON file and an SVG chart, both named after
/// the deployment and the plan file. `kind` overrides the deployment of the plan.
///
/// # Errors
///
/// Fails if the plan cannot be read or is invalid, the deployment does not start or a file cannot be written.
pub async fn run_file(
    file: &Path,
    kind: Option<DeploymentKind>,
    directory: &Path,
) -> Result<ExperimentReport, ExperimentError> {
    let path: Box<str> = file.display().to_string().into();
    let text = std::fs::read_to_string(file).context(FileSnafu { path: path.clone() })?;
    let mut plan = ExperimentPlan::parse(&text)
        .map_err(|reason| ExperimentError::Invalid { path: path.clone(), reason })?;
    plan.deployment = kind.unwrap_or(plan.deployment);
    let report = run_experiment(&plan).await?;
    let stem = file.file_stem().and_then(|stem| stem.to_str()).unwrap_or("experiment");
    let base = directory.join(format!("{}-{stem}", plan.deployment.name()));
    std::fs::create_dir_all(directory)
        .context(FileSnafu { path: directory.display().to_string() })?;
    let json = serde_json::to_string_pretty(&report).unwrap_or_default();
    let json_path = base.with_extension("json");
    std::fs::write(&json_path, json)
        .context(FileSnafu { path: json_path.display().to_string() })?;
    draw_report(&report, &base.with_extension("svg"))
        .map_err(|reason| ExperimentError::Picture { reason })?;
    Ok(report)
}

/// Runs an experiment and returns its report. A fault that cannot be injected is noted in the report.
///
/// # Errors
///
/// Fails if the deployment does not start or a customer gets no key.
pub async fn run_experiment(plan: &ExperimentPlan) -> Result<ExperimentReport, ExperimentError> {
    let mut options = DeploymentOptions::new(plan.deployment);
    options.behaviour = plan.targets.clone().unwrap_or(options.behaviour);
    options.shift_cap_percent_per_minute = plan.shift_cap_percent_per_minute;
    options.host_list_lag = Duration::from_millis(plan.host_list_lag_ms);
    let mut deployment = FleetDeployment::start(&options).await.context(DeploymentSnafu)?;
    let (mut load, key_ids) = deployment
        .standard_load(plan.deployment, plan.seconds, plan.rate_share, plan.seed)
        .await
        .context(DeploymentSnafu)?;
    for surge in &plan.surges {
        if let Some(customer) = load.customers.get_mut(surge.customer) {
            let (from_s, to_s, factor) = (surge.from_s, surge.to_s, surge.factor);
            customer.surges.push(CustomerSurge { from_s, to_s, factor });
        }
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let start = Instant::now();
    let sampler = HeadroomSampler::start(&deployment, start);
    let driver = LoadDriver::new(load.clone(), start);
    let faults = FaultRunner::new(&mut deployment, key_ids, options.behaviour.clone(), start);
    let (records, applied) = tokio::join!(driver.run(), faults.run(&plan.faults));
    let headroom = sampler.finish().await;
    let report = LoadReport::new(&load, &records, &deployment.executions());
    Ok(ExperimentReport {
        name: plan.name.clone(),
        deployment: plan.deployment,
        seconds: plan.seconds,
        seed: plan.seed,
        measures: ExperimentMeasures::from_run(&report, &records, &applied, &headroom),
        faults: applied,
        series: PerSecondSeries::from_records(&load, &records, &deployment),
        load: report,
        targets: total_target_counts(&deployment),
        headroom,
        store: deployment.store.counters(),
    })
}
