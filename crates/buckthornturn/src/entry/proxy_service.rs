//! Serves callers' requests on an entry host: checks them, applies the customer's limit, and forwards them to targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::admission_bounds::ByteUse;
use coordination::admission_bounds::ConnectionRole;
use coordination::answer_budget::AnswerBudget;
use coordination::byte_reservation::ByteReservation;
use coordination::fleet::PlacementChoice;
use coordination::fleet::PlacementRefusal;
use coordination::fleet::PlacementRequest;
use coordination::fleet::QuotaDecision;
use coordination::fleet::longest_pause;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use spdlog::info;

use crate::callers::AnswerBody;
use crate::callers::BodyFault;
use crate::callers::CallerBody;
use crate::callers::Refusal;
use crate::callers::ReplayableUpload;
use crate::callers::TargetPool;
use crate::callers::WholeUpload;
use crate::callers::named_host;
use crate::entry::AttemptGuard;
use crate::entry::AttemptResult;
use crate::entry::AttemptRunner;
use crate::entry::CrashReporter;
use crate::entry::EntryLimits;
use crate::entry::EntryState;
use crate::entry::MeshClient;
use crate::entry::OutgoingRequest;
use crate::entry::PeerForwarder;
use crate::entry::RequestFacts;
use crate::entry::UNREACHABLE_REASON;
use crate::entry::attempt_log::log_body_fault;
use crate::entry::attempt_log::log_lost_body;
use crate::entry::attempt_runner::TARGET_FAILED;
use crate::entry::attempt_runner::body_fault_reason;
use crate::entry::proxy_refusals::spread_pause;
use crate::entry::proxy_refusals::unavailable_refusal;
use crate::entry::request_facts::requests_upgrade;
use crate::entry::request_record::RequestRecord;
use crate::entry::request_record::token_source;
use crate::entry::run_outcome::SettledResult;
use crate::entry::take_peer_position;
use crate::interface::CallerDialect;
use crate::resources::GatedConnection;
use crate::resources::GuardedBody;

/// Largest number of targets tried for one request, including those that no byte was sent to.
const MAX_TARGETS_TRIED: usize = 4;
/// Reason of refusals of requests whose body has lost its start.
const LOST_BODY_REASON: &str = "body-not-buffered";
/// Bytes that a request takes while it runs: the filled buffers of its caller's connection and of that to the target.
const REQUEST_BYTES: usize = 32 << 10;
/// Reason of refusals while the process has no room for one more request.
const FULL_REASON: &str = "connections-full";
/// Longest time for which a caller may send nothing within a request body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for which the unused rest of a request body is read so that the caller receives the answer: a connection
/// that is closed with unread bytes is reset.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Forwards callers' requests to targets and answers refused ones.
pub struct ProxyService {
    pub(super) state: Arc<EntryState>,
    pub(super) dialect: Arc<dyn CallerDialect>,
    runner: AttemptRunner,
    pub(super) forwarder: PeerForwarder,
    client: Arc<MeshClient>,
    pub(super) reporter: Arc<CrashReporter>,
}

impl ProxyService {
    /// Creates the service over the host's state. Requests go out over `pool`, other hosts are asked through
    /// `client`, and told of crashes through `reporter`.
    pub fn new(
        state: Arc<EntryState>,
        dialect: Arc<dyn CallerDialect>,
        pool: TargetPool,
        client: Arc<MeshClient>,
        reporter: Arc<CrashReporter>,
    ) -> Self {
        let answers = Arc::<AnswerBudget>::default();
        let runner = AttemptRunner::new(
            pool.clone(),
            Arc::clone(&dialect),
            Arc::clone(&answers),
            Arc::clone(state.gate().budget()),
        );
        let forwarder = PeerForwarder::new(Arc::clone(&state), Arc::clone(&dialect), pool, answers);
        Self { state, dialect, runner, forwarder, client, reporter }
    }

