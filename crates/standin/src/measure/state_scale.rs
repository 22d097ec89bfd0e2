//! Measures the cost of state and membership per host, and the time of recovery, at several numbers of hosts.

use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use indexmap::IndexMap;

use crate::measure::MeasureError;
use crate::measure::MeasuredPoint;
use crate::measure::ProcessUsage;
use crate::measure::SlopeMeasure;
use crate::measure::state_fleet::StateFleet;
use crate::store::FaultPlan;

const SETTLE_TIME: Duration = Duration::from_secs(6);
const IDLE_TIME: Duration = Duration::from_secs(8);
const OUTAGE_TIME: Duration = Duration::from_secs(8);
const CHANGE_COUNT: usize = 15;
const CHANGE_PAUSE: Duration = Duration::from_millis(150);
const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;
const BYTES_PER_KILOBYTE: f64 = 1_000.0;

/// Measures hosts without traffic: idle, during configuration changes, during a store outage and at a full restart.
pub struct StateScale {
    sizes: Vec<usize>,
}

type MeasuredValues = IndexMap<Box<str>, f64>;

impl Default for StateScale {
    fn default() -> Self {
        Self { sizes: vec![10, 30, 60, 120] }
    }
}

impl StateScale {
    async fn measure_size(hosts: usize) -> Result<MeasuredPoint, MeasureError> {
        let mut values = MeasuredValues::new();
        let before = ProcessUsage::now()?;
        let mut fleet = StateFleet::start(hosts).await?;
        fleet.append_domain(0, "first").await?;
        tokio::time::sleep(SETTLE_TIME).await;
        measure_idle_cost(&fleet, before, &mut values).await?;
        measure_changes(&fleet, &mut values).await?;
        measure_new_hosts(&mut fleet, hosts, &mut values).await?;
        measure_store_outage(&fleet, &mut values).await?;
        measure_full_restart(&mut fleet, hosts, &mut values).await?;
        Ok(MeasuredPoint { size: hosts as f64, values })
    }
}

impl SlopeMeasure for StateScale {
    fn name(&self) -> &'static str {
        "state and membership"
    }

    fn axis(&self) -> &'static str {
        "hosts in one process, over six failure domains"
    }

    fn measure_points(&self) -> BoxFuture<'_, Result<Vec<MeasuredPoint>, MeasureError>> {
        async move {
            let mut points = Vec::new();
            for size in &self.sizes {
                points.push(Self::measure_size(*size).await?);
            }
            Ok(points)
        }
        .boxed()
    }
}

async fn measure_idle_cost(
    fleet: &StateFleet,
    before: ProcessUsage,
    values: &mut MeasuredValues,
) -> Result<(), MeasureError> {
    let hosts = fleet.hosts.len() as f64;
    let (start, calls, bytes) =
        (ProcessUsage::now()?, fleet.store_calls(), fleet.bytes_sent_by_host());
    tokio::time::sleep(IDLE_TIME).await;
    let end = ProcessUsage::now()?;
    let idle_seconds = IDLE_TIME.as_secs_f64();
    let sent_rates: Vec<f64> = fleet
        .bytes_sent_by_host()
        .iter()
        .zip(&bytes)
        .map(|(after, before)| (after - before) as f64 / idle_seconds / BYTES_PER_KILOBYTE)
        .collect();
    let added_bytes = end.resident_bytes.saturating_sub(before.resident_bytes) as f64;
    let processor_seconds = (end.processor_time - start.processor_time).as_secs_f64();
    values.insert(
        "store calls at rest, per second".into(),
        (fleet.store_calls() - calls) as f64 / idle_seconds,
    );
    values.insert("bytes sent by a host, mean KB/s".into(), sent_rates.iter().sum::<f64>() / hosts);
    values.insert(
        "bytes sent by a host, most KB/s".into(),
        sent_rates.iter().copied().fold(0.0, f64::max),
    );
    values.insert(
        "processor of a host, percent of a core".into(),
        100.0 * processor_seconds / idle_seconds / hosts,
    );
    values.insert("memory of a host, MB".into(), added_bytes / BYTES_PER_MEGABYTE / hosts);
    Ok(())
}

async fn measure_changes(
    fleet: &StateFleet,
    values: &mut MeasuredValues,
) -> Result<(), MeasureError> {
    let mut times = Vec::new();
    for number in 0..CHANGE_COUNT {
        tokio::time::sleep(CHANGE_PAUSE).await;
        let revision = fleet.append_domain(number * 7, &format!("change-{number}")).await?;
        times.push(fleet.seconds_until_in_force(revision, 0).await?);
    }
    times.sort_by(f64::total_cmp);
    values.insert("change in force everywhere, median s".into(), times[times.len() / 2]);
    values.insert("change in force everywhere, worst s".into(), times[times.len() - 1]);
    Ok(())
}

/// Measures how long a new host takes to reach the current revision, with the store and, through seeds, without it.
async fn measure_new_hosts(
    fleet: &mut StateFleet,
    hosts: usize,
    values: &mut MeasuredValues,
) -> Result<(), MeasureError> {
    let revision = fleet.hosts[0].state().configuration.load().revision;
    fleet.start_hosts_up_to(hosts + 1).await?;
    let seconds = fleet.seconds_until_in_force(revision, hosts).await?;
    values.insert("new host with the store, s".into(), seconds);
    fleet.seeds = fleet.hosts.iter().take(2).map(|host| host.mesh_address()).collect();
    fleet.store.set_faults(FaultPlan { silent: true, ..FaultPlan::default() });
    fleet.start_hosts_up_to(hosts + 2).await?;
    let seconds = fleet.seconds_until_in_force(revision, hosts + 1).await?;
    values.insert("new host with seeds, store out, s".into(), seconds);
    fleet.store.set_faults(FaultPlan::default());
    Ok(())
}

/// Measures the calls to the store while it is down and at the peak after its return.
async fn measure_store_outage(
    fleet: &StateFleet,
    values: &mut MeasuredValues,
) -> Result<(), MeasureError> {
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.store.set_faults(FaultPlan { down: true, ..FaultPlan::default() });
    let (calls, from) = (fleet.store_calls(), fleet.store_seconds());
    tokio::time::sleep(OUTAGE_TIME).await;
    let call_rate = (fleet.store_calls() - calls) as f64 / OUTAGE_TIME.as_secs_f64();
    values.insert("store calls while it is down, per second".into(), call_rate);
    fleet.store.set_faults(FaultPlan::default());
    tokio::time::sleep(SETTLE_TIME).await;
    let peak = fleet.peak_store_calls(from) as f64;
    values.insert("store calls while down and back, most in a second".into(), peak);
    Ok(())
}

/// Measures how long all hosts take to reach the current revision when they restart at the same time, and the peak of
/// calls to the store.
async fn measure_full_restart(
    fleet: &mut StateFleet,
    hosts: usize,
    values: &mut MeasuredValues,
) -> Result<(), MeasureError> {
    let revision = fleet.hosts[0].state().configuration.load().revision;
    fleet.kill_all_hosts();
    fleet.seeds.clear();
    let from = fleet.store_seconds();
    fleet.start_hosts_up_to(hosts).await?;
    let seconds = fleet.seconds_until_in_force(revision, 0).await?;
    values.insert("all hosts started at once, s until served".into(), seconds);
    tokio::time::sleep(SETTLE_TIME).await;
    let peak = fleet.peak_store_calls(from) as f64;
    values.insert("store calls when all start, most in a second".into(), peak);
    Ok(())
}
