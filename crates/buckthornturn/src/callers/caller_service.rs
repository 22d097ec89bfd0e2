//! Serves the requests of callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use coordination::buffer_budget::BufferBudget;
use coordination::ids::HostId;
use coordination::ids::Incarnation;
use coordination::ticket::TicketClaims;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use serde_json::json;
use spdlog::info;

use crate::callers::ActiveGuard;
use crate::callers::ActiveRequests;
use crate::callers::BodyFault;
use crate::callers::CallerBody;
use crate::callers::ClaimLedger;
use crate::callers::DispatchJob;
use crate::callers::ForwardJob;
use crate::callers::KeyCheck;
use crate::callers::OnceGuarantee;
use crate::callers::Refusal;
use crate::callers::ReplayableUpload;
use crate::callers::RequestDispatcher;
use crate::callers::RequestMetrics;
use crate::callers::RequestPlan;
use crate::callers::TargetPool;
use crate::callers::TicketDecision;
use crate::callers::TicketForwarder;
use crate::callers::TicketRegistry;
use crate::callers::reply_from_outcome;
use crate::callers::run_once;
use crate::configuration::ConfigurationCell;
use crate::configuration::ConfigurationState;
use crate::interface::AdmissionGate;
use crate::interface::FreshnessCell;
use crate::interface::ObjectStore;
use crate::interface::PeerCaller;
use crate::interface::SteerLookup;
use crate::interface::SteerSource;
use crate::interface::StreamDialer;
use crate::settings::CallerBounds;

const STEER_PATH: &str = "/.well-known/buckthornturn/steer";
const TICKET_PATH: &str = "/.well-known/buckthornturn/ticket";
const WELL_KNOWN_PREFIX: &str = "/.well-known/buckthornturn/";
const TICKET_HEADER: &str = "buckthornturn-ticket";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Body of any response to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyFault>;

/// Dependencies of a [`CallerService`].
pub struct CallerServiceParts {
    /// Identifier of this host.
    pub host: HostId,
    /// Start of this process, which tells its tickets from those of an earlier process on the host.
    pub incarnation: Incarnation,
    /// Configuration in force, replaced by the configuration watcher.
    pub cell: ConfigurationCell,
    /// Age of the key state, which is checked against the stale-key policy of a service.
    pub freshness: FreshnessCell,
    /// Decides for every request when and to which target it is sent.
    pub gate: Arc<dyn AdmissionGate>,
    /// Answers steering look-ups with the entry hosts that a caller should use.
    pub steering: Arc<dyn SteerSource>,
    /// Object store that holds the claims of idempotency keys.
    pub store: Arc<dyn ObjectStore>,
    /// Connections to the other entry hosts, for forwarded requests and ticket outcomes.
    pub peers: Arc<dyn PeerCaller>,
    /// Limits on connections, requests and tickets of callers.
    pub bounds: CallerBounds,
    /// Receives the durations and results of requests.
    pub metrics: Arc<RequestMetrics>,
    /// Opens connections to targets and to other entry hosts.
    pub dialer: Arc<dyn StreamDialer>,
}

/// Serves callers: steering look-ups, tickets, and requests that are passed on to targets.
pub struct CallerService {
    cell: ConfigurationCell,
    freshness: FreshnessCell,
    steering: Arc<dyn SteerSource>,
    bounds: CallerBounds,
    metrics: Arc<RequestMetrics>,
    dispatcher: Arc<RequestDispatcher>,
    tickets: Arc<TicketRegistry>,
    claims: ClaimLedger,
    forwarder: TicketForwarder,
    active: ActiveRequests,
    buffers: Arc<BufferBudget>,
}

/// Value by which repetitions of a request are recognized.
enum DedupKey {
    Ticket(Box<str>),
    IdempotencyKey(Box<str>),
    Absent,
}

