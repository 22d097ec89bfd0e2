//! Serves one request of a caller.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
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
use hyper::body::Incoming;
use serde_json::json;
use spdlog::info;

use crate::callers::ActiveGuard;
use crate::callers::ActiveRequests;
use crate::callers::BodyFault;
use crate::callers::ClaimLedger;
use crate::callers::DispatchJob;
use crate::callers::ForwardJob;
use crate::callers::KeyCheck;
use crate::callers::OncePledge;
use crate::callers::OutcomeDesk;
use crate::callers::Refusal;
use crate::callers::RequestDispatcher;
use crate::callers::RequestMetrics;
use crate::callers::RequestPlan;
use crate::callers::TargetPool;
use crate::callers::TicketForwarder;
use crate::callers::TicketUse;
use crate::callers::UploadSlot;
use crate::callers::known_reply;
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
const OWN_PATH_PREFIX: &str = "/.well-known/buckthornturn/";
const TICKET_HEADER: &str = "buckthornturn-ticket";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
const NO_CONFIGURATION_PAUSE: Duration = Duration::from_secs(1);

/// Body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyFault>;

/// What the service works with.
pub struct CallerParts {
    /// This host.
    pub host: HostId,
    /// Its process start.
    pub incarnation: Incarnation,
    /// State in force.
    pub cell: ConfigurationCell,
    /// Age of key state.
    pub freshness: FreshnessCell,
    /// Gate that every request passes.
    pub gate: Arc<dyn AdmissionGate>,
    /// Answers to look-ups.
    pub steering: Arc<dyn SteerSource>,
    /// Store for claims.
    pub store: Arc<dyn ObjectStore>,
    /// Other hosts.
    pub peers: Arc<dyn PeerCaller>,
    /// Bounds.
    pub bounds: CallerBounds,
    /// Metrics.
    pub metrics: Arc<RequestMetrics>,
    /// Opens connections to targets and other hosts.
    pub dialer: Arc<dyn StreamDialer>,
}

/// Serves requests of callers.
pub struct CallerService {
    cell: ConfigurationCell,
    freshness: FreshnessCell,
    steering: Arc<dyn SteerSource>,
    bounds: CallerBounds,
    metrics: Arc<RequestMetrics>,
    dispatcher: Arc<RequestDispatcher>,
    desk: Arc<OutcomeDesk>,
    ledger: ClaimLedger,
    forwarder: TicketForwarder,
    active: ActiveRequests,
}

enum OnceRule {
    Ticket(Box<str>),
    IdempotencyKey(Box<str>),
    Nothing,
}

