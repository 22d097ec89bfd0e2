//! HTTP interface of a target.

use std::future::pending;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

use crate::body_check::RequestStamp;
use crate::body_check::RunRequest;
use crate::body_check::STAMP_HEADER;
use crate::http_server::AnswerWithheld;
use crate::http_server::ServerBody;
use crate::http_server::ServerResult;
use crate::http_server::json_answer;
use crate::http_server::plain_answer;
use crate::http_server::query_number;
use crate::target_standin::AnswerContent;
use crate::target_standin::ExecutionLedger;
use crate::target_standin::TargetBehaviour;
use crate::target_standin::TargetCounts;
use crate::target_standin::load_history::LoadHistory;
use crate::target_standin::paced_body::paced_body;
use crate::target_standin::slot_pool::SlotGuard;
use crate::target_standin::slot_pool::SlotPool;
use crate::target_standin::warm_up::work_time;

/// Header of the answer to a request that was shed without execution.
pub const SHED_HEADER: &str = "target-shed";
/// Header with the time left until a request's deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Headers that may hold the identifier of a request; the first that is present applies.
pub const ID_HEADERS: [&str; 3] = ["x-load-id", "idempotency-key", "x-request-id"];
const KEY_PREFIX: &[u8] = b"bt_";
/// Share of early refusals that wait for a part of the body, in percent.
const REFUSED_WITHIN_BODY_PERCENT: f64 = 50.0;
/// Bound of the bytes that such a refusal waits for.
const MAX_READ_BYTES: usize = 100_000;
const MAX_CONTROL_BYTES: usize = 64 * 1024;

/// Serves requests, health reports and control paths of a target.
pub struct TargetService {
    name: Box<str>,
    behaviour: Mutex<TargetBehaviour>,
    ledger: Arc<ExecutionLedger>,
    slots: SlotPool,
    load_history: LoadHistory,
    started_at: Instant,
    executed_count: AtomicU64,
    rng: Mutex<ChaCha8Rng>,
}

/// Properties of a request that the answer echoes, so that a caller can check that the answer is its own.
struct RequestEcho {
    id: Option<Box<str>>,
    customer: Option<Box<str>>,
    method: Method,
    path: Box<str>,
    target: Box<str>,
    stamp: Box<str>,
    pause: Duration,
}

