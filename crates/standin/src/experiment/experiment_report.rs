//! Result of an experiment.

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::deployment::DeploymentKind;
use crate::deployment::FleetDeployment;
use crate::experiment::fault_runner::AppliedFault;
use crate::experiment::fleet_sampler::HeadroomSample;
use crate::experiment::second_series::SecondSeries;
use crate::load::LoadReport;
use crate::load::RequestEnd;
use crate::load::RequestRecord;
use crate::target_standin::TargetCounts;

/// The quantities that both users measure, and the promises that must hold.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExperimentMeasures {
    /// Greatest 50th percentile of a customer, in milliseconds.
    pub worst_p50_ms: f64,
    /// Greatest 99th percentile of a customer, in milliseconds.
    pub worst_p99_ms: f64,
    /// 99th percentile of the worst-served customer over that of the median customer.
    pub worst_to_median_p99: f64,
    /// Least share of free slots in a region that was up, after the first second.
    pub least_headroom: f64,
    /// Seconds from the acceptance of the first drain to the last request that a drained target was sent before
    /// the drain was taken back.
    pub drain_time_s: Option<f64>,
    /// Requests refused for the rate while the ideal bucket had a token, in parts of all requests.
    pub wrongful_refusal_share: f64,
    /// Most requests beyond rate and burst of a customer that were certainly admitted inside one window.
    pub overshoot: f64,
    /// Seconds from the acceptance of a withdrawal to the last request sent that was answered with the key.
    pub withdrawn_key_last_answer_s: Option<f64>,
    /// Share of requests that ended in a whole answer.
    pub answered_share: f64,
}

/// Result of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// Name.
    pub name: Box<str>,
    /// Deployment.
    pub deployment: DeploymentKind,
    /// Length of the load, in seconds.
    pub seconds: f64,
    /// Seed.
    pub seed: u64,
    /// The quantities measured.
    pub measures: ExperimentMeasures,
    /// Faults as brought about.
    pub faults: Vec<AppliedFault>,
    /// What callers saw.
    pub load: LoadReport,
    /// What targets counted, summed; for `max_in_flight` the number of targets that went over their slots.
    pub targets: TargetCounts,
    /// What happened in each second.
    pub series: SecondSeries,
    /// Free slots over time.
    pub headroom: Vec<HeadroomSample>,
    /// Calls of the store.
    pub store: Value,
}

impl ExperimentMeasures {
    /// Measures of a run.
    pub fn of(
        load: &LoadReport,
        records: &[RequestRecord],
        faults: &[AppliedFault],
        headroom: &[HeadroomSample],
    ) -> Self {
        let worst = |value: fn(&crate::load::CustomerReport) -> f64| {
            load.customers.iter().map(value).fold(0.0, f64::max)
        };
        let share = |count: u64| count as f64 / load.requests.max(1) as f64;
        Self {
            worst_p50_ms: worst(|customer| customer.latency.p50_ms),
            worst_p99_ms: worst(|customer| customer.latency.p99_ms),
            worst_to_median_p99: load.worst_to_median_p99,
            least_headroom: least_headroom(headroom),
            drain_time_s: drain_time(records, faults),
            wrongful_refusal_share: share(load.wrongful_refusals),
            overshoot: load.overshoot,
            withdrawn_key_last_answer_s: withdrawn_key_time(load, records, faults),
            answered_share: share(load.answered),
        }
    }
}

/// Counts of all targets together.
pub fn summed_counts(deployment: &FleetDeployment) -> TargetCounts {
    let mut sum = TargetCounts::default();
    for target in deployment.targets.values() {
        let counts = target.counts();
        sum.executed += counts.executed;
        sum.executed_twice += counts.executed_twice;
        sum.posts_executed_twice += counts.posts_executed_twice;
        sum.max_in_flight += u32::from(counts.max_in_flight > target.slots());
        sum.over_slots += counts.over_slots;
        sum.keys_seen += counts.keys_seen;
        sum.shed += counts.shed;
        sum.cancelled += counts.cancelled;
        sum.timed_out += counts.timed_out;
        sum.cut_uploads += counts.cut_uploads;
        sum.untracked += counts.untracked;
    }
    sum
}

/// A region without a free slot in any sample of a second counts as down, not as full.
fn least_headroom(samples: &[HeadroomSample]) -> f64 {
    let shares = samples
        .iter()
        .filter(|sample| sample.at_s >= 1.0)
        .flat_map(|sample| sample.free_share.values().copied())
        .filter(|share| *share > 0.0);
    shares.fold(1.0, f64::min)
}

fn drain_time(records: &[RequestRecord], faults: &[AppliedFault]) -> Option<f64> {
    let fault = faults.iter().find(|fault| !fault.drained_targets.is_empty())?;
    let drained: IndexMap<&str, ()> =
        fault.drained_targets.iter().map(|name| (&**name, ())).collect();
    let ends = faults.iter().filter(|other| other.ends_drains && other.at_s > fault.at_s);
    let end = ends.map(|other| other.at_s).fold(f64::INFINITY, f64::min);
    let last = records
        .iter()
        .filter(|record| record.sent_at.as_secs_f64() < end)
        .filter(|record| record.target.as_deref().is_some_and(|name| drained.contains_key(name)))
        .map(|record| record.sent_at.as_secs_f64())
        .fold(fault.done_s, f64::max);
    Some(last - fault.done_s)
}

fn withdrawn_key_time(
    load: &LoadReport,
    records: &[RequestRecord],
    faults: &[AppliedFault],
) -> Option<f64> {
    let fault = faults.iter().find(|fault| fault.withdrawn_customer.is_some())?;
    let customer = load
        .customers
        .iter()
        .position(|customer| Some(&customer.customer) == fault.withdrawn_customer.as_ref())?;
    let last = records
        .iter()
        .filter(|record| record.customer == customer && record.has_key)
        .filter(|record| matches!(record.end, RequestEnd::Answered { .. }))
        .map(|record| record.sent_at.as_secs_f64())
        .fold(fault.done_s, f64::max);
    Some(last - fault.done_s)
}
