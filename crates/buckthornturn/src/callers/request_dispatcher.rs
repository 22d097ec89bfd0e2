//! Sends an admitted request to a target, and to another one if that fails and a repetition is safe.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::TargetId;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http::response;
use hyper::body::Incoming;
use spdlog::info;

use crate::callers::ActiveGuard;
use crate::callers::AnswerResources;
use crate::callers::AnswerStream;
use crate::callers::BodyFault;
use crate::callers::Busy;
use crate::callers::Idle;
use crate::callers::PoolKey;
use crate::callers::Refusal;
use crate::callers::ReplayableUpload;
use crate::callers::RequestMetrics;
use crate::callers::RequestPlan;
use crate::callers::SendError;
use crate::callers::TargetConnection;
use crate::callers::TargetPool;
use crate::callers::WholeUpload;
use crate::callers::has_known_class;
use crate::callers::header_filter::remove_hop_by_hop;
use crate::callers::header_filter::remove_product_headers;
use crate::callers::request_plan::REQUEST_ID_HEADER;
use crate::callers::request_plan::TIMEOUT_HEADER;
use crate::callers::request_stage::Admitted;
use crate::callers::request_stage::Dispatched;
use crate::callers::request_stage::RequestStage;
use crate::configuration::ConfigurationCell;
use crate::interface::AdmissionGate;
use crate::interface::FreshnessCell;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ATTEMPTS: u32 = 3;
const SHED_HEADER: &str = "target-shed";

/// Request that is ready to be sent to a target.
pub struct DispatchJob {
    /// Checked properties of the request, such as route and deadline.
    pub plan: RequestPlan,
    /// Head of the request as it is sent to targets, without keys and hop-by-hop headers.
    pub head: Parts,
    /// Body of the request; a small one can be sent again to another target.
    pub upload: Arc<ReplayableUpload>,
    /// Registration of the request, whose token is cancelled when the caller's permission is withdrawn.
    pub active: Arc<ActiveGuard>,
}

/// Head of a target's answer, with the body that is still being received.
pub type TargetAnswer = Response<AnswerStream>;

/// Sends requests to the targets that the admission gate chooses.
pub struct RequestDispatcher {
    cell: ConfigurationCell,
    freshness: FreshnessCell,
    gate: Arc<dyn AdmissionGate>,
    pool: TargetPool,
    metrics: Arc<RequestMetrics>,
}

/// Result of sending a request to one target.
enum AttemptResult {
    Answered(Box<TargetAnswer>),
    /// The target did not run the request; another target may be tried.
    NotRun(Refusal),
    /// Bytes of the request were sent, but no usable answer arrived; the request may have run.
    Lost(Refusal),
}

/// Result of sending a request over one connection.
enum SendResult {
    Answered(RequestStage<Dispatched>, Response<Incoming>, TargetConnection<Busy>),
    /// The connection returned the request before it wrote any byte of it.
    Unsent(RequestStage<Admitted>, WholeUpload),
    /// The request may have run, and no answer will arrive.
    Lost(Refusal),
}

impl RequestDispatcher {
    /// Creates a dispatcher that asks `gate` before each attempt.
    pub fn new(
        cell: ConfigurationCell,
        freshness: FreshnessCell,
        gate: Arc<dyn AdmissionGate>,
        pool: TargetPool,
        metrics: Arc<RequestMetrics>,
    ) -> Self {
        Self { cell, freshness, gate, pool, metrics }
    }

    /// Waits for the admission of the first attempt, and checks the permission and the key state again, which may
    /// have changed while the request waited.
    ///
    /// # Errors
    ///
    /// Returns the refusal; the request has not run.
    pub async fn admit(&self, job: &DispatchJob) -> Result<RequestStage<Admitted>, Refusal> {
        self.admit_attempt(job, 0, &[]).await
    }

