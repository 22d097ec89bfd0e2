//! What state and membership cost a host, and how they recover, over the number of hosts.

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
const REST_TIME: Duration = Duration::from_secs(8);
const OUTAGE: Duration = Duration::from_secs(8);
const CHANGES: usize = 15;
const CHANGE_PAUSE: Duration = Duration::from_millis(150);
const BYTES_PER_MEGABYTE: f64 = 1_048_576.0;
const BYTES_PER_KILOBYTE: f64 = 1_000.0;

/// Hosts without traffic: at rest, while changes are accepted, and in storms.
pub struct StateScale {
    sizes: Vec<usize>,
}

type Values = IndexMap<Box<str>, f64>;

impl Default for StateScale {
    fn default() -> Self {
        Self { sizes: vec![10, 30, 60, 120] }
    }
}

impl StateScale {
    async fn point(hosts: usize) -> Result<MeasuredPoint, MeasureError> {
        let mut values = Values::new();
        let before = ProcessUsage::now()?;
        let mut fleet = StateFleet::start(hosts).await?;
        fleet.change(0, "first").await?;
        tokio::time::sleep(SETTLE_TIME).await;
        at_rest(&fleet, before, &mut values).await?;
        changes(&fleet, &mut values).await?;
        new_hosts(&mut fleet, hosts, &mut values).await?;
        outage(&fleet, &mut values).await?;
        restart(&mut fleet, hosts, &mut values).await?;
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

    fn points(&self) -> BoxFuture<'_, Result<Vec<MeasuredPoint>, MeasureError>> {
        async move {
            let mut points = Vec::new();
            for size in &self.sizes {
                points.push(Self::point(*size).await?);
            }
            Ok(points)
        }
        .boxed()
    }
}

async fn at_rest(
    fleet: &StateFleet,
    before: ProcessUsage,
    values: &mut Values,
) -> Result<(), MeasureError> {
    let hosts = fleet.hosts.len() as f64;
    let (start, calls, bytes) = (ProcessUsage::now()?, fleet.calls(), fleet.bytes_out());
    tokio::time::sleep(REST_TIME).await;
    let end = ProcessUsage::now()?;
    let rest = REST_TIME.as_secs_f64();
    let sent: Vec<f64> = fleet
        .bytes_out()
        .iter()
        .zip(&bytes)
        .map(|(after, before)| (after - before) as f64 / rest / BYTES_PER_KILOBYTE)
        .collect();
    let grown = end.resident_bytes.saturating_sub(before.resident_bytes) as f64;
    let busy = (end.processor_time - start.processor_time).as_secs_f64();
    values.insert("store calls at rest, per second".into(), (fleet.calls() - calls) as f64 / rest);
    values.insert("bytes sent by a host, mean KB/s".into(), sent.iter().sum::<f64>() / hosts);
    values
        .insert("bytes sent by a host, most KB/s".into(), sent.iter().copied().fold(0.0, f64::max));
    values.insert("processor of a host, percent of a core".into(), 100.0 * busy / rest / hosts);
    values.insert("memory of a host, MB".into(), grown / BYTES_PER_MEGABYTE / hosts);
    Ok(())
}

async fn changes(fleet: &StateFleet, values: &mut Values) -> Result<(), MeasureError> {
    let mut times = Vec::new();
    for number in 0..CHANGES {
        tokio::time::sleep(CHANGE_PAUSE).await;
        let revision = fleet.change(number * 7, &format!("change-{number}")).await?;
        times.push(fleet.seconds_until(revision, 0).await?);
    }
    times.sort_by(f64::total_cmp);
    values.insert("change in force everywhere, median s".into(), times[times.len() / 2]);
    values.insert("change in force everywhere, worst s".into(), times[times.len() - 1]);
    Ok(())
}

/// A new host with the store, and one whose store is out.
async fn new_hosts(
    fleet: &mut StateFleet,
    hosts: usize,
    values: &mut Values,
) -> Result<(), MeasureError> {
    let revision = fleet.hosts[0].state().configuration.load().revision;
    fleet.grow(hosts + 1).await?;
    let seconds = fleet.seconds_until(revision, hosts).await?;
    values.insert("new host with the store, s".into(), seconds);
    fleet.seeds = fleet.hosts.iter().take(2).map(|host| host.mesh_address()).collect();
    fleet.store.set_faults(FaultPlan { silent: true, ..FaultPlan::default() });
    fleet.grow(hosts + 2).await?;
    let seconds = fleet.seconds_until(revision, hosts + 1).await?;
    values.insert("new host with seeds, store out, s".into(), seconds);
    fleet.store.set_faults(FaultPlan::default());
    Ok(())
}

/// The store is out for a while and comes back.
async fn outage(fleet: &StateFleet, values: &mut Values) -> Result<(), MeasureError> {
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.store.set_faults(FaultPlan { down: true, ..FaultPlan::default() });
    let (calls, from) = (fleet.calls(), fleet.counted_seconds());
    tokio::time::sleep(OUTAGE).await;
    let called = (fleet.calls() - calls) as f64 / OUTAGE.as_secs_f64();
    values.insert("store calls while it is down, per second".into(), called);
    fleet.store.set_faults(FaultPlan::default());
    tokio::time::sleep(SETTLE_TIME).await;
    let peak = fleet.peak_calls(from) as f64;
    values.insert("store calls while down and back, most in a second".into(), peak);
    Ok(())
}

/// All hosts end and start at once.
async fn restart(
    fleet: &mut StateFleet,
    hosts: usize,
    values: &mut Values,
) -> Result<(), MeasureError> {
    let revision = fleet.hosts[0].state().configuration.load().revision;
    fleet.end_all();
    fleet.seeds.clear();
    let from = fleet.counted_seconds();
    fleet.grow(hosts).await?;
    let seconds = fleet.seconds_until(revision, 0).await?;
    values.insert("all hosts started at once, s until served".into(), seconds);
    tokio::time::sleep(SETTLE_TIME).await;
    let peak = fleet.peak_calls(from) as f64;
    values.insert("store calls when all start, most in a second".into(), peak);
    Ok(())
}
