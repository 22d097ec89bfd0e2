//! Serves the requests of callers on an entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::PlacementAsk;
use coordination::fleet::PlacementChoice;
use coordination::fleet::PlacementRefusal;
use coordination::fleet::QuotaDecision;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::RngExt;
use spdlog::info;

use crate::callers::AnswerBody;
use crate::callers::BodyFault;
use crate::callers::Refusal;
use crate::callers::TargetPool;
use crate::callers::UploadSlot;
use crate::callers::full_body;
use crate::callers::header_filter::remove_hop_by_hop;
use crate::entry::AttemptGuard;
use crate::entry::AttemptResult;
use crate::entry::AttemptRunner;
use crate::entry::EntryJob;
use crate::entry::EntryState;
use crate::entry::RequestCount;
use crate::entry::RequestFacts;
use crate::entry::TokenDesk;
use crate::entry::request_facts::asks_upgrade;
use crate::entry::request_trail::RequestTrail;
use crate::entry::request_trail::token_source;
use crate::interface::CallerDialect;
use crate::logging::ROUTINE_MESSAGE;

/// Targets tried for one attempt of a caller, those included that no byte was sent to.
const MAX_TRIES: usize = 4;
/// Part of the retry ratio that this host uses; the rest covers what hosts cannot know of each other.
const RETRY_PART: f64 = 0.8;
/// Shortest and longest pause that a refused caller is told.
const PAUSE_BOUNDS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Pause that a caller is told while this host has no configuration or no target.
const NOTHING_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause of a caller within its body.
const BODY_IDLE: Duration = Duration::from_secs(10);
/// Longest time in which the rest of a body is read that nobody needs, so that the caller sees the answer.
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// Serves the requests of callers.
pub struct FrontService {
    state: Arc<EntryState>,
    dialect: Arc<dyn CallerDialect>,
    runner: AttemptRunner,
    desk: Arc<TokenDesk>,
}

impl FrontService {
    /// A service over what the host knows.
    pub fn new(
        state: Arc<EntryState>,
        dialect: Arc<dyn CallerDialect>,
        pool: TargetPool,
        desk: Arc<TokenDesk>,
    ) -> Self {
        let runner = AttemptRunner::new(pool, Arc::clone(&dialect));
        Self { state, dialect, runner, desk }
    }

    /// Serves one request.
    pub async fn serve(
        &self,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> Response<AnswerBody> {
        let Some(configuration) = self.state.configuration() else {
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-configuration");
            return self.refuse(&refusal.retry_after(NOTHING_PAUSE));
        };
        let limit = configuration.limits.max_body_bytes;
        let facts = RequestFacts::of(configuration, &*self.dialect, &request);
        let is_upgrade = asks_upgrade(&request);
        let (mut head, body) = request.into_parts();
        let upload = UploadSlot::new(body, limit, BODY_IDLE);
        let facts = match facts {
            Ok(facts) if !is_upgrade => facts,
            Ok(_) => {
                return self.refuse(&Refusal::not_run(StatusCode::BAD_REQUEST, "upgrade"));
            }
            Err(refusal) => {
                info!("request refused", kv: {
                    path: = head.uri.path(), status = refusal.status.as_u16(), reason = refusal.reason
                });
                drain(&upload).await;
                return self.refuse(&refusal);
            }
        };
        remove_hop_by_hop(&mut head.headers);
        head.extensions.clear();
        let job = EntryJob::new(facts, head, upload);
        let mut trail = RequestTrail::new();
        let result = self.run(&job, &mut trail).await;
        self.log(&job, &trail, &result);
        drain(&job.upload).await;
        match result {
            Ok(response) => response,
            Err(refusal) => self.refuse(&refusal),
        }
    }

    async fn run(
        &self,
        job: &EntryJob,
        trail: &mut RequestTrail,
    ) -> Result<Response<AnswerBody>, Refusal> {
        self.spend(job, trail).await?;
        let result = self.run_within_limit(job, trail).await;
        match (&result, &job.facts.customer) {
            (Err(refusal), Some(customer)) if refusal.not_run => {
                self.state.lock().quotas.refund(customer, self.state.token_time());
            }
            _ => {}
        }
        result
    }

    /// Runs a request that its customer's limit allows.
    async fn run_within_limit(
        &self,
        job: &EntryJob,
        trail: &mut RequestTrail,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let service = self.draw_service(job)?;
        trail.service = Some(service.clone());
        let deadline = job.facts.deadline();
        let work = self.try_targets(job, &service, trail);
        match tokio::time::timeout_at(deadline.into(), work).await {
            Ok(result) => result,
            Err(_) => Err(timeout(job.dispatches())),
        }
    }

    /// Takes the request out of its customer's limit: out of what this host holds, or else it asks the keeper.
    async fn spend(&self, job: &EntryJob, trail: &mut RequestTrail) -> Result<(), Refusal> {
        let Some(customer) = &job.facts.customer else { return Ok(()) };
        let (decision, keeper) = {
            let mut core = self.state.lock();
            let decision = core.quotas.admit(customer, self.state.token_time());
            (decision, core.keepers.keeper_of(customer).map(|keeper| keeper.mesh))
        };
        let spent = match decision {
            QuotaDecision::Admitted => Ok(()),
            QuotaDecision::Refused { wait } => Err(wait),
            QuotaDecision::Ask { tokens } => {
                let grant = match keeper {
                    Some(keeper) => self.desk.ask(keeper, customer, tokens).await,
                    None => None,
                };
                trail.tokens = token_source(grant);
                self.state.metrics().tokens(trail.tokens);
                self.state.lock().quotas.receive(customer, grant, self.state.token_time())
            }
        };
        spent.map_err(|wait| {
            Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "rate-exceeded")
                .retry_after(self.pause(wait))
        })
    }