    /// Sends an admitted request and waits for the head of the answer. Tries further targets, at most `MAX_ATTEMPTS`
    /// in all, while the request has certainly not run or its route is repeatable.
    ///
    /// # Errors
    ///
    /// Returns a refusal that says why there is no answer, and whether the request may have run.
    pub async fn run(
        &self,
        job: &DispatchJob,
        admitted: RequestStage<Admitted>,
    ) -> Result<TargetAnswer, Refusal> {
        let mut excluded: Vec<TargetId> = Vec::new();
        let mut lost: Option<Refusal> = None;
        let mut stage = admitted;
        let mut attempt = 1;
        let Some(mut upload) = job.upload.take_whole() else {
            let (status, reason) = job.loss_reason();
            return Err(stage.refuse(Refusal::not_run(status, reason)));
        };
        loop {
            excluded.push(stage.target().clone());
            let refusal = match self.try_target(job, stage, upload).await {
                AttemptResult::Answered(answer) => return Ok(*answer),
                AttemptResult::NotRun(refusal) => refusal,
                AttemptResult::Lost(refusal) => {
                    lost = Some(refusal.clone());
                    refusal
                }
            };
            let may_repeat = lost.is_none() || job.plan.route.repeatable;
            let is_over = attempt >= MAX_ATTEMPTS || Instant::now() >= job.plan.deadline();
            let retry = match is_over || !may_repeat || job.is_revoked() {
                true => None,
                false => job.upload.take_whole(),
            };
            upload = match retry {
                Some(upload) => upload,
                None => return Err(lost.unwrap_or(refusal)),
            };
            info!("request retried", kv: {
                request_id: = job.plan.request_id, attempt:, reason = refusal.reason
            });
            stage = match self.admit_attempt(job, attempt, &excluded).await {
                Ok(stage) => stage,
                Err(_) => return Err(lost.unwrap_or(refusal)),
            };
            attempt += 1;
        }
    }

    async fn admit_attempt(
        &self,
        job: &DispatchJob,
        attempt: u32,
        excluded: &[TargetId],
    ) -> Result<RequestStage<Admitted>, Refusal> {
        let admission_started_at = Instant::now();
        let admission = job.plan.admission_request(attempt, excluded);
        let permit = tokio::select! {
            permit = self.gate.admit(admission) => permit?,
            () = job.active.token().cancelled() => return Err(key_withdrawn()),
        };
        self.metrics.record_time("queue", admission_started_at.elapsed());
        let stage = RequestStage::new(permit);
        match job.plan.check_allowed(&self.cell.load(), self.freshness.age(Instant::now())) {
            Ok(()) => Ok(stage),
            Err(refusal) => Err(stage.refuse(refusal)),
        }
    }

    async fn try_target(
        &self,
        job: &DispatchJob,
        stage: RequestStage<Admitted>,
        upload: WholeUpload,
    ) -> AttemptResult {
        let key = PoolKey { address: stage.address(), customer: job.plan.customer().cloned() };
        let idle = match job.plan.route.repeatable {
            true => self.pool.take_connection(&key),
            false => None,
        };
        let (mut stage, mut upload) = (stage, upload);
        if let Some(connection) = idle {
            match self.send(job, stage, connection, upload).await {
                SendResult::Unsent(unsent, whole) => (stage, upload) = (unsent, whole),
                result => return self.conclude_attempt(job, key, result),
            }
        }
        let connect_started_at = Instant::now();
        let remaining = job.plan.deadline().saturating_duration_since(connect_started_at);
        let connection =
            match self.pool.open_connection(key.address, remaining.min(CONNECT_TIMEOUT)).await {
                Ok(connection) => connection,
                Err(error) => {
                    info!("target unreachable", kv: {
                        request_id: = job.plan.request_id, target: = stage.target(), reason: = error
                    });
                    return AttemptResult::NotRun(stage.target_unreachable());
                }
            };
        self.metrics.record_time("connect", connect_started_at.elapsed());
        let result = self.send(job, stage, connection, upload).await;
        self.conclude_attempt(job, key, result)
    }

    async fn send(
        &self,
        job: &DispatchJob,
        stage: RequestStage<Admitted>,
        connection: TargetConnection<Idle>,
        upload: WholeUpload,
    ) -> SendResult {
        let request = job.build_request(upload);
        let stage = stage.dispatch();
        let sent_at = Instant::now();
        let answer = tokio::select! {
            answer = connection.send(request) => answer,
            () = job.wait_until_head_overdue() => {
                return SendResult::Lost(stage.fail(StatusCode::GATEWAY_TIMEOUT, "target-timeout"));
            }
            () = job.active.token().cancelled() => {
                return SendResult::Lost(stage.fail(StatusCode::UNAUTHORIZED, "key-withdrawn"));
            }
        };
        match answer {
            Ok((response, connection)) => {
                self.metrics.record_time("first_byte", sent_at.elapsed());
                SendResult::Answered(stage, response, connection)
            }
            Err(SendError::Unsent(upload)) => SendResult::Unsent(stage.into_unsent(), upload),
            Err(SendError::Failed(_)) => {
                let (status, reason) = job.loss_reason();
                SendResult::Lost(stage.fail(status, reason))
            }
        }
    }

