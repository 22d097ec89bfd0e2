//! Target that uses the platform's headers and can be set to fail in several ways.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::body_check::BodyTally;
use crate::body_check::RunRequest;
use crate::body_check::STAMP_HEADER;
use crate::http_server::AnswerWithheld;
use crate::http_server::HttpServer;
use crate::http_server::ServerBody;
use crate::http_server::ServerResult;
use crate::http_server::whole_body;
use crate::platform::BusiestPause;
use crate::platform::CrashTally;
use crate::platform::LateRequests;
use crate::platform::LeavingLedger;
use crate::platform::LimitLedger;
use crate::platform::LimitWindow;
use crate::platform::PauseLedger;

/// Header by which a caller names the host that it sends a request to, so that a target can tell hosts apart.
const SENDER_HEADER: &str = "x-test-sender";

const WORK_DURATION: Duration = Duration::from_millis(5);
/// Time for which a target works on a request that crashes it, and for which it is gone afterwards.
const CRASH_DELAY: Duration = Duration::from_millis(60);
const CRASHED_TIME: Duration = Duration::from_millis(1_500);

/// Behaviour of a target towards requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TargetMode {
    /// Answers each request completely and in time.
    #[default]
    Healthy,
    /// Refuses requests and says that it did not execute them.
    Sheds,
    /// Executes requests and closes the connections without an answer.
    LosesAnswers,
    /// Answers with the identifier of another request.
    CrossesAnswers,
    /// Answers without its signature.
    Unsigned,
    /// Answers like another target that has taken over the address.
    Replaced,
    /// Never answers a request.
    Silent,
    /// Executes requests and answers with status 500.
    Fails,
    /// Executes requests and answers with status 503, without the statement that it did not.
    Unavailable,
    /// Executes requests and answers with status 429, without the statement that it did not.
    Throttles,
}

/// Request that a target has executed.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Identifier of the attempt, from the `x-attempt-id` header.
    pub attempt_id: Box<str>,
    /// All headers of the request.
    pub headers: HeaderMap,
    /// Length of the request's body, in bytes.
    pub body_bytes: usize,
}

/// Request that crashes targets, and where they count it.
#[derive(Clone, Debug)]
pub struct CrashTrigger {
    /// Path of the request, without a query.
    pub path: Box<str>,
    /// Body of the request.
    pub body: Bytes,
    /// Counts of all targets that the request may reach.
    pub tally: CrashTally,
}

/// Running stand-in for a target on the platform; dropping it stops the server, and panics if it has run another request than a
/// caller sent.
pub struct PlatformTarget {
    name: Box<str>,
    shared: Arc<Mutex<TargetShared>>,
    address: SocketAddr,
    _server: JoinSet<()>,
}

#[derive(Debug, Default)]
struct TargetShared {
    mode: TargetMode,
    runs: Vec<RunRecord>,
    limit: Option<f64>,
    ledger: LimitLedger,
    work: Option<(Duration, u32)>,
    body_bytes: Option<usize>,
    is_leaving: bool,
    leaving: LeavingLedger,
    pause: Option<Duration>,
    pauses: PauseLedger,
    crash_trigger: Option<CrashTrigger>,
    crashed: Arc<Notify>,
    bodies: Arc<BodyTally>,
}

impl Drop for PlatformTarget {
    fn drop(&mut self) {
        self.bodies().assert_unchanged(&self.name);
    }
}