    fn draw_service(&self, job: &EntryJob) -> Result<ServiceId, Refusal> {
        let route = &job.facts.route;
        let weights: Vec<f64> = route.services.iter().map(|part| part.weight).collect();
        let mut core = self.state.lock();
        let drawn = core.draw_service(&route.name, &weights);
        let part = drawn.and_then(|index| route.services.get(index));
        let service = part.map(|part| part.service.clone());
        match service {
            Some(service) => {
                let percent = self.state.bounds().retry_ratio * 100.0 * RETRY_PART;
                core.retries(&service).record_first_attempt(percent);
                Ok(service)
            }
            None => Err(nothing("no-service")),
        }
    }

    async fn try_targets(
        &self,
        job: &EntryJob,
        service: &ServiceId,
        trail: &mut RequestTrail,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let mut tried: Vec<TargetId> = Vec::new();
        let mut lost: Option<Refusal> = None;
        loop {
            let choice = match self.place(job, service, &tried) {
                Ok(choice) => choice,
                Err(refusal) => {
                    trail.note_refusal(refusal);
                    return Err(lost.unwrap_or_else(|| self.refusal_of(refusal)));
                }
            };
            trail.note(&choice);
            tried.push(choice.target.clone());
            let guard =
                AttemptGuard::new(Arc::clone(&self.state), choice, job.facts.route.name.clone());
            let reason = match self.runner.run(job, guard).await {
                AttemptResult::Answered(response) => return Ok(response),
                AttemptResult::NotSent(reason) | AttemptResult::NotRun(reason) => reason,
                AttemptResult::Lost(status, reason) => {
                    lost = Some(Refusal::unknown(status, reason));
                    reason
                }
            };
            if let Some(end) = self.end_of_tries(job, service, &tried, lost.as_ref(), reason) {
                return Err(end);
            }
        }
    }

    /// Why no other target is tried after an attempt without an answer, if none is.
    fn end_of_tries(
        &self,
        job: &EntryJob,
        service: &ServiceId,
        tried: &[TargetId],
        lost: Option<&Refusal>,
        reason: &'static str,
    ) -> Option<Refusal> {
        let refusal = || {
            let pause = self.pause(PAUSE_BOUNDS.0);
            lost.cloned().unwrap_or_else(|| nothing(reason).retry_after(pause))
        };
        if lost.is_some() && !job.facts.route.is_repeatable {
            return Some(refusal());
        }
        let dispatches = job.dispatches();
        let is_used_up = dispatches >= u64::from(job.facts.route.max_attempts.max(1))
            || tried.len() >= MAX_TRIES
            || !job.upload.is_whole();
        let may_go_on =
            !is_used_up && (dispatches == 0 || self.state.lock().retries(service).take_retry());
        (!may_go_on).then(refusal)
    }

