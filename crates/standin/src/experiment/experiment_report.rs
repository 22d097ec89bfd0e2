//! The report of an experiment and the quantities computed for it.

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::deployment::DeploymentKind;
use crate::deployment::FleetDeployment;
use crate::experiment::fault_runner::AppliedFault;
use crate::experiment::headroom_sampler::HeadroomSample;
use crate::experiment::per_second_series::PerSecondSeries;
use crate::load::LoadReport;
use crate::load::RequestEnd;
use crate::load::RequestRecord;
use crate::target_standin::TargetCounts;

/// The quantities that both users measure, and those whose limits are guaranteed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExperimentMeasures {
    /// Largest median latency of any customer, in milliseconds.
    pub worst_p50_ms: f64,
    /// Largest 99th percentile of latency of any customer, in milliseconds.
    pub worst_p99_ms: f64,
    /// Ratio of the 99th percentile of the worst-served customer to that of the median customer.
    pub worst_to_median_p99: f64,
    /// Smallest share of free slots of a region, from 0 to 1, without the first second and without samples of 0, which
    /// count as a region that is down.
    pub least_headroom: f64,
    /// Seconds from the acceptance of the first drain to the last request sent to a drained target before the drain was
    /// removed; `None` without a drain.
    pub drain_time_s: Option<f64>,
    /// Share of all requests that were refused for the rate while an ideal token bucket still had a token.
    pub wrongful_refusal_share: f64,
    /// Largest number of requests beyond the rate and burst of a customer that were certainly admitted in one window.
    pub overshoot: f64,
    /// Seconds from the acceptance of the first withdrawal of a key to the last answered request that was sent with the
    /// key; `None` without a withdrawal.
    pub withdrawn_key_last_answer_s: Option<f64>,
    /// Share of all requests that ended in a complete answer, from 0 to 1.
    pub answered_share: f64,
}

/// Report of an experiment, which is written as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment in its plan.
    pub name: Box<str>,
    /// Example deployment in which the experiment ran.
    pub deployment: DeploymentKind,
    /// Time during which callers started requests, in seconds.
    pub seconds: f64,
    /// Seed of the random choices of the load.
    pub seed: u64,
    /// Quantities computed over the whole run.
    pub measures: ExperimentMeasures,
    /// Faults as they were injected, with their times and errors.
    pub faults: Vec<AppliedFault>,
    /// Results of the load as callers saw them.
    pub load: LoadReport,
    /// Sums of the counters of all targets; `max_in_flight` is the number of targets that exceeded their slots.
    pub targets: TargetCounts,
    /// Latency, failures and answers for each second of the run.
    pub series: PerSecondSeries,
    /// Samples of the free slots of each region.
    pub headroom: Vec<HeadroomSample>,
    /// Counters of calls in the store stand-in.
    pub store: Value,
}

impl ExperimentMeasures {
    /// Computes the quantities from the load report, its records, the injected faults and the samples of free slots.
    pub fn from_run(
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
            drain_time_s: drain_seconds(records, faults),
            wrongful_refusal_share: share(load.wrongful_refusals),
            overshoot: load.overshoot,
            withdrawn_key_last_answer_s: withdrawn_key_seconds(load, records, faults),
            answered_share: share(load.answered),
        }
    }
}

/// Sums the counters of all targets. `max_in_flight` becomes the number of targets that exceeded their slots.
pub fn total_target_counts(deployment: &FleetDeployment) -> TargetCounts {
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
        sum.refused_early += counts.refused_early;
        sum.bodies.add(counts.bodies);
    }
    sum
}

/// Returns the smallest share of free slots over all samples after the first second. A share of 0 is left out, because
/// it stands for a region that is down.
fn least_headroom(samples: &[HeadroomSample]) -> f64 {
    let shares = samples
        .iter()
        .filter(|sample| sample.at_s >= 1.0)
        .flat_map(|sample| sample.free_share.values().copied())
        .filter(|share| *share > 0.0);
    shares.fold(1.0, f64::min)
}

fn drain_seconds(records: &[RequestRecord], faults: &[AppliedFault]) -> Option<f64> {
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

fn withdrawn_key_seconds(
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