impl CallerService {
    /// A service over its parts.
    pub fn new(parts: CallerParts) -> Self {
        let desk = OutcomeDesk::new(parts.host.clone(), parts.incarnation, &parts.bounds);
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
            desk,
            ledger: ClaimLedger::new(parts.store, parts.host.clone()),
            forwarder: TicketForwarder::new(parts.host, parts.peers, max_forwards, parts.dialer),
            active: ActiveRequests::default(),
        }
    }

    /// Tickets and outcomes, to be handed over at shutdown and registered for peers.
    pub fn desk(&self) -> &Arc<OutcomeDesk> {
        &self.desk
    }

    /// Claims, whose sweep is to be run.
    pub fn ledger(&self) -> &ClaimLedger {
        &self.ledger
    }

    /// Register of running requests, whose watch over the configuration is to be run.
    pub fn active(&self) -> &ActiveRequests {
        &self.active
    }

    /// Serves one request.
    pub async fn serve(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<AnswerBody> {
        let arrived = Instant::now();
        let result = match request.uri().path() {
            path if path.starts_with(OWN_PATH_PREFIX) => self.serve_own(&request, peer),
            _ => self.pass(request).await,
        };
        self.metrics.time("total", arrived.elapsed());
        match result {
            Ok(response) => {
                self.metrics.count("answered");
                response
            }
            Err(refusal) => {
                info!("request refused", kv: {
                    peer:, reason = refusal.reason, not_run = refusal.not_run
                });
                self.metrics.count(refusal.reason);
                refusal.response().map(full_body)
            }
        }
    }

    fn serve_own(
        &self,
        request: &Request<Incoming>,
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
        request: &Request<Incoming>,
        service: &str,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let state = self.cell.load();
        if state.revision == 0 {
            return Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-configuration")
                .retry_after(NO_CONFIGURATION_PAUSE));
        }
        let KeyCheck::Valid { customer, .. } = KeyCheck::of(request.headers(), &state) else {
            return Err(Refusal::not_run(StatusCode::UNAUTHORIZED, "key"));
        };
        let spec = state.customers.get(&customer);
        if !spec.is_some_and(|spec| spec.services.iter().any(|name| &**name == service)) {
            return Err(Refusal::not_run(StatusCode::FORBIDDEN, "not-allowed"));
        }
        let (ticket, life) = self.desk.issue(&customer, service);
        let body = json!({ "ticket": ticket, "expires_in_seconds": life.as_secs() });
        Ok(json_response(body.to_string().into()))
    }

    async fn pass(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, Refusal> {
        let state = self.cell.load();
        let (plan, active) = self.check(&state, &request).map_err(|refusal| {
            // Only the issuer knows whether the request of a ticket has run before.
            match request.headers().contains_key(TICKET_HEADER) {
                true => refusal.with_unknown_outcome(),
                false => refusal,
            }
        })?;
        let rule = once_rule(&plan, &request)?;
        let (head, body) = request.into_parts();
        let limit = plan.route.max_body_bytes;
        let upload = UploadSlot::new(body, limit, self.bounds.body_idle());
        match rule {
            OnceRule::Nothing => {
                let job = dispatch_job(&state, plan, head, upload, active)?;
                let stage = self.dispatcher.admit(&job).await?;
                let answer = self.dispatcher.run(&job, stage).await?;
                Ok(answer.map(BodyExt::boxed_unsync))
            }
            OnceRule::IdempotencyKey(idempotency_key) => {
                let job = dispatch_job(&state, plan, head, upload, active)?;
                let ledger = self.ledger.clone();
                let pledge = OncePledge::Claim { ledger, idempotency_key };
                run_once(Arc::clone(&self.dispatcher), job, pledge).await
            }
            OnceRule::Ticket(ticket) => {
                let job = ForwardJob { plan, head, upload, active };
                self.pass_ticketed(&state, job, &ticket).await
            }
        }
    }

    fn check(
        &self,
        state: &ConfigurationState,
        request: &Request<Incoming>,
    ) -> Result<(RequestPlan, Arc<ActiveGuard>), Refusal> {
        let plan = RequestPlan::of(state, request)?;
        plan.confirm(state, self.freshness.age(Instant::now()))?;
        let active = Arc::new(self.active.enter(plan.permission.clone()));
        plan.permission.resolve(&self.cell.load())?;
        Ok((plan, active))
    }

    async fn pass_ticketed(
        &self,
        state: &ConfigurationState,
        job: ForwardJob,
        ticket: &str,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let customer = job.plan.customer().cloned().unwrap_or_default();
        let deadline = job.plan.deadline();
        match self.desk.present(ticket, &customer, &job.plan.service, deadline).await? {
            TicketUse::Known(outcome) => known_reply(&outcome),
            TicketUse::Elsewhere(claims) => self.pass_on(job, &claims).await,
            TicketUse::Run(hold) => {
                let ForwardJob { plan, head, upload, active } = job;
                match dispatch_job(state, plan, head, upload, active) {
                    Ok(job) => {
                        let pledge = OncePledge::Ticket(hold);
                        run_once(Arc::clone(&self.dispatcher), job, pledge).await
                    }
                    Err(refusal) => {
                        hold.release();
                        Err(refusal)
                    }
                }
            }
        }
    }

    async fn pass_on(
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
    upload: Arc<UploadSlot>,
    active: Arc<ActiveGuard>,
) -> Result<DispatchJob, Refusal> {
    let head = plan.outgoing_head(state, head)?;
    Ok(DispatchJob { plan, head, upload, active })
}

/// How a request is kept from running twice. A ticket counts on every route, an `Idempotency-Key` on those that
/// are non-repeatable.
fn once_rule(plan: &RequestPlan, request: &Request<Incoming>) -> Result<OnceRule, Refusal> {
    let text = |name| request.headers().get(name).map(HeaderValue::to_str);
    match (text(TICKET_HEADER), text(IDEMPOTENCY_HEADER)) {
        (Some(Ok(ticket)), _) => Ok(OnceRule::Ticket(ticket.into())),
        (Some(Err(_)), _) => Err(Refusal::not_run(StatusCode::BAD_REQUEST, "ticket-malformed")),
        (None, Some(key)) if !plan.route.repeatable => match key {
            Ok(key) if (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len()) => {
                Ok(OnceRule::IdempotencyKey(key.into()))
            }
            _ => Err(Refusal::not_run(StatusCode::BAD_REQUEST, "idempotency-key-malformed")),
        },
        _ => Ok(OnceRule::Nothing),
    }
}

fn json_response(body: Vec<u8>) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(body.into()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// A body that is there as a whole.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    let absurd = |never: Infallible| match never {};
    Full::new(bytes).map_err(absurd).boxed_unsync()
}
