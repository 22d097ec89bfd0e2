//! Samples the free slots of each region while an experiment runs.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Serialize;
use tokio::task::JoinHandle;

use crate::deployment::FleetDeployment;
use crate::target_standin::ExecutionLedger;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Free slots of all regions at one time.
#[derive(Clone, Debug, Serialize)]
pub struct HeadroomSample {
    /// Time since the start of the load, in seconds.
    pub at_s: f64,
    /// Share of slots that are free, from 0 to 1, by region. Targets that are down have no free slot.
    pub free_share: IndexMap<Box<str>, f64>,
}

/// A background task that takes a sample every 100 milliseconds until [`finish`](Self::finish).
pub struct HeadroomSampler {
    task: JoinHandle<Vec<HeadroomSample>>,
    stop: Arc<tokio::sync::Notify>,
}

struct SampledTarget {
    region: Box<str>,
    slots: u32,
    ledger: Arc<ExecutionLedger>,
}

impl HeadroomSampler {
    /// Starts sampling the targets of a deployment; `start` is the start of the load.
    pub fn start(deployment: &FleetDeployment, start: Instant) -> Self {
        let targets: Vec<_> = deployment
            .targets
            .values()
            .map(|target| SampledTarget {
                region: deployment.links.region_of(&target.failure_domain).unwrap_or_default(),
                slots: target.slots(),
                ledger: target.shared_ledger(),
            })
            .collect();
        let stop = Arc::new(tokio::sync::Notify::new());
        let stopped = Arc::clone(&stop);
        let task = tokio::spawn(async move {
            let mut samples = Vec::new();
            let mut interval = tokio::time::interval(SAMPLE_INTERVAL);
            loop {
                tokio::select! {
                    _ = interval.tick() => samples.push(sample_headroom(&targets, start)),
                    () = stopped.notified() => return samples,
                }
            }
        });
        Self { task, stop }
    }

    /// Ends sampling and returns the samples in order of time.
    pub async fn finish(self) -> Vec<HeadroomSample> {
        self.stop.notify_one();
        self.task.await.unwrap_or_default()
    }
}

fn sample_headroom(targets: &[SampledTarget], start: Instant) -> HeadroomSample {
    let mut slots: IndexMap<Box<str>, (u32, u32)> = IndexMap::new();
    for target in targets {
        let (free_slots, total_slots) = slots.entry(target.region.clone()).or_default();
        *total_slots += target.slots;
        if target.ledger.is_running() {
            *free_slots += target.slots.saturating_sub(target.ledger.in_flight());
        }
    }
    let free_share = slots
        .into_iter()
        .map(|(region, (free_slots, total_slots))| {
            (region, f64::from(free_slots) / f64::from(total_slots.max(1)))
        })
        .collect();
    HeadroomSample { at_s: start.elapsed().as_secs_f64(), free_share }
}