impl PlatformTarget {
    /// Starts a healthy target on a loopback address.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(name: &str) -> io::Result<Self> {
        let shared = Arc::<Mutex<TargetShared>>::default();
        let state = (Box::<str>::from(name), Arc::clone(&shared));
        let handler = move |request: Request<Incoming>| {
            let (name, shared) = state.clone();
            async move { serve_and_count(&name, &shared, request).await }
        };
        let server = HttpServer::start(([127, 0, 0, 1], 0).into(), handler.clone()).await?;
        let address = server.address;
        let crashed = Arc::clone(&lock(&shared).crashed);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut server = Some(server);
            loop {
                crashed.notified().await;
                drop(server.take());
                tokio::time::sleep(CRASHED_TIME).await;
                server = HttpServer::start(address, handler.clone()).await.ok();
            }
        });
        Ok(Self { name: name.into(), shared, address, _server: tasks })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Entry that the target writes to the store to register itself.
    pub fn entry(&self, service: &str, zone: &str) -> Value {
        json!({
            "address": self.address().to_string(),
            "born": 1_700_000_000_000_u64,
            "info": { "backend_service": service, "version": "v1", "zone": zone, "slots": 4 },
            "status": { "state": "ready", "sequence": 1, "cold_remaining_ms": 0 },
        })
    }

    /// Name of the instance, which requests must carry in `x-target-instance`.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Sets the behaviour towards requests that arrive from now on.
    pub fn set_mode(&self, mode: TargetMode) {
        lock(&self.shared).mode = mode;
    }

    /// States a limit of so many requests a second in all answers from now on, or none.
    pub fn set_limit(&self, per_second: Option<f64>) {
        let mut shared = lock(&self.shared);
        shared.limit = per_second;
        shared.ledger.start(Instant::now());
    }

    /// Says in all answers from now on that the target leaves, and goes on serving.
    pub fn start_leaving(&self) {
        lock(&self.shared).is_leaving = true;
    }

    /// Requests of hosts that came later than `drain_time` after they were told that the target leaves. Senders are told apart
    /// by the header `x-test-sender`.
    pub fn late_requests(&self, drain_time: Duration) -> LateRequests {
        lock(&self.shared).leaving.late_requests(drain_time)
    }

    /// Takes a time for each request from now on, and states so many waiting requests beside four running ones.
    pub fn set_work(&self, time: Duration, waiting: u32) {
        lock(&self.shared).work = Some((time, waiting));
    }

    /// Answers requests that it runs with bodies of so many bytes from now on.
    pub fn set_body(&self, bytes: usize) {
        lock(&self.shared).body_bytes = Some(bytes);
    }

    /// Turns all requests away from now on and asks their senders for a pause, or none.
    pub fn set_pause(&self, pause: Option<Duration>) {
        lock(&self.shared).pause = pause;
    }

    /// Pause within which a host sent most requests. Senders are told apart by the header `x-test-sender`.
    pub fn busiest_pause(&self) -> BusiestPause {
        lock(&self.shared).pauses.busiest_pause()
    }

    /// Crashes under a request from now on: all connections are closed, and new ones are refused for some time.
    pub fn set_crash_trigger(&self, trigger: CrashTrigger) {
        lock(&self.shared).crash_trigger = Some(trigger);
    }

    /// Busiest window of the requests that hosts sent although they knew of the limit, later than `settle_time` after
    /// `set_limit`. Senders are told apart by the header `x-test-sender`.
    pub fn busiest_window(&self, settle_time: Duration) -> LimitWindow {
        let shared = lock(&self.shared);
        shared.ledger.busiest_window(shared.limit.unwrap_or(f64::INFINITY), settle_time)
    }

    /// Comparison of the requests that the target runs with those that callers sent.
    pub fn bodies(&self) -> Arc<BodyTally> {
        Arc::clone(&lock(&self.shared).bodies)
    }

    /// Requests that the target has executed, in order.
    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.shared).runs.clone()
    }
}

/// Serves a request, states the limit or the pause in the answer, and counts all of them.
async fn serve_and_count(
    name: &str,
    shared: &Mutex<TargetShared>,
    request: Request<Incoming>,
) -> ServerResult {
    let sender = header_text(request.headers(), SENDER_HEADER);
    let (mode, pause) = {
        let mut shared = lock(shared);
        shared.ledger.record_arrival(&sender, Instant::now());
        shared.pauses.record_arrival(&sender, Instant::now());
        shared.leaving.record_arrival(&sender, Instant::now());
        match shared.pause {
            Some(pause) => (TargetMode::Sheds, Some(pause)),
            None => (shared.mode, None),
        }
    };
    let mut answer = serve(name, mode, shared, request).await?;
    let mut shared = lock(shared);
    if shared.is_leaving {
        answer.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
        shared.leaving.record_answer(&sender, Instant::now());
    }
    if let Some(pause) = pause {
        answer.headers_mut().insert("retry-after", header_number(pause.as_secs_f64()));
        answer.headers_mut().insert("x-server-load", HeaderValue::from_static("0,0,4"));
        shared.pauses.record_pause(&sender, pause, Instant::now());
    }
    if let Some(limit) = shared.limit {
        answer.headers_mut().insert("server-limit", header_number(limit));
        shared.ledger.record_answer(&sender, Instant::now());
    }
    Ok(answer)
}