impl TargetService {
    /// Creates a service that counts in `ledger`; shedding is seeded from the name.
    pub fn new(name: Box<str>, behaviour: TargetBehaviour, ledger: Arc<ExecutionLedger>) -> Self {
        let seed = name.bytes().map(u64::from).sum();
        Self {
            name,
            behaviour: Mutex::new(behaviour),
            ledger,
            slots: SlotPool::default(),
            load_history: LoadHistory::default(),
            started_at: Instant::now(),
            executed_count: AtomicU64::new(0),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Ledger of the target's executions.
    pub fn ledger(&self) -> Arc<ExecutionLedger> {
        Arc::clone(&self.ledger)
    }

    /// Counts of the ledger, those from before a restart included.
    pub fn counts(&self) -> TargetCounts {
        self.ledger.counts()
    }

    /// Copy of the behaviour in force.
    pub fn behaviour(&self) -> TargetBehaviour {
        self.behaviour.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the behaviour; requests in progress keep the former one.
    pub fn set_behaviour(&self, behaviour: TargetBehaviour) {
        self.ledger.set_draining(behaviour.draining);
        self.load_history.record_sample(self.slots.in_flight(), behaviour.draining, Instant::now());
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Serves one request.
    ///
    /// # Errors
    ///
    /// Fails if the request's body ended early; there is no answer then.
    pub async fn serve(&self, request: Request<Incoming>) -> ServerResult {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health") => self.answer_health().await,
            (&Method::GET, "/counts") => {
                Ok(json_answer(&serde_json::to_value(self.counts()).unwrap_or_default()))
            }
            (&Method::GET, "/executions") => {
                let executions = self.ledger.executions();
                Ok(json_answer(&serde_json::to_value(executions).unwrap_or_default()))
            }
            (&Method::GET, "/control") => {
                Ok(json_answer(&serde_json::to_value(self.behaviour()).unwrap_or_default()))
            }
            (&Method::PUT, "/control") => Ok(self.update_behaviour(request).await),
            _ => self.handle_request(request).await,
        }
    }

    async fn answer_health(&self) -> ServerResult {
        let behaviour = self.behaviour();
        if behaviour.report.absent || behaviour.hang {
            return pending().await;
        }
        self.load_history.record_sample(self.slots.in_flight(), behaviour.draining, Instant::now());
        Ok(json_answer(&self.load_history.report_at(&behaviour, Instant::now())))
    }

    async fn update_behaviour(&self, request: Request<Incoming>) -> Response<ServerBody> {
        let body = Limited::new(request.into_body(), MAX_CONTROL_BYTES).collect().await;
        let update: Option<Value> =
            body.ok().and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
        let mut merged = serde_json::to_value(self.behaviour()).unwrap_or_default();
        if let (Some(Value::Object(update)), Value::Object(fields)) = (update, &mut merged) {
            fields.extend(update);
            if let Ok(behaviour) = serde_json::from_value(merged) {
                self.set_behaviour(behaviour);
                return plain_answer(StatusCode::OK, "");
            }
        }
        plain_answer(StatusCode::BAD_REQUEST, "body is not a valid behaviour in JSON")
    }

    async fn handle_request(&self, request: Request<Incoming>) -> ServerResult {
        let behaviour = self.behaviour();
        self.ledger.record_arrival(contains_key(&request));
        if self.is_drawn(behaviour.shed_percent) {
            return Ok(self.shed_request(false));
        }
        if !request.body().is_end_stream() && self.is_drawn(behaviour.refuse_early_percent) {
            return self.refuse_early(request).await;
        }
        let Some(slot) = self.slots.acquire(behaviour.slots, &self.ledger) else {
            return Ok(self.shed_request(true));
        };
        self.load_history.record_sample(self.slots.in_flight(), behaviour.draining, Instant::now());
        let timeout = request_timeout(request.headers());
        let work = self.execute(&behaviour, request, slot);
        let result = match timeout {
            Some(timeout) => match tokio::time::timeout(timeout, work).await {
                Ok(result) => result,
                Err(_) => {
                    self.ledger.record_timeout();
                    Ok(plain_answer(StatusCode::GATEWAY_TIMEOUT, "the deadline has passed"))
                }
            },
            None => work.await,
        };
        self.load_history.record_sample(self.slots.in_flight(), behaviour.draining, Instant::now());
        result
    }

    /// Sheds a request as soon as its head or the first part of its body is there, and reads the rest beside the answer.
    async fn refuse_early(&self, request: Request<Incoming>) -> ServerResult {
        let echo = RequestEcho::from_request(&request);
        let (mut body, mut start) = (request.into_body(), BytesMut::new());
        let enough = match self.is_drawn(REFUSED_WITHIN_BODY_PERCENT) {
            true => self.draw_length(),
            false => 0,
        };
        if !read_body(&mut body, &mut start, enough).await {
            self.ledger.record_cut_upload();
            return Err(AnswerWithheld);
        }
        self.ledger.record_early_refusal();
        let ledger = self.ledger();
        tokio::spawn(async move {
            match read_body(&mut body, &mut start, usize::MAX).await {
                true => drop(echo.compare(&ledger, &start)),
                false => ledger.record_cut_upload(),
            }
        });
        Ok(self.shed_request(false))
    }

    fn draw_length(&self) -> usize {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(1..MAX_READ_BYTES)
    }

    fn is_drawn(&self, percent: f64) -> bool {
        let probability = (percent / 100.0).clamp(0.0, 1.0);
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        probability > 0.0 && rng.random_bool(probability)
    }

    fn shed_request(&self, is_over_slots: bool) -> Response<ServerBody> {
        self.ledger.record_shed(is_over_slots);
        let mut response = plain_answer(StatusCode::SERVICE_UNAVAILABLE, "shed");
        response.headers_mut().insert(SHED_HEADER, HeaderValue::from_static("1"));
        response
    }

    async fn execute(
        &self,
        behaviour: &TargetBehaviour,
        request: Request<Incoming>,
        mut slot: SlotGuard,
    ) -> ServerResult {
        let echo = RequestEcho::from_request(&request);
        let mut body = BytesMut::new();
        if !read_body(&mut request.into_body(), &mut body, usize::MAX).await {
            self.ledger.record_cut_upload();
            return Err(AnswerWithheld);
        }
        let run = echo.compare(&self.ledger, &body);
        if behaviour.hang {
            return pending().await;
        }
        if let (1.., Ok(status)) =
            (behaviour.fail_status, StatusCode::from_u16(behaviour.fail_status))
        {
            slot.mark_answered();
            return Ok(plain_answer(status, "failure set by fail_status"));
        }
        self.ledger.record_execution(echo.id.as_deref(), echo.method == Method::POST);
        let executed_count = self.executed_count.load(Ordering::Relaxed);
        tokio::time::sleep(work_time(behaviour, executed_count, self.started_at.elapsed())).await;
        self.executed_count.fetch_add(1, Ordering::Relaxed);
        Ok(self.build_answer(echo, &run, slot))
    }

    fn build_answer(
        &self,
        echo: RequestEcho,
        run: &RequestStamp,
        mut slot: SlotGuard,
    ) -> Response<ServerBody> {
        let id = echo.id.as_deref().unwrap_or_default();
        let length = echo.path.split("/bytes/").nth(1).and_then(|text| text.parse::<u64>().ok());
        let mut response = match length {
            Some(length) => {
                let body = paced_body(AnswerContent::new(id), length, echo.pause, slot);
                let mut response = Response::new(body);
                response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
                response
            }
            None => {
                slot.mark_answered();
                json_answer(&json!({
                    "target": self.name, "request_id": echo.id, "customer": echo.customer,
                    "path": echo.path, "body_bytes": run.length, "body_sha256": run.body,
                }))
            }
        };
        for (name, value) in [("target-name", &*self.name), ("target-request-id", id)] {
            if let Ok(value) = HeaderValue::from_str(value) {
                response.headers_mut().insert(name, value);
            }
        }
        response
    }
}

impl RequestEcho {
    fn from_request(request: &Request<Incoming>) -> Self {
        let headers = request.headers();
        let text = |name: &str| -> Option<Box<str>> {
            headers.get(name).and_then(|value| value.to_str().ok()).map(Into::into)
        };
        Self {
            id: ID_HEADERS.into_iter().find_map(text),
            customer: text("buckthornturn-customer"),
            method: request.method().clone(),
            path: request.uri().path().into(),
            target: request.uri().path_and_query().map_or("", |target| target.as_str()).into(),
            stamp: text(STAMP_HEADER).unwrap_or_default(),
            pause: Duration::from_millis(query_number(request, "pause_ms").unwrap_or(0)),
        }
    }

    /// Compares the request with what its caller sent, and returns what was read.
    fn compare(&self, ledger: &ExecutionLedger, body: &[u8]) -> RequestStamp {
        ledger.bodies().compare(RunRequest {
            id: self.id.as_deref().unwrap_or_default(),
            stamp: &self.stamp,
            method: self.method.as_str(),
            target: &self.target,
            body,
        })
    }
}

/// Reads a body to its end or to a number of bytes; false if it ended early.
async fn read_body(body: &mut Incoming, read: &mut BytesMut, enough: usize) -> bool {
    while read.len() < enough {
        match body.frame().await {
            None => return true,
            Some(Err(_)) => return false,
            Some(Ok(frame)) => read.extend(frame.into_data().ok()),
        }
    }
    true
}

fn request_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(TIMEOUT_HEADER)?.to_str().ok()?;
    Some(Duration::from_millis(text.parse().ok()?))
}

fn contains_key(request: &Request<Incoming>) -> bool {
    let contains_prefix =
        |text: &[u8]| text.windows(KEY_PREFIX.len()).any(|part| part == KEY_PREFIX);
    let uri = request.uri().path_and_query().map_or("", |path| path.as_str());
    contains_prefix(uri.as_bytes())
        || request.headers().values().any(|value| contains_prefix(value.as_bytes()))
}