impl CallerService {
    /// Creates a service without tickets and without active requests.
    pub fn new(parts: CallerServiceParts) -> Self {
        let tickets = TicketRegistry::new(parts.host.clone(), parts.incarnation, &parts.bounds);
        let dispatcher = Arc::new(RequestDispatcher::new(
            parts.cell.clone(),
            parts.freshness.clone(),
            parts.gate,
            TargetPool::new(Arc::clone(&parts.dialer)),
            Arc::clone(&parts.metrics),
        ));
        let max_forwards = parts.bounds.max_forwards;
        Self {
            cell: parts.cell,
            freshness: parts.freshness,
            steering: parts.steering,
            bounds: parts.bounds,
            metrics: parts.metrics,
            dispatcher,
            tickets,
            claims: ClaimLedger::new(parts.store, parts.host.clone()),
            forwarder: TicketForwarder::new(parts.host, parts.peers, max_forwards, parts.dialer),
            active: ActiveRequests::default(),
            buffers: Arc::default(),
        }
    }

    /// Tickets and the outcomes of their requests. The host registers them as a peer handler, and hands the outcomes
    /// over at shutdown.
    pub fn tickets(&self) -> &Arc<TicketRegistry> {
        &self.tickets
    }

    /// Claims of idempotency keys; the host must run [`ClaimLedger::sweep_expired`] in the background.
    pub fn claims(&self) -> &ClaimLedger {
        &self.claims
    }

    /// Register of active requests; the host must run [`ActiveRequests::watch_configuration`] in the background.
    pub fn active(&self) -> &ActiveRequests {
        &self.active
    }

    /// Answers one request from the address `peer`. A refusal becomes a response as well.
    pub async fn serve(
        &self,
        request: Request<CallerBody>,
        peer: SocketAddr,
    ) -> Response<AnswerBody> {
        let arrived_at = Instant::now();
        let result = match request.uri().path() {
            path if path.starts_with(WELL_KNOWN_PREFIX) => self.serve_well_known(&request, peer),
            _ => self.proxy_request(request).await,
        };
        self.metrics.record_time("total", arrived_at.elapsed());
        match result {
            Ok(response) => {
                self.metrics.count_end("answered");
                response
            }
            Err(refusal) => {
                info!("request refused", kv: {
                    peer:, reason = refusal.reason, not_run = refusal.not_run
                });
                self.metrics.count_end(refusal.reason);
                refusal.response().map(full_body)
            }
        }
    }

    fn serve_well_known(
        &self,
        request: &Request<CallerBody>,
        peer: SocketAddr,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let query = request.uri().query().unwrap_or_default();
        let service = query.split('&').find_map(|pair| pair.strip_prefix("service="));
        match (request.method(), request.uri().path()) {
            (&Method::GET, STEER_PATH) => {
                let lookup = SteerLookup { service: service.map(Into::into), caller: peer.ip() };
                let answer = self.steering.steer(&lookup);
                Ok(json_response(serde_json::to_vec(&answer).unwrap_or_default()))
            }
            (&Method::POST, TICKET_PATH) => self.issue_ticket(request, service.unwrap_or_default()),
            _ => Err(Refusal::not_run(StatusCode::NOT_FOUND, "no-such-path")),
        }
    }