    /// Serves one request and logs its end. The answer is the target's, or a refusal with its reason.
    pub async fn serve(
        &self,
        mut request: Request<CallerBody>,
        _peer: SocketAddr,
    ) -> Response<AnswerBody> {
        match take_peer_position(request.headers_mut()) {
            Some(position) => self.serve_for_peer(request, position).await,
            None => self.serve_request(request, false).await,
        }
    }

    /// Limits of the configuration in force; `None` without one.
    pub fn limits(&self) -> Option<EntryLimits> {
        Some(self.state.configuration()?.limits.clone())
    }

    /// Largest number of requests of one connection that run side by side.
    pub fn side_by_side_requests(&self) -> usize {
        self.state.bounds().side_by_side_requests.max(1)
    }

    /// Whether a request without a body may run beside others of its connection: only on routes that allow repeats.
    pub fn is_independent(&self, request: &Request<()>) -> bool {
        let Some(configuration) = self.state.configuration() else { return false };
        let host = named_host(request);
        let route = host.and_then(|host| {
            configuration.route_for(&host, request.uri().path()).map(|route| route.is_repeatable)
        });
        route == Some(true)
    }

    pub(super) async fn serve_request(
        &self,
        request: Request<CallerBody>,
        is_forwarded: bool,
    ) -> Response<AnswerBody> {
        let Some(configuration) = self.state.configuration() else {
            return self.refusal_response(&unavailable_refusal("no-configuration"));
        };
        let limit = configuration.limits.max_body_bytes;
        let facts = RequestFacts::from_request(configuration, &*self.dialect, &request);
        let is_upgrade = requests_upgrade(&request);
        let (head, body) = request.into_parts();
        let upload = ReplayableUpload::new(body, self.state.buffers(), limit, BODY_IDLE_TIMEOUT);
        let facts = match facts {
            Ok(facts) if !is_upgrade => facts,
            Ok(_) => {
                return self
                    .refusal_response(&Refusal::not_run(StatusCode::BAD_REQUEST, "upgrade"));
            }
            Err(refusal) => {
                info!("request refused", kv: {
                    path: = head.uri.path(), status = refusal.status.as_u16(), reason = refusal.reason
                });
                upload.discard_rest(DRAIN_TIMEOUT).await;
                return self.refusal_response(&refusal);
            }
        };
        let Some(place) = self.take_request_place() else {
            upload.discard_rest(DRAIN_TIMEOUT).await;
            return self.refusal_response(&unavailable_refusal(FULL_REASON));
        };
        let mut request = OutgoingRequest::new(facts, head, upload);
        request.is_forwarded = is_forwarded;
        let mut record = RequestRecord::new();
        let result = self.admit_and_forward(&request, &mut record).await.into_result();
        self.log_request(&request, &record, &result);
        log_body_fault(&request);
        request.upload.discard_rest(DRAIN_TIMEOUT).await;
        match result {
            Ok(response) => response.map(|body| GuardedBody::new(body, place).boxed_unsync()),
            Err(refusal) => self.refusal_response(&refusal),
        }
    }

    /// Takes the connection to a target, and the buffers of both connections, into the budget of the process.
    fn take_request_place(&self) -> Option<(GatedConnection, ByteReservation)> {
        let gate = self.state.gate();
        let mut buffers = gate.budget().reserve();
        let has_room = buffers.grow(REQUEST_BYTES, ByteUse::Needed);
        let connection = if has_room { gate.admit(ConnectionRole::Outgoing) } else { None };
        connection.map(|connection| (connection, buffers))
    }

    async fn admit_and_forward(
        &self,
        request: &OutgoingRequest,
        record: &mut RequestRecord,
    ) -> SettledResult {
        if let Some(result) = self.forward_to_peer(request, record).await {
            return result;
        }
        if let Err(refusal) = self.admit(request, record).await {
            return request.outcome.settle(Err(refusal));
        }
        let result = request.outcome.settle(self.forward(request, record).await);
        match (result.refusal(), &request.facts.customer) {
            (Some(refusal), Some(customer)) if refusal.not_run => {
                self.state.lock().quotas.refund_token(customer, self.state.token_time());
            }
            _ => {}
        }
        match result.refusal() {
            Some(refusal) if self.may_forward_after(request, record, refusal) => {
                self.forward_to_peer(request, record).await.unwrap_or(result)
            }
            _ => result,
        }
    }

