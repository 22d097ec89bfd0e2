//! Sends a request to one target and classifies the answer.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use coordination::admission_budget::AdmissionBudget;
use coordination::answer_budget::AnswerBudget;
use coordination::fleet::AttemptEnd;
use coordination::fleet::RequestFingerprint;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::Notify;

use crate::callers::AnswerBody;
use crate::callers::BodyFault;
use crate::callers::Busy;
use crate::callers::Idle;
use crate::callers::PoolKey;
use crate::callers::ReplayableUpload;
use crate::callers::SendError;
use crate::callers::TargetConnection;
use crate::callers::TargetPool;
use crate::callers::WholeUpload;
use crate::callers::has_known_class;
use crate::callers::header_filter::remove_hop_by_hop;
use crate::callers::is_closed_without_answer;
use crate::callers::is_silent;
use crate::entry::AttemptGuard;
use crate::entry::OutgoingRequest;
use crate::entry::attempt_log::log_closed_connection;
use crate::entry::attempt_log::log_early_answer;
use crate::entry::attempt_log::log_repeated_body;
use crate::entry::buffered_body::BufferedBody;
use crate::entry::buffered_body::buffer_body;
use crate::entry::run_outcome::promises_not_run;
use crate::entry::set_peer_marks;
use crate::entry::streamed_body::StreamedAttempt;
use crate::interface::AnswerHeaders;
use crate::interface::CallerDialect;
use crate::interface::TargetHeaders;

/// Longest wait for a connection to a target: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Lateness of a timer from which a host lacks processor time itself.
const LATENESS_MARGIN: Duration = Duration::from_millis(50);
/// Time in which the body of a refusal is read, so that its connection can be reused.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);
/// Interim answers to one request after which no answer proper is expected any more.
const MAX_INTERIM_ANSWERS: usize = 8;
/// Margin before a target's own idle timeout within which a pooled connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Reason of an attempt whose target failed by itself, not because of the request's body.
pub(super) const TARGET_FAILED: &str = "target-failed";

/// Reason of refusals because of targets that asked for a pause.
pub(super) const PAUSED_REASON: &str = "target-pauses";

/// How an attempt ended. The strings are reasons told to callers, logs and metrics.
pub enum AttemptResult {
    /// The target answered; the caller receives this response.
    Answered(Response<AnswerBody>),
    /// The target received the request and stated that it did not run it.
    NotRun(&'static str),
    /// No byte of the request left this host.
    NotSent(&'static str),
    /// The target closed the connection without any byte of an answer to this request, as one that crashes does.
    Closed(RequestFingerprint),
    /// The request may have run, but there is no answer that can be passed to the caller.
    OutcomeUnknown(StatusCode, &'static str),
}

impl AttemptResult {
    /// Fingerprint of the request if the target closed the connection under it.
    pub fn closed(&self) -> Option<RequestFingerprint> {
        match self {
            Self::Closed(fingerprint) => Some(*fingerprint),
            _ => None,
        }
    }

    /// Whether the target answered.
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Answered(_))
    }
}

/// Sends requests to targets over pooled connections.
pub struct AttemptRunner {
    pool: TargetPool,
    dialect: Arc<dyn CallerDialect>,
    answers: Arc<AnswerBudget>,
    budget: Arc<AdmissionBudget>,
}

enum SendResult {
    Answered(Response<Incoming>, TargetConnection<Busy>),
    NotSent(WholeUpload),
    /// The target left or asked for a pause after it had been chosen.
    Withheld,
    Closed(RequestFingerprint),
    OutcomeUnknown(&'static str),
}

impl AttemptRunner {
    /// Creates a runner that takes connections from `pool` and writes and reads headers by `dialect`. Answers that it holds draw
    /// on `answers` and on `budget`, that of the process.
    pub fn new(
        pool: TargetPool,
        dialect: Arc<dyn CallerDialect>,
        answers: Arc<AnswerBudget>,
        budget: Arc<AdmissionBudget>,
    ) -> Self {
        Self { pool, dialect, answers, budget }
    }

    /// Sends a request to the target of `guard` and reports the end of the attempt. Idle connections are reused
    /// for repeatable routes only.
    pub async fn run(
        &self,
        request: &OutgoingRequest,
        mut guard: AttemptGuard,
        upload: WholeUpload,
    ) -> AttemptResult {
        let key = PoolKey { address: guard.choice().address, customer: None };
        let idle = match request.facts.route.is_repeatable {
            true => self.pool.take_connection(&key),
            false => None,
        };
        let mut upload = upload;
        if let Some(connection) = idle {
            match self.send(request, &guard, connection, upload).await {
                SendResult::NotSent(unsent) => upload = unsent,
                result => return self.classify_answer(request, guard, key, result).await,
            }
        }
        let timeout = CONNECT_TIMEOUT.min(request.facts.time_left());
        let started_at = Instant::now();
        let opened = self.pool.open_connection(key.address, timeout).await;
        // Neither a request near its deadline nor a host that is late itself can tell whether a target is reachable.
        let is_late = started_at.elapsed() > timeout + LATENESS_MARGIN;
        if opened.is_ok() || timeout == CONNECT_TIMEOUT && !is_late {
            guard.record_connection(opened.is_ok());
        }
        let connection = match opened {
            Ok(connection) => connection,
            Err(_) => {
                guard.finish(AttemptEnd::Unreachable, None);
                return AttemptResult::NotSent("target-unreachable");
            }
        };
        let result = self.send(request, &guard, connection, upload).await;
        self.classify_answer(request, guard, key, result).await
    }