    fn issue_ticket(
        &self,
        request: &Request<CallerBody>,
        service: &str,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let state = self.cell.load();
        if state.revision == 0 {
            return Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-configuration")
                .retry_after(NO_CONFIGURATION_RETRY_AFTER));
        }
        let KeyCheck::Valid { customer, .. } = KeyCheck::from_headers(request.headers(), &state)
        else {
            return Err(Refusal::not_run(StatusCode::UNAUTHORIZED, "key"));
        };
        let spec = state.customers.get(&customer);
        if !spec.is_some_and(|spec| spec.services.iter().any(|name| &**name == service)) {
            return Err(Refusal::not_run(StatusCode::FORBIDDEN, "not-allowed"));
        }
        let (ticket, lifetime) = self.tickets.issue_ticket(&customer, service);
        let body = json!({ "ticket": ticket, "expires_in_seconds": lifetime.as_secs() });
        Ok(json_response(body.to_string().into()))
    }

    async fn proxy_request(
        &self,
        request: Request<CallerBody>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let state = self.cell.load();
        let (plan, active) = self.authorize_request(&state, &request).map_err(|refusal| {
            // Only the issuer of the ticket knows whether its request has run, so the refusal must not say "not run".
            match request.headers().contains_key(TICKET_HEADER) {
                true => refusal.with_unknown_outcome(),
                false => refusal,
            }
        })?;
        let dedup_key = dedup_key(&plan, &request)?;
        let (head, body) = request.into_parts();
        let limit = plan.route.max_body_bytes;
        let upload =
            ReplayableUpload::new(body, &self.buffers, limit, self.bounds.body_idle_timeout());
        match dedup_key {
            DedupKey::Absent => {
                let job = dispatch_job(&state, plan, head, upload, active)?;
                let stage = self.dispatcher.admit(&job).await?;
                let answer = self.dispatcher.run(&job, stage).await?;
                Ok(answer.map(BodyExt::boxed_unsync))
            }
            DedupKey::IdempotencyKey(idempotency_key) => {
                let job = dispatch_job(&state, plan, head, upload, active)?;
                let ledger = self.claims.clone();
                let guarantee = OnceGuarantee::Claim { ledger, idempotency_key };
                run_once(Arc::clone(&self.dispatcher), job, guarantee).await
            }
            DedupKey::Ticket(ticket) => {
                let job = ForwardJob { plan, head, upload, active };
                self.proxy_ticketed(&state, job, &ticket).await
            }
        }
    }

    fn authorize_request(
        &self,
        state: &ConfigurationState,
        request: &Request<CallerBody>,
    ) -> Result<(RequestPlan, Arc<ActiveGuard>), Refusal> {
        let plan = RequestPlan::from_request(state, request)?;
        plan.check_allowed(state, self.freshness.age(Instant::now()))?;
        let active = Arc::new(self.active.register_request(plan.permission.clone()));
        plan.permission.authorize(&self.cell.load())?;
        Ok((plan, active))
    }

    async fn proxy_ticketed(
        &self,
        state: &ConfigurationState,
        job: ForwardJob,
        ticket: &str,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let customer = job.plan.customer().cloned().unwrap_or_default();
        let deadline = job.plan.deadline();
        match self.tickets.begin_request(ticket, &customer, &job.plan.service, deadline).await? {
            TicketDecision::Known(outcome) => reply_from_outcome(&outcome),
            TicketDecision::IssuedElsewhere(claims) => self.forward_to_issuer(job, &claims).await,
            TicketDecision::Granted(guard) => {
                let ForwardJob { plan, head, upload, active } = job;
                match dispatch_job(state, plan, head, upload, active) {
                    Ok(job) => {
                        let guarantee = OnceGuarantee::Ticket(guard);
                        run_once(Arc::clone(&self.dispatcher), job, guarantee).await
                    }
                    Err(refusal) => {
                        guard.release();
                        Err(refusal)
                    }
                }
            }
        }
    }

    async fn forward_to_issuer(
        &self,
        job: ForwardJob,
        claims: &TicketClaims,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let answer = self.forwarder.forward(job, claims).await?;
        Ok(answer.map(BodyExt::boxed_unsync))
    }
}

fn dispatch_job(
    state: &ConfigurationState,
    plan: RequestPlan,
    head: Parts,
    upload: Arc<ReplayableUpload>,
    active: Arc<ActiveGuard>,
) -> Result<DispatchJob, Refusal> {
    let head = plan.outgoing_head(state, head)?;
    Ok(DispatchJob { plan, head, upload, active })
}

/// Returns what identifies a repetition of the request: a ticket on any route, an `Idempotency-Key` on non-repeatable
/// routes.
fn dedup_key(plan: &RequestPlan, request: &Request<CallerBody>) -> Result<DedupKey, Refusal> {
    let header_text = |name| request.headers().get(name).map(HeaderValue::to_str);
    match (header_text(TICKET_HEADER), header_text(IDEMPOTENCY_HEADER)) {
        (Some(Ok(ticket)), _) => Ok(DedupKey::Ticket(ticket.into())),
        (Some(Err(_)), _) => Err(Refusal::not_run(StatusCode::BAD_REQUEST, "ticket-malformed")),
        (None, Some(key)) if !plan.route.repeatable => match key {
            Ok(key) if (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len()) => {
                Ok(DedupKey::IdempotencyKey(key.into()))
            }
            _ => Err(Refusal::not_run(StatusCode::BAD_REQUEST, "idempotency-key-malformed")),
        },
        _ => Ok(DedupKey::Absent),
    }
}

fn json_response(body: Vec<u8>) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(body.into()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Body of known length that is sent as a single frame.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    let unreachable_error = |never: Infallible| match never {};
    Full::new(bytes).map_err(unreachable_error).boxed_unsync()
}
