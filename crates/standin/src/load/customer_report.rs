//! Report of one customer's requests.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use crate::load::CustomerLoad;
use crate::load::LoadPlan;
use crate::load::RequestEnd;
use crate::load::RequestRecord;
use crate::load::ideal_bucket::count_wrongful_refusals;
use crate::load::overshoot_meter::peak_overshoot;

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Quantiles of latencies, in milliseconds; all zero if there were none.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of latencies summarised.
    pub count: u64,
    /// Median of the latencies.
    pub p50_ms: f64,
    /// 90th percentile of latency.
    pub p90_ms: f64,
    /// 99th percentile of latency.
    pub p99_ms: f64,
    /// 99.9th percentile of latency.
    pub p999_ms: f64,
    /// Maximum of the latencies.
    pub max_ms: f64,
}

/// Results of one customer's requests, as its callers saw them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CustomerReport {
    /// Name of the customer.
    pub customer: Box<str>,
    /// Number of requests planned, those not sent included.
    pub requests: u64,
    /// Number of complete answers of targets.
    pub answered: u64,
    /// Number of complete answers with a status of 500 or more.
    pub target_errors: u64,
    /// Time from the planned start to the end of a complete answer; `bulk` requests are left out.
    pub latency: LatencySummary,
    /// Number of requests that ended without a complete answer, by reason.
    pub unanswered: IndexMap<Box<str>, u64>,
    /// Number of refusals for the rate while the ideal bucket had a token.
    pub wrongful_refusals: u64,
    /// Most requests beyond rate and burst that were certainly admitted inside one window of time.
    pub overshoot: f64,
}

impl LatencySummary {
    /// Summarises the latencies of records; latencies over 10 minutes count as 10 minutes.
    pub fn from_records<'a>(records: impl IntoIterator<Item = &'a RequestRecord>) -> Self {
        let Ok(mut histogram) =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        else {
            return Self::default();
        };
        for record in records {
            histogram.saturating_record(record.latency().as_micros() as u64);
        }
        let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            count: histogram.len(),
            p50_ms: quantile_ms(0.5),
            p90_ms: quantile_ms(0.9),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            max_ms: histogram.max() as f64 / 1000.0,
        }
    }
}

impl CustomerReport {
    /// Builds the report from all records of one customer.
    pub fn from_records(plan: &LoadPlan, load: &CustomerLoad, records: &[&RequestRecord]) -> Self {
        let mut report = Self {
            customer: load.customer.clone(),
            requests: records.len() as u64,
            ..Self::default()
        };
        for record in records {
            match &record.end {
                RequestEnd::Answered { status } => {
                    report.answered += 1;
                    report.target_errors += u64::from(*status >= 500);
                }
                end => *report.unanswered.entry(end.short_name()).or_default() += 1,
            }
        }
        let counts_for_latency = |record: &&&RequestRecord| {
            !plan.requests[record.request].bulk && matches!(record.end, RequestEnd::Answered { .. })
        };
        report.latency =
            LatencySummary::from_records(records.iter().filter(counts_for_latency).copied());
        let keyed: Vec<_> =
            records.iter().filter(|record| !plan.requests[record.request].open).copied().collect();
        report.wrongful_refusals = count_wrongful_refusals(load, &keyed);
        let spans: Vec<_> = keyed
            .iter()
            .filter(|record| record.is_admitted())
            .map(|record| (record.sent_at, record.ended_at))
            .collect();
        report.overshoot = peak_overshoot(load.rate_per_second, load.burst, &spans);
        report
    }
}