    async fn send(
        &self,
        request: &OutgoingRequest,
        guard: &AttemptGuard,
        connection: TargetConnection<Idle>,
        upload: WholeUpload,
    ) -> SendResult {
        if !guard.may_send() {
            return SendResult::Withheld;
        }
        let mut head = request.head.clone();
        let time_left =
            request.facts.caller_timeout.saturating_sub(request.facts.arrived_at.elapsed());
        let notice = TargetHeaders {
            target: &guard.choice().target,
            customer: request.facts.customer.as_deref(),
            time_left,
        };
        self.dialect.set_target_headers(&mut head.headers, &notice);
        let mut http_request = Request::from_parts(head, upload);
        let is_endless = watch_interim_answers(&mut http_request);
        if request.dispatches() > 0 && !request.upload.is_empty() {
            log_repeated_body(request, guard);
        }
        request.record_dispatch();
        let sent = tokio::select! {
            sent = connection.send(http_request) => sent,
            () = is_endless.notified() => return SendResult::OutcomeUnknown("answer-endless"),
        };
        match sent {
            Ok((response, connection)) => {
                if !connection.has_sent_request() {
                    log_early_answer(request, guard, response.status());
                }
                SendResult::Answered(response, connection)
            }
            Err(SendError::Unsent(upload)) => {
                request.withdraw_dispatch();
                SendResult::NotSent(upload)
            }
            Err(SendError::Failed(error)) => classify_error(request, guard, &error),
        }
    }

    async fn classify_answer(
        &self,
        request: &OutgoingRequest,
        mut guard: AttemptGuard,
        key: PoolKey,
        result: SendResult,
    ) -> AttemptResult {
        let (response, connection) = match result {
            SendResult::Answered(response, connection) => (response, connection),
            SendResult::NotSent(_) => {
                guard.finish(AttemptEnd::Unreachable, None);
                return AttemptResult::NotSent("target-closed");
            }
            SendResult::Withheld => {
                guard.finish(AttemptEnd::Abandoned { time: Duration::ZERO }, None);
                return AttemptResult::NotSent("target-withdrew");
            }
            SendResult::Closed(fingerprint) => {
                guard.finish(AttemptEnd::Failed, None);
                return AttemptResult::Closed(fingerprint);
            }
            SendResult::OutcomeUnknown(reason) => {
                guard.finish(AttemptEnd::Failed, None);
                return AttemptResult::OutcomeUnknown(StatusCode::BAD_GATEWAY, reason);
            }
        };
        let (parts, body) = response.into_parts();
        let facts = self.dialect.parse_answer_headers(&parts);
        let is_own =
            facts.attempt_id.as_deref().is_none_or(|attempt| *attempt == *request.facts.attempt_id);
        if !is_own {
            guard.record_leaving(&facts);
            self.pool.suspend_reuse(key.address);
            guard.finish(AttemptEnd::Failed, None);
            return AttemptResult::OutcomeUnknown(StatusCode::BAD_GATEWAY, "answer-crossed");
        }
        if !facts.is_wrong_target {
            guard.record_statements(&facts);
        }
        if facts.is_leaving {
            self.pool.close_idle(key.address);
        }
        if facts.is_wrong_target || facts.is_not_run {
            return self.finish_not_run(guard, key, connection, &facts, body).await;
        }
        if let Some(reason) = invalid_answer_reason(request, &parts, &facts) {
            guard.finish(AttemptEnd::Failed, facts.load);
            return AttemptResult::OutcomeUnknown(StatusCode::BAD_GATEWAY, reason);
        }
        self.forward_answer(request, guard, key, (parts, body), connection, &facts).await
    }

    /// Keeps a connection for further requests, unless its target leaves or still expects some of this request.
    fn return_connection(
        &self,
        key: PoolKey,
        connection: TargetConnection<Busy>,
        facts: &AnswerHeaders,
    ) {
        let idle_limit = facts.idle_timeout.map(|time| time.saturating_sub(IDLE_MARGIN));
        match connection.release() {
            Some(connection) if !facts.is_leaving => {
                self.pool.return_connection(key, connection, idle_limit)
            }
            _ => {}
        }
    }