    fn conclude_attempt(
        &self,
        job: &DispatchJob,
        key: PoolKey,
        result: SendResult,
    ) -> AttemptResult {
        let (stage, response, connection) = match result {
            SendResult::Answered(stage, response, connection) => (stage, response, connection),
            SendResult::Unsent(stage, _) => {
                return AttemptResult::NotRun(stage.target_unreachable());
            }
            SendResult::Lost(refusal) => return AttemptResult::Lost(refusal),
        };
        let (mut parts, body) = response.into_parts();
        if has_foreign_request_id(&parts, &job.plan.request_id) {
            self.pool.suspend_reuse(key.address);
            return AttemptResult::Lost(stage.fail(StatusCode::BAD_GATEWAY, "answer-crossed"));
        }
        if parts.status == StatusCode::SWITCHING_PROTOCOLS || !has_known_class(parts.status) {
            return AttemptResult::Lost(stage.fail(StatusCode::BAD_GATEWAY, "target-failed"));
        }
        if is_shed(&parts) {
            return AttemptResult::NotRun(stage.target_shed().retry_after(SHED_RETRY_AFTER));
        }
        job.upload.release_start();
        remove_hop_by_hop(&mut parts.headers);
        remove_product_headers(&mut parts.headers);
        let resources = AnswerResources {
            stage: Some(stage.answered(parts.status)),
            connection,
            return_to: Some((self.pool.clone(), key)),
            active: Arc::clone(&job.active),
            upload: Arc::clone(&job.upload),
        };
        let answer = Response::from_parts(parts, AnswerStream::new(body, resources));
        AttemptResult::Answered(Box::new(answer))
    }
}

const SHED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl DispatchJob {
    fn build_request(&self, upload: WholeUpload) -> Request<WholeUpload> {
        let mut head = self.head.clone();
        let remaining = match self.upload.is_empty() {
            true => self.plan.deadline().saturating_duration_since(Instant::now()),
            false => self.plan.timeout + self.upload_time(),
        };
        let remaining = HeaderValue::from(remaining.as_millis() as u64);
        head.headers.insert(TIMEOUT_HEADER, remaining);
        Request::from_parts(head, upload)
    }

    /// Time that a body of this size takes at the lowest upload rate.
    fn upload_time(&self) -> Duration {
        let bytes = self.plan.body_bytes.unwrap_or(self.plan.route.max_body_bytes);
        Duration::from_secs_f64(bytes as f64 / MIN_UPLOAD_BYTES_PER_SECOND).min(MAX_UPLOAD_TIME)
    }

    fn is_revoked(&self) -> bool {
        self.active.token().is_cancelled()
    }

    /// Waits until the head of the answer is overdue. The timeout counts from the end of the request body, so that a
    /// long upload is not aborted while it makes progress.
    async fn wait_until_head_overdue(&self) {
        loop {
            let due_at = match self.upload.finished_at() {
                _ if self.upload.is_empty() => self.plan.deadline(),
                Some(finished_at) => self.plan.deadline().max(finished_at + self.plan.timeout),
                None => self.upload.last_progress_at() + MAX_UPLOAD_PAUSE,
            };
            if Instant::now() >= due_at {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(due_at.into()) => {}
                () = self.upload.wait_until_finished() => {}
            }
        }
    }

    fn loss_reason(&self) -> (StatusCode, &'static str) {
        match self.upload.fault() {
            Some(BodyFault::TooLarge) => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
            Some(BodyFault::Stalled) => (StatusCode::REQUEST_TIMEOUT, "body-stalled"),
            Some(_) => (StatusCode::BAD_REQUEST, "body-cut"),
            None => (StatusCode::BAD_GATEWAY, "target-failed"),
        }
    }
}

/// Lowest upload rate for which the timeout in the request to the target allows.
const MIN_UPLOAD_BYTES_PER_SECOND: f64 = 65_536.0;
/// Longest upload for which the timeout in the request to the target allows.
const MAX_UPLOAD_TIME: Duration = Duration::from_secs(3_600);
/// Longest time for which the target may take no byte of the body, after which the request is aborted.
const MAX_UPLOAD_PAUSE: Duration = Duration::from_secs(60);

fn key_withdrawn() -> Refusal {
    Refusal::not_run(StatusCode::UNAUTHORIZED, "key-withdrawn")
}

fn is_shed(parts: &response::Parts) -> bool {
    parts.status == StatusCode::SERVICE_UNAVAILABLE
        && parts.headers.get(SHED_HEADER).is_some_and(|value| value == "1")
}

/// Whether the answer carries the identifier of another request. Targets need not return the identifier.
fn has_foreign_request_id(parts: &response::Parts, request_id: &str) -> bool {
    let returned = parts.headers.get(REQUEST_ID_HEADER);
    returned.is_some_and(|value| value.as_bytes() != request_id.as_bytes())
}
