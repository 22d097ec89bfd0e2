//! Latency, failures and answers for each second of a run.

use indexmap::IndexMap;
use serde::Serialize;

use crate::deployment::FleetDeployment;
use crate::load::LatencySummary;
use crate::load::LoadPlan;
use crate::load::RequestEnd;
use crate::load::RequestRecord;

/// Values for each second of the load. A record outside of it counts in the last second.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PerSecondSeries {
    /// 99th percentile of latency in milliseconds by customer, for each second of the planned start; 0 without answers.
    /// Bulk transfers are left out.
    pub p99_ms: IndexMap<Box<str>, Vec<f64>>,
    /// Number of requests without an answer by reason, for each second of the planned start.
    pub unanswered: IndexMap<Box<str>, Vec<u64>>,
    /// Number of answers by the failure domain of the target, for each second in which the last attempt was sent.
    pub answers_by_target_domain: IndexMap<Box<str>, Vec<u64>>,
}

impl PerSecondSeries {
    /// Computes the series from the records of a run; the deployment gives the failure domains of targets.
    pub fn from_records(
        plan: &LoadPlan,
        records: &[RequestRecord],
        deployment: &FleetDeployment,
    ) -> Self {
        let seconds = plan.seconds.ceil() as usize;
        let mut series = Self::default();
        for (index, load) in plan.customers.iter().enumerate() {
            let mut by_second: Vec<Vec<&RequestRecord>> = vec![Vec::new(); seconds];
            for record in records.iter().filter(|record| record.customer == index) {
                let bulk = plan.requests[record.request].bulk;
                if matches!(record.end, RequestEnd::Answered { .. }) && !bulk {
                    by_second[second_index(record.planned_at.as_secs_f64(), seconds)].push(record);
                }
            }
            let p99 = by_second
                .into_iter()
                .map(|values| LatencySummary::from_records(values).p99_ms)
                .collect();
            series.p99_ms.insert(load.customer.clone(), p99);
        }
        for record in records {
            series.count_record(record, deployment, seconds);
        }
        series.answers_by_target_domain.sort_keys();
        series
    }

    fn count_record(
        &mut self,
        record: &RequestRecord,
        deployment: &FleetDeployment,
        seconds: usize,
    ) {
        let (counts, name, at) = match (&record.end, &record.target) {
            (RequestEnd::Answered { .. }, Some(target)) => {
                let target = deployment.targets.get(target);
                let domain = target.map(|target| target.failure_domain.clone());
                (&mut self.answers_by_target_domain, domain.unwrap_or_default(), record.sent_at)
            }
            (RequestEnd::Answered { .. }, None) => return,
            (end, _) => (&mut self.unanswered, end.short_name(), record.planned_at),
        };
        let values = counts.entry(name).or_insert_with(|| vec![0; seconds]);
        values[second_index(at.as_secs_f64(), seconds)] += 1;
    }
}

fn second_index(at: f64, seconds: usize) -> usize {
    (at as usize).min(seconds.saturating_sub(1))
}