    async fn finish_not_run(
        &self,
        mut guard: AttemptGuard,
        key: PoolKey,
        connection: TargetConnection<Busy>,
        facts: &AnswerHeaders,
        body: Incoming,
    ) -> AttemptResult {
        let (end, reason) = match facts.is_wrong_target {
            true => (AttemptEnd::Replaced, "target-replaced"),
            false => (AttemptEnd::Shed, "target-shed"),
        };
        if end == AttemptEnd::Shed {
            guard.log_refusal(facts);
        }
        guard.finish(end, facts.load);
        // A connection that still sends the request is closed at once, so that it takes no more of the body.
        if connection.has_sent_request() {
            let body = buffer_body(body, &self.answers, &self.budget);
            let body = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body).await;
            if let Ok(Ok(BufferedBody::Complete(_))) = body {
                self.return_connection(key, connection, facts);
            }
        }
        AttemptResult::NotRun(reason)
    }

    async fn forward_answer(
        &self,
        request: &OutgoingRequest,
        mut guard: AttemptGuard,
        key: PoolKey,
        (mut parts, body): (response::Parts, Incoming),
        connection: TargetConnection<Busy>,
        facts: &AnswerHeaders,
    ) -> AttemptResult {
        remove_hop_by_hop(&mut parts.headers);
        let leaving = (request.is_forwarded && facts.is_leaving).then(|| guard.choice());
        set_peer_marks(&mut parts.headers, leaving);
        match buffer_body(body, &self.answers, &self.budget).await {
            Ok(BufferedBody::Complete(held)) => {
                guard.finish_answered(parts.status, facts.load);
                self.return_connection(key, connection, facts);
                AttemptResult::Answered(Response::from_parts(parts, held.into_answer()))
            }
            Ok(BufferedBody::Streamed(stream)) => {
                let (status, load) = (parts.status, facts.load);
                let deadline = request.facts.arrived_at + request.facts.caller_timeout;
                let attempt = StreamedAttempt { guard, status, load, deadline };
                let body = stream.receive(connection, request.upload.lease(), Some(attempt));
                AttemptResult::Answered(Response::from_parts(parts, body.boxed_unsync()))
            }
            Err(_) => {
                guard.finish(AttemptEnd::Failed, facts.load);
                AttemptResult::OutcomeUnknown(StatusCode::BAD_GATEWAY, "answer-cut")
            }
        }
    }
}

/// Tells a target that crashed under a request from other reasons for which an answer is missing.
fn classify_error(
    request: &OutgoingRequest,
    guard: &AttemptGuard,
    error: &hyper::Error,
) -> SendResult {
    if is_silent(error) {
        guard.record_connection(false);
    }
    match (body_fault_reason(&request.upload), request.fingerprint()) {
        (Some(reason), _) => SendResult::OutcomeUnknown(reason),
        (None, Some(fingerprint)) if is_closed_without_answer(error) => {
            log_closed_connection(request, guard, fingerprint);
            SendResult::Closed(fingerprint)
        }
        _ => SendResult::OutcomeUnknown(TARGET_FAILED),
    }
}

/// Watches how many interim answers come to a request, and notifies if they do not seem to end.
fn watch_interim_answers<B>(request: &mut Request<B>) -> Arc<Notify> {
    let is_endless = Arc::new(Notify::new());
    let (notify, count) = (Arc::clone(&is_endless), AtomicUsize::new(0));
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
            notify.notify_one();
        }
    });
    is_endless
}

/// Reason why an answer cannot be the target's own complete answer; `None` if it can.
fn invalid_answer_reason(
    request: &OutgoingRequest,
    parts: &response::Parts,
    facts: &AnswerHeaders,
) -> Option<&'static str> {
    let is_repeatable = request.facts.route.is_repeatable;
    match parts.status {
        // Callers take these statuses for a promise, and would repeat a request that may have run.
        status if promises_not_run(status) && !is_repeatable => Some("answer-unstated"),
        StatusCode::SWITCHING_PROTOCOLS => Some("answer-upgrades"),
        status if !has_known_class(status) => Some("answer-status-unknown"),
        _ if parts.headers.contains_key(header::CONTENT_ENCODING) => Some("answer-encoded"),
        status if status.is_success() && !facts.is_signed => Some("answer-unsigned"),
        status if status.is_success() && facts.attempt_id.is_none() => Some("answer-unnamed"),
        _ => None,
    }
}

/// Reason why a request's body ended early; `None` if it did not.
pub(super) fn body_fault_reason(upload: &ReplayableUpload) -> Option<&'static str> {
    match upload.fault()? {
        BodyFault::TooLarge => Some("body-too-large"),
        BodyFault::Stalled => Some("body-stalled"),
        BodyFault::NoMemory => Some("body-not-buffered"),
        _ => Some("body-cut"),
    }
}
