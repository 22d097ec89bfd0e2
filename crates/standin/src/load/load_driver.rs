//! Open-loop load: sends requests at their planned times, without waiting for earlier ones.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::load::LoadPlan;
use crate::load::RequestEnd;
use crate::load::RequestRecord;
use crate::load::caller_session::CallerSession;
use crate::load::caller_session::SessionResult;

/// Sends the requests of a load plan.
pub struct LoadDriver {
    plan: Arc<LoadPlan>,
    start: Instant,
}

/// Start of one request since the start of the run, and the index of its template.
struct PlannedRequest {
    at: Duration,
    request: usize,
}

impl LoadDriver {
    /// Creates a driver; all planned times and the times of records count from `start`.
    pub fn new(plan: LoadPlan, start: Instant) -> Self {
        Self { plan: Arc::new(plan), start }
    }

    /// Sends all requests and waits until the last has ended. Returns the records ordered by planned start.
    pub async fn run(&self) -> Vec<RequestRecord> {
        let mut tasks = JoinSet::new();
        for customer in 0..self.plan.customers.len() {
            tasks.spawn(drive_customer(Arc::clone(&self.plan), self.start, customer));
        }
        let mut records: Vec<_> = tasks.join_all().await.into_iter().flatten().collect();
        records.sort_by_key(|record| record.planned_at);
        records
    }
}

async fn drive_customer(
    plan: Arc<LoadPlan>,
    start: Instant,
    customer: usize,
) -> Vec<RequestRecord> {
    let load = plan.customers[customer].clone();
    let session = Arc::new(CallerSession::new(load, plan.entry_hosts.clone()));
    let permits = Arc::new(Semaphore::new(plan.max_in_flight_per_customer));
    let mut requests = JoinSet::new();
    let mut records = Vec::new();
    for (number, planned) in plan_requests(&plan, customer).into_iter().enumerate() {
        tokio::time::sleep_until((start + planned.at).into()).await;
        while let Some(Ok(record)) = requests.try_join_next() {
            records.push(record);
        }
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            records.push(not_sent_record(customer, &planned));
            continue;
        };
        let (plan, session) = (Arc::clone(&plan), Arc::clone(&session));
        requests.spawn(async move {
            let _permit = permit;
            send_request(&plan, &session, start, customer, number, planned).await
        });
    }
    while let Some(result) = requests.join_next().await {
        records.extend(result.ok());
    }
    records
}

/// Plans a customer's requests: arrivals of a Poisson process, templates drawn by weight, both from the plan's seed.
fn plan_requests(plan: &LoadPlan, customer: usize) -> Vec<PlannedRequest> {
    let load = &plan.customers[customer];
    let kinds = plan.template_indices(load);
    let total: f64 = kinds.iter().map(|index| plan.requests[*index].weight).sum();
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed.wrapping_add(customer as u64));
    let mut planned = Vec::new();
    let mut at = 0.0;
    while planned.len() < plan.max_requests_per_customer && !kinds.is_empty() {
        let rate = load.requests_per_second_at(at);
        if rate <= 0.0 {
            break;
        }
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at -= uniform.ln() / rate;
        if at >= plan.seconds {
            break;
        }
        let mut draw = rng.random_range(0.0..1.0) * total;
        let drawn = kinds.iter().find(|index| {
            draw -= plan.requests[**index].weight;
            draw <= 0.0
        });
        let request = *drawn.unwrap_or(&kinds[0]);
        planned.push(PlannedRequest { at: Duration::from_secs_f64(at), request });
    }
    planned
}

async fn send_request(
    plan: &LoadPlan,
    session: &CallerSession,
    start: Instant,
    customer: usize,
    number: usize,
    planned: PlannedRequest,
) -> RequestRecord {
    let template = &plan.requests[planned.request];
    let id = format!("{:x}-{customer}-{number}", plan.seed);
    let sent_at = start.elapsed();
    let mut result = SessionResult::default();
    let sending = session.send(template, &id, &mut result);
    let timed_out = tokio::time::timeout(plan.timeout(), sending).await.is_err();
    let end = match result.end {
        Some(end) if !timed_out => end,
        _ => RequestEnd::TimedOut,
    };
    RequestRecord {
        customer,
        has_key: !template.open,
        request: planned.request,
        attempt_ids: result.attempt_ids,
        not_run_ids: result.not_run_ids,
        planned_at: planned.at,
        sent_at,
        ended_at: start.elapsed(),
        end,
        lacks_ticket: result.lacks_ticket,
        failure_domain: result.failure_domain,
        target: result.target,
    }
}

fn not_sent_record(customer: usize, planned: &PlannedRequest) -> RequestRecord {
    RequestRecord {
        customer,
        has_key: false,
        request: planned.request,
        attempt_ids: Vec::new(),
        not_run_ids: Vec::new(),
        planned_at: planned.at,
        sent_at: planned.at,
        ended_at: planned.at,
        end: RequestEnd::NotSent,
        lacks_ticket: false,
        failure_domain: None,
        target: None,
    }
}