async fn serve(
    name: &str,
    mode: TargetMode,
    shared: &Mutex<TargetShared>,
    request: Request<Incoming>,
) -> ServerResult {
    let headers = request.headers().clone();
    let attempt_id = header_text(&headers, "x-attempt-id");
    if mode == TargetMode::Silent {
        std::future::pending::<()>().await;
    }
    if mode == TargetMode::Replaced || *header_text(&headers, "x-target-instance") != *name {
        let refusal = [("x-instance-id", "other")];
        return Ok(build_answer(StatusCode::MISDIRECTED_REQUEST, &attempt_id, &refusal));
    }
    if mode == TargetMode::Sheds {
        let refusal = [("x-not-executed", "1"), ("x-server-load", "4,9,4")];
        return Ok(build_answer(StatusCode::SERVICE_UNAVAILABLE, &attempt_id, &refusal));
    }
    run(shared, &attempt_id, request).await?;
    let work = lock(shared).work;
    tokio::time::sleep(work.map_or(WORK_DURATION, |(time, _)| time)).await;
    let mut answer = answer_run(mode, &attempt_id)?;
    if let Some(bytes) = lock(shared).body_bytes {
        *answer.body_mut() = whole_body(vec![b'x'; bytes]);
    }
    let load = work.map(|(_, waiting)| HeaderValue::from_str(&format!("4,{waiting},4")));
    if let Some(Ok(load)) = load {
        answer.headers_mut().insert("x-server-load", load);
    }
    Ok(answer)
}

/// Reads a request to its end, compares it with what its caller sent and records it.
async fn run(
    shared: &Mutex<TargetShared>,
    attempt_id: &str,
    request: Request<Incoming>,
) -> Result<(), AnswerWithheld> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| AnswerWithheld)?.to_bytes();
    let bodies = Arc::clone(&lock(shared).bodies);
    bodies.compare(RunRequest {
        id: attempt_id,
        stamp: &header_text(&head.headers, STAMP_HEADER),
        method: head.method.as_str(),
        target: head.uri.path_and_query().map_or("", |target| target.as_str()),
        body: &body,
    });
    crash_under(shared, head.uri.path(), &body).await;
    lock(shared).runs.push(RunRecord {
        attempt_id: attempt_id.into(),
        headers: head.headers,
        body_bytes: body.len(),
    });
    Ok(())
}

/// Answer to a request that the target has run.
fn answer_run(mode: TargetMode, attempt_id: &str) -> ServerResult {
    let signed = [("x-server-signature", "s"), ("x-server-load", "1,0,4")];
    let status = match mode {
        TargetMode::LosesAnswers => return Err(AnswerWithheld),
        TargetMode::CrossesAnswers => return Ok(build_answer(StatusCode::OK, "another", &signed)),
        TargetMode::Unsigned => return Ok(build_answer(StatusCode::OK, attempt_id, &[])),
        TargetMode::Fails => StatusCode::INTERNAL_SERVER_ERROR,
        TargetMode::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        TargetMode::Throttles => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::OK,
    };
    Ok(build_answer(status, attempt_id, &signed))
}

/// Crashes the target if the request is the one that it crashes under; the future is dropped with the server then.
async fn crash_under(shared: &Mutex<TargetShared>, path: &str, body: &Bytes) {
    let (trigger, crashed) = {
        let shared = lock(shared);
        let trigger = shared.crash_trigger.clone();
        (trigger, Arc::clone(&shared.crashed))
    };
    match trigger.filter(|trigger| *trigger.path == *path && trigger.body == body) {
        None => {}
        Some(trigger) => {
            trigger.tally.record_arrival();
            tokio::time::sleep(CRASH_DELAY).await;
            trigger.tally.record_crash();
            crashed.notify_one();
            std::future::pending().await
        }
    }
}

fn build_answer(
    status: StatusCode,
    attempt_id: &str,
    headers: &[(&'static str, &'static str)],
) -> Response<ServerBody> {
    let mut response = Response::new(whole_body("answer"));
    *response.status_mut() = status;
    if let Ok(attempt_id) = HeaderValue::from_str(attempt_id) {
        response.headers_mut().insert("x-attempt-id", attempt_id);
    }
    for (name, value) in headers {
        response.headers_mut().insert(*name, HeaderValue::from_static(value));
    }
    response
}

fn header_number(value: f64) -> HeaderValue {
    HeaderValue::from_str(&value.to_string()).unwrap_or(HeaderValue::from_static("0"))
}

fn header_text(headers: &HeaderMap, name: &str) -> Box<str> {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().into()
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
