//! Report of all callers' requests, compared with the executions counted by the targets.

use indexmap::IndexMap;
use serde::Serialize;

use crate::load::CustomerReport;
use crate::load::LatencySummary;
use crate::load::LoadPlan;
use crate::load::RequestEnd;
use crate::load::RequestRecord;

/// Results of all requests of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Reports of the customers, in the order of the plan.
    pub customers: Vec<CustomerReport>,
    /// Latency of complete answers by name of the request template.
    pub latency_by_request: IndexMap<Box<str>, LatencySummary>,
    /// Number of complete answers by failure domain of the entry host.
    pub answers_by_domain: IndexMap<Box<str>, u64>,
    /// Number of complete answers by name of the target.
    pub answers_by_target: IndexMap<Box<str>, u64>,
    /// Number of requests planned, those not sent included.
    pub requests: u64,
    /// Number of complete answers of targets.
    pub answered: u64,
    /// Number of refusals for the rate while the ideal bucket had a token.
    pub wrongful_refusals: u64,
    /// Largest overshoot of any customer, in requests.
    pub overshoot: f64,
    /// Number of requests with `once` that targets executed more than once.
    pub executed_twice: u64,
    /// Number of answers that belong to another request.
    pub wrong_answers: u64,
    /// Number of answers that ended early.
    pub cut_answers: u64,
    /// Number of requests refused as "not run" that a target executed.
    pub false_not_run: u64,
    /// Number of the requests in `false_not_run` by template name and by how they ended for their callers.
    pub false_not_run_ends: IndexMap<Box<str>, u64>,
    /// Number of requests with `once` that were sent without a ticket.
    pub without_ticket: u64,
    /// Highest 99th percentile of latency of any customer divided by that of the median customer; 0 without answers.
    pub worst_to_median_p99: f64,
}

impl LoadReport {
    /// Builds the report; `executions` holds the number of executions by request identifier, summed over all targets.
    pub fn new(
        plan: &LoadPlan,
        records: &[RequestRecord],
        executions: &IndexMap<Box<str>, u32>,
    ) -> Self {
        let mut report = Self { requests: records.len() as u64, ..Self::default() };
        for (index, load) in plan.customers.iter().enumerate() {
            let customer_records: Vec<_> =
                records.iter().filter(|record| record.customer == index).collect();
            let customer = CustomerReport::from_records(plan, load, &customer_records);
            report.answered += customer.answered;
            report.wrongful_refusals += customer.wrongful_refusals;
            report.overshoot = report.overshoot.max(customer.overshoot);
            report.customers.push(customer);
        }
        for (index, template) in plan.requests.iter().enumerate() {
            let answered = records.iter().filter(|record| {
                record.request == index && matches!(record.end, RequestEnd::Answered { .. })
            });
            let summary = LatencySummary::from_records(answered);
            report.latency_by_request.insert(template.name.clone(), summary);
        }
        for record in records {
            report.add_record(plan, record, executions);
        }
        report.answers_by_domain.sort_keys();
        report.answers_by_target.sort_keys();
        report.worst_to_median_p99 = worst_to_median_ratio(&report.customers);
        report
    }

    fn add_record(
        &mut self,
        plan: &LoadPlan,
        record: &RequestRecord,
        executions: &IndexMap<Box<str>, u32>,
    ) {
        let execution_count = |id: &str| executions.get(id).copied().unwrap_or(0);
        let once = plan.requests[record.request].once;
        self.executed_twice +=
            u64::from(once && record.attempt_ids.iter().any(|id| execution_count(id) > 1));
        self.without_ticket += u64::from(record.lacks_ticket);
        let is_refused_not_run = matches!(record.end, RequestEnd::Refused { not_run: true, .. });
        let is_false_not_run = match once {
            true => {
                is_refused_not_run && record.attempt_ids.iter().any(|id| execution_count(id) > 0)
            }
            false => record.not_run_ids.iter().any(|id| execution_count(id) > 0),
        };
        self.false_not_run += u64::from(is_false_not_run);
        if is_false_not_run {
            let name = &plan.requests[record.request].name;
            let end = format!("{name}: {}", record.end.short_name()).into();
            *self.false_not_run_ends.entry(end).or_default() += 1;
        }
        match &record.end {
            RequestEnd::Answered { .. } => {
                for (counts, name) in [
                    (&mut self.answers_by_domain, &record.failure_domain),
                    (&mut self.answers_by_target, &record.target),
                ] {
                    let name = name.clone().unwrap_or_else(|| "unnamed".into());
                    *counts.entry(name).or_default() += 1;
                }
            }
            RequestEnd::WrongAnswer => self.wrong_answers += 1,
            RequestEnd::CutAnswer => self.cut_answers += 1,
            _ => {}
        }
    }
}

fn worst_to_median_ratio(customers: &[CustomerReport]) -> f64 {
    let mut values: Vec<_> = customers
        .iter()
        .filter(|customer| customer.latency.count > 0)
        .map(|customer| customer.latency.p99_ms)
        .collect();
    values.sort_by(f64::total_cmp);
    match (values.last(), values.get(values.len() / 2)) {
        (Some(worst), Some(median)) if *median > 0.0 => worst / median,
        _ => 0.0,
    }
}