    fn place(
        &self,
        job: &EntryJob,
        service: &ServiceId,
        tried: &[TargetId],
    ) -> Result<PlacementChoice, PlacementRefusal> {
        let facts = &job.facts;
        let elapsed = facts.arrived.elapsed();
        let ask = PlacementAsk {
            route: &facts.route.name,
            service,
            key: facts.object,
            regions: &facts.regions,
            excluded: tried,
            time_left: facts.time_left(),
            objective: facts.route.objective.saturating_sub(elapsed),
            priority: facts.priority,
        };
        self.state.lock().board.choose(&ask, Instant::now())
    }

    fn refusal_of(&self, refusal: PlacementRefusal) -> Refusal {
        match refusal {
            PlacementRefusal::NoTarget => nothing("no-target"),
            PlacementRefusal::Busy { wait, .. } => {
                Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "busy")
                    .retry_after(self.pause(wait))
            }
        }
    }

    /// A pause near the wait given, spread so that callers do not return as a wave.
    fn pause(&self, wait: Duration) -> Duration {
        let spread = rand::rng().random_range(0.75..1.5);
        wait.mul_f64(spread).clamp(PAUSE_BOUNDS.0, PAUSE_BOUNDS.1)
    }

    fn refuse(&self, refusal: &Refusal) -> Response<AnswerBody> {
        let mut response = refusal.response();
        if let Some(pause) = refusal.retry_after {
            response.headers_mut().insert(header::RETRY_AFTER, self.dialect.pause(pause));
        }
        response.map(full_body)
    }

    fn log(
        &self,
        job: &EntryJob,
        trail: &RequestTrail,
        result: &Result<Response<AnswerBody>, Refusal>,
    ) {
        let (status, reason) = match result {
            Ok(response) => (response.status().as_u16(), "answered"),
            Err(refusal) => (refusal.status.as_u16(), refusal.reason),
        };
        let facts = &job.facts;
        self.state.metrics().request(&RequestCount {
            route: &facts.route.name,
            outcome: reason,
            took: facts.arrived.elapsed(),
            wait: trail.wait,
            sent: job.dispatches(),
        });
        let pause = result.as_ref().err().and_then(|refusal| refusal.retry_after);
        let message = match result {
            Ok(response) if response.status().is_success() => ROUTINE_MESSAGE,
            _ => "request not served",
        };
        info!("{message}", kv: {
            request_id: = facts.attempt,
            route: = facts.route.name,
            customer: = facts.customer.as_deref().unwrap_or("-"),
            tokens: = trail.tokens,
            service: = trail.service.as_deref().unwrap_or("-"),
            target: = trail.target.as_deref().unwrap_or("-"),
            tries = trail.tries,
            sent = job.dispatches(),
            wait_ms = trail.wait.as_millis() as u64,
            pause_ms = pause.unwrap_or_default().as_millis() as u64,
            load = trail.load,
            pressure = trail.pressure,
            object = facts.object.unwrap_or_default(),
            is_warm = trail.is_warm,
            expected_ms = trail.expected_ms,
            took_ms = facts.arrived.elapsed().as_millis() as u64,
            version: = facts.configuration.version,
            state_age_ms = self.state.state_age().as_millis() as u64,
            status:,
            reason:
        });
    }
}

/// The end of a request whose time is over. It has not run if nothing of it left this host.
fn timeout(dispatches: u64) -> Refusal {
    match dispatches {
        0 => nothing("timeout"),
        _ => Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "timeout"),
    }
}

fn nothing(reason: &'static str) -> Refusal {
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(NOTHING_PAUSE)
}

/// Reads the rest of a body that nobody needs: a connection that is closed with unread bytes is reset, and the caller
/// would lose the answer.
async fn drain(upload: &Arc<UploadSlot>) {
    if upload.finished_at().is_some() || upload.fault().is_some() {
        return;
    }
    let mut body = upload.next_body();
    let rest = async {
        while let Some(Ok(_)) = body.frame().await {}
        Ok::<(), BodyFault>(())
    };
    let _ = tokio::time::timeout(DRAIN_TIME, rest).await;
}

#[cfg(test)]
#[path = "front_service_tests.rs"]
mod tests;
