//! Measures the cost of idle hosts and the delay of a configuration change at several numbers of hosts.

use std::time::Duration;
use std::time::Instant;

use buckthornturn::configuration::ConfigObject;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Method;
use indexmap::IndexMap;
use serde_json::json;
use snafu::ResultExt;

use crate::deployment::DeploymentKind;
use crate::deployment::DeploymentOptions;
use crate::deployment::FleetDeployment;
use crate::measure::MeasureError;
use crate::measure::MeasuredPoint;
use crate::measure::ProcessUsage;
use crate::measure::SlopeMeasure;
use crate::measure::slope_measure::DeploymentSnafu;

const SETTLE_TIME: Duration = Duration::from_secs(5);
const IDLE_TIME: Duration = Duration::from_secs(10);
const CHANGE_COUNT: usize = 10;
const CHANGE_PAUSE: Duration = Duration::from_millis(200);
const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;

/// Measures whole deployments without load, at several numbers of hosts.
pub struct FleetScale {
    sizes: Vec<usize>,
}

impl Default for FleetScale {
    fn default() -> Self {
        Self { sizes: vec![6, 12, 24, 48] }
    }
}

impl FleetScale {
    async fn measure_size(
        hosts: usize,
        before: ProcessUsage,
    ) -> Result<MeasuredPoint, MeasureError> {
        let options = DeploymentOptions {
            host_count: hosts,
            ..DeploymentOptions::new(DeploymentKind::Heredia)
        };
        let deployment = FleetDeployment::start(&options).await.context(DeploymentSnafu)?;
        tokio::time::sleep(SETTLE_TIME).await;
        let (start, calls) = (ProcessUsage::now()?, store_call_count(&deployment));
        tokio::time::sleep(IDLE_TIME).await;
        let end = ProcessUsage::now()?;
        let idle_seconds = IDLE_TIME.as_secs_f64();
        let mut values = IndexMap::new();
        let added_bytes = end.resident_bytes.saturating_sub(before.resident_bytes) as f64;
        values.insert("memory of all, MB".into(), added_bytes / BYTES_PER_MEGABYTE);
        let processor_seconds = (end.processor_time - start.processor_time).as_secs_f64();
        values.insert(
            "processor at rest, percent of a core".into(),
            100.0 * processor_seconds / idle_seconds,
        );
        let call_count = (self::store_call_count(&deployment) - calls) as f64;
        values.insert("store calls at rest, per second".into(), call_count / idle_seconds);
        let mut times = measure_change_times(&deployment).await?;
        times.sort_by(f64::total_cmp);
        values.insert("change in force everywhere, median s".into(), times[times.len() / 2]);
        values.insert("change in force everywhere, worst s".into(), times[times.len() - 1]);
        Ok(MeasuredPoint { size: hosts as f64, values })
    }
}

impl SlopeMeasure for FleetScale {
    fn name(&self) -> &'static str {
        "hosts at rest and changes"
    }

    fn axis(&self) -> &'static str {
        "hosts in one process"
    }

    fn measure_points(&self) -> BoxFuture<'_, Result<Vec<MeasuredPoint>, MeasureError>> {
        async move {
            let mut points = Vec::new();
            let before = ProcessUsage::now()?;
            for size in &self.sizes {
                points.push(Self::measure_size(*size, before).await?);
            }
            Ok(points)
        }
        .boxed()
    }
}

/// Measures the seconds from the answer to an operator until a change is in force on every host, for several changes.
async fn measure_change_times(deployment: &FleetDeployment) -> Result<Vec<f64>, MeasureError> {
    let customer = deployment.objects.iter().find_map(|object| match object {
        ConfigObject::Customer(spec) => Some(spec.clone()),
        _ => None,
    });
    let mut times = Vec::new();
    let mut spec = customer.ok_or(MeasureError::Failed { reason: "no customer".into() })?;
    for _ in 0..CHANGE_COUNT {
        tokio::time::sleep(CHANGE_PAUSE).await;
        spec.burst += 1.0;
        let change = json!({ "operation": "put", "object": ConfigObject::Customer(spec.clone()) });
        let body = json!({ "changes": [change] });
        let answer = deployment
            .call_operator_api(Method::POST, "/v1/apply", body)
            .await
            .context(DeploymentSnafu)?;
        let accepted = Instant::now();
        let revision = answer["revision"].as_u64().unwrap_or(0);
        deployment.wait_in_force(revision).await.context(DeploymentSnafu)?;
        times.push(accepted.elapsed().as_secs_f64());
    }
    Ok(times)
}

fn store_call_count(deployment: &FleetDeployment) -> u64 {
    deployment.store.counters()["total"].as_u64().unwrap_or(0)
}