    /// Forwards a request that its customer's limit allows, until the request's deadline.
    async fn forward(
        &self,
        request: &OutgoingRequest,
        record: &mut RequestRecord,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let service = self.draw_service(request)?;
        record.service = Some(service.clone());
        // A request that has waited behind others of its connection may be past its deadline.
        if request.facts.time_left().is_zero() {
            return Err(timeout_refusal(request.dispatches()));
        }
        let deadline = request.facts.deadline();
        let work = self.try_targets(request, &service, record);
        tokio::select! {
            biased;
            result = work => result,
            () = tokio::time::sleep_until(deadline.into()) => {
                Err(timeout_refusal(request.dispatches()))
            }
            () = request.wait_until_due() => Err(timeout_refusal(request.dispatches())),
        }
    }

    /// Takes a quota token for the request from those that this host holds, or else requests some from the customer's
    /// keeper.
    async fn admit(
        &self,
        request: &OutgoingRequest,
        record: &mut RequestRecord,
    ) -> Result<(), Refusal> {
        let Some(customer) = &request.facts.customer else { return Ok(()) };
        let (decision, keeper) = {
            let mut core = self.state.lock();
            let decision = core.quotas.admit_request(customer, self.state.token_time());
            (decision, core.keepers.keeper_of(customer).map(|keeper| keeper.mesh))
        };
        let admission = match decision {
            QuotaDecision::Admitted => Ok(()),
            QuotaDecision::Refused { wait } => Err(wait),
            QuotaDecision::AskKeeper { tokens } => {
                let grant = match keeper {
                    Some(keeper) => self.client.request_tokens(keeper, customer, tokens).await,
                    None => None,
                };
                record.tokens = token_source(grant);
                self.state.metrics().count_token_request(record.tokens);
                self.state.lock().quotas.apply_grant(customer, grant, self.state.token_time())
            }
        };
        admission.map_err(|wait| {
            Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, "rate-exceeded")
                .retry_after(spread_pause(wait))
        })
    }

    fn draw_service(&self, request: &OutgoingRequest) -> Result<ServiceId, Refusal> {
        let route = &request.facts.route;
        let weights: Vec<f64> = route.services.iter().map(|part| part.weight).collect();
        let mut core = self.state.lock();
        let drawn = core.draw_service(&route.name, &weights);
        let part = drawn.and_then(|index| route.services.get(index));
        let service = part.map(|part| part.service.clone());
        match service {
            Some(service) => {
                core.record_first_attempt(&service, self.state.bounds().retry_budget());
                Ok(service)
            }
            None => {
                let pause = longest_pause(request.facts.time_left());
                Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-service")
                    .retry_after(pause))
            }
        }
    }

    async fn try_targets(
        &self,
        request: &OutgoingRequest,
        service: &ServiceId,
        record: &mut RequestRecord,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let mut tried: Vec<TargetId> = Vec::new();
        let mut upload = request.upload.take_whole().ok_or_else(|| body_refusal(request))?;
        loop {
            let reason = match self.try_target(request, service, upload, &mut tried, record).await?
            {
                AttemptResult::Answered(response) => return Ok(response),
                AttemptResult::NotSent(reason) | AttemptResult::NotRun(reason) => reason,
                AttemptResult::OutcomeUnknown(status, reason) => {
                    request.outcome.record_lost(status, reason);
                    reason
                }
                AttemptResult::Closed(fingerprint) => {
                    let lost = request.outcome.record_lost(StatusCode::BAD_GATEWAY, TARGET_FAILED);
                    if !self.may_repeat_after_crash(fingerprint) {
                        return Err(lost.clone());
                    }
                    TARGET_FAILED
                }
            };
            upload = self.body_for_retry(request, service, &tried, reason)?;
        }
    }

    /// Chooses a target that is not among `tried`, and sends the request to it.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that is sent to no target now.
    async fn try_target(
        &self,
        request: &OutgoingRequest,
        service: &ServiceId,
        upload: WholeUpload,
        tried: &mut Vec<TargetId>,
        record: &mut RequestRecord,
    ) -> Result<AttemptResult, Refusal> {
        if self.state.lock().reach.is_lost() {
            return Err(unavailable_refusal(UNREACHABLE_REASON));
        }
        let suspect = self.check_crashes(request, &upload).await?;
        let choice = self.choose_target(request, service, tried).map_err(|refusal| {
            record.set_refusal(refusal);
            self.placement_refusal(refusal, request.facts.time_left())
        })?;
        record.set_choice(&choice);
        let target = choice.target.clone();
        tried.push(target.clone());
        let route = request.facts.route.name.clone();
        let guard = AttemptGuard::new(Arc::clone(&self.state), choice, route);
        if let Some(fingerprint) = suspect {
            self.take_trial(fingerprint).await?;
        }
        let result = self.runner.run(request, guard, upload).await;
        let (closed, answered) = (result.closed(), suspect.filter(|_| result.is_answered()));
        self.report_end(closed, answered, &target).await;
        Ok(result)
    }

    /// Takes the body for a further target after an attempt without an answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller of a request that may be sent to no further target.
    fn body_for_retry(
        &self,
        request: &OutgoingRequest,
        service: &ServiceId,
        tried: &[TargetId],
        reason: &'static str,
    ) -> Result<WholeUpload, Refusal> {
        let lost = request.outcome.lost_refusal();
        let refusal = || lost.cloned().unwrap_or_else(|| unavailable_refusal(reason));
        if lost.is_some() && !request.facts.route.is_repeatable {
            return Err(refusal());
        }
        let dispatches = request.dispatches();
        let is_exhausted = dispatches >= u64::from(request.facts.route.max_attempts.max(1))
            || tried.len() >= MAX_TARGETS_TRIED;
        if is_exhausted {
            return Err(refusal());
        }
        let Some(upload) = request.upload.take_whole() else {
            log_lost_body(request);
            return Err(refusal());
        };
        match dispatches == 0 || self.state.lock().take_retry(service) {
            true => Ok(upload),
            false => Err(refusal()),
        }
    }

    fn choose_target(
        &self,
        request: &OutgoingRequest,
        service: &ServiceId,
        tried: &[TargetId],
    ) -> Result<PlacementChoice, PlacementRefusal> {
        let facts = &request.facts;
        let ask = PlacementRequest {
            route: &facts.route.name,
            service,
            customer: facts.customer.as_ref(),
            object_hash: facts.object_hash,
            allowed_regions: &facts.regions,
            excluded_targets: tried,
            time_left: facts.time_left(),
            priority: facts.priority,
        };
        self.state.lock().board.choose_target(&ask, Instant::now())
    }
}

/// Refusal of a request whose deadline passed. It counts as not run if it was never sent to a target.
fn timeout_refusal(dispatches: u64) -> Refusal {
    match dispatches {
        0 => unavailable_refusal("timeout"),
        _ => Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "timeout"),
    }
}

/// Refusal of a request whose body cannot be sent.
pub(super) fn body_refusal(request: &OutgoingRequest) -> Refusal {
    let reason = body_fault_reason(&request.upload).unwrap_or(LOST_BODY_REASON);
    match (request.dispatches(), request.upload.fault()) {
        (0, Some(BodyFault::TooLarge)) => Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, reason),
        (0, _) => unavailable_refusal(reason),
        _ => Refusal::unknown(StatusCode::BAD_GATEWAY, reason),
    }
}

#[cfg(test)]
#[path = "proxy_service_tests.rs"]
mod tests;
