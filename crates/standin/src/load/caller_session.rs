//! Sends a caller's requests: look-up of hosts, ticket, attempts at several hosts.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde_json::Value;

use crate::body_check::STAMP_HEADER;
use crate::load::CustomerLoad;
use crate::load::RequestEnd;
use crate::load::RequestTemplate;
use crate::load::connection_pool::ConnectionPool;
use crate::load::content_check::ContentCheck;
use crate::load::request_body::SentBody;
use crate::load::request_body::empty_body;
use crate::load::steering_cache::SteeringCache;

const OUTCOME_HEADER: &str = "buckthornturn-outcome";
const TICKET_HEADER: &str = "buckthornturn-ticket";
const ID_HEADER: &str = "x-load-id";
const MAX_HOSTS_TRIED: usize = 4;
/// Longest wait for the head of an answer; `bulk` requests have no limit per attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_PROBLEM_BYTES: usize = 64 * 1024;

/// Result of a request and of all its attempts; filled in while the request runs, so that a timeout keeps it.
#[derive(Default)]
pub struct SessionResult {
    /// How the last attempt ended; `None` while no attempt has ended.
    pub end: Option<RequestEnd>,
    /// Identifiers sent to hosts, each listed once; a request with `once` uses the same one for all attempts.
    pub attempt_ids: Vec<Box<str>>,
    /// Identifiers of the attempts that were refused as not executed.
    pub not_run_ids: Vec<Box<str>>,
    /// Whether the request needed a ticket (`once`) and was sent without, as no host issued one.
    pub lacks_ticket: bool,
    /// Failure domain of the host tried last; `None` if no look-up named it.
    pub failure_domain: Option<Box<str>>,
    /// Name of the target in the last answer; `None` if the answer does not name one.
    pub target: Option<Box<str>>,
}

/// Callers of one customer, which share connections and look-ups.
pub struct CallerSession {
    load: CustomerLoad,
    pool: ConnectionPool,
    steering: SteeringCache,
}

/// How one attempt at one host ended.
enum AttemptEnd {
    Final(RequestEnd),
    Unreachable,
    NoAnswer,
}

impl CallerSession {
    /// Creates a session that sends look-ups to `entry_hosts`.
    pub fn new(load: CustomerLoad, entry_hosts: Vec<SocketAddr>) -> Self {
        let pool = ConnectionPool::default();
        let steering = SteeringCache::new(entry_hosts, pool.clone());
        Self { load, pool, steering }
    }

    /// Sends one request to up to `MAX_HOSTS_TRIED` hosts. The next host follows after a refusal with 503 as not
    /// executed, an unreachable host or a lost answer. A request that must run at most once is not repeated after a
    /// lost answer unless it has a ticket.
    pub async fn send(&self, template: &RequestTemplate, id: &str, result: &mut SessionResult) {
        let ticket = match template.once {
            true => self.fetch_ticket(template).await,
            false => None,
        };
        result.lacks_ticket = template.once && ticket.is_none();
        let hosts = self.steering.hosts_for(&template.service).await;
        for (attempt, host) in hosts.iter().take(MAX_HOSTS_TRIED).enumerate() {
            let attempt_id: Box<str> = match template.once {
                true => id.into(),
                false => format!("{id}.{attempt}").into(),
            };
            if !result.attempt_ids.contains(&attempt_id) {
                result.attempt_ids.push(attempt_id.clone());
            }
            result.failure_domain = host.failure_domain.clone();
            let end = self
                .send_attempt(host.address, template, &attempt_id, ticket.as_deref(), result)
                .await;
            match end {
                AttemptEnd::Final(RequestEnd::Refused { status: 503, reason, not_run: true }) => {
                    result.not_run_ids.push(attempt_id);
                    result.end = Some(RequestEnd::Refused { status: 503, reason, not_run: true });
                }
                AttemptEnd::Final(end) => {
                    if matches!(end, RequestEnd::Refused { not_run: true, .. }) {
                        result.not_run_ids.push(attempt_id);
                    }
                    result.end = Some(end);
                    return;
                }
                AttemptEnd::Unreachable => {
                    result.end.get_or_insert(RequestEnd::Unreachable);
                    self.steering.expire_answer(&template.service);
                    self.steering.record_failure(host.address);
                }
                AttemptEnd::NoAnswer => {
                    result.end = Some(RequestEnd::NoAnswer);
                    self.steering.expire_answer(&template.service);
                    self.steering.record_failure(host.address);
                    if template.once && ticket.is_none() {
                        return;
                    }
                }
            }
        }
        result.end.get_or_insert(RequestEnd::Unreachable);
    }

    async fn send_attempt(
        &self,
        address: SocketAddr,
        template: &RequestTemplate,
        id: &str,
        ticket: Option<&str>,
        result: &mut SessionResult,
    ) -> AttemptEnd {
        let Some(mut sender) = self.pool.acquire(address).await else {
            return AttemptEnd::Unreachable;
        };
        let sent = SentBody::new(template, id);
        let mut builder = Request::builder()
            .method(&*template.method)
            .uri(&*template.path)
            .header("host", &*template.host)
            .header(ID_HEADER, id)
            .header(STAMP_HEADER, sent.stamp.to_string());
        if !template.open {
            builder = builder.header("authorization", format!("Bearer {}", self.load.key));
        }
        if sent.stamp.length > 0 && !sent.is_chunked {
            builder = builder.header("content-length", sent.stamp.length);
        }
        if let Some(ticket) = ticket {
            builder = builder.header(TICKET_HEADER, ticket);
        }
        let Ok(request) = builder.body(sent.stream()) else {
            return AttemptEnd::Unreachable;
        };
        let timeout = if template.bulk { Duration::MAX } else { ATTEMPT_TIMEOUT };
        let response = match tokio::time::timeout(timeout, sender.send_request(request)).await {
            Ok(Ok(response)) => response,
            _ if sent.broken_off_at.is_some() => return AttemptEnd::Final(RequestEnd::BrokenOff),
            _ => return AttemptEnd::NoAnswer,
        };
        let end = self.classify_response(template, (id, &sent), response, result).await;
        if !matches!(end, RequestEnd::CutAnswer) {
            self.pool.release(address, sender);
        }
        AttemptEnd::Final(end)
    }

    async fn classify_response(
        &self,
        template: &RequestTemplate,
        (id, sent): (&str, &SentBody),
        response: Response<Incoming>,
        result: &mut SessionResult,
    ) -> RequestEnd {
        let status = response.status();
        let header = |name: &str| -> Option<Box<str>> {
            response.headers().get(name).and_then(|value| value.to_str().ok()).map(Into::into)
        };
        let outcome = header(OUTCOME_HEADER);
        result.target = header("target-name");
        match outcome {
            Some(outcome) => read_refusal(status, &outcome, response.into_body()).await,
            None if status.is_success() => {
                let customer = (!template.open).then_some(&*self.load.customer);
                let check = ContentCheck { template, id, sent, customer };
                check.check_answer(status.as_u16(), response.into_body()).await
            }
            None => match response.into_body().collect().await {
                Ok(_) => RequestEnd::Answered { status: status.as_u16() },
                Err(_) => RequestEnd::CutAnswer,
            },
        }
    }

    async fn fetch_ticket(&self, template: &RequestTemplate) -> Option<Box<str>> {
        let hosts = self.steering.hosts_for(&template.service).await;
        for host in hosts.iter().take(MAX_HOSTS_TRIED) {
            if let Some(ticket) = self.request_ticket(host.address, template).await {
                return Some(ticket);
            }
        }
        None
    }

    async fn request_ticket(
        &self,
        address: SocketAddr,
        template: &RequestTemplate,
    ) -> Option<Box<str>> {
        let mut sender = self.pool.acquire(address).await?;
        let service = &template.service;
        let path = format!("/.well-known/buckthornturn/ticket?service={service}");
        let request = Request::post(path)
            .header("host", &*template.host)
            .header("authorization", format!("Bearer {}", self.load.key))
            .body(empty_body())
            .ok()?;
        let response_result =
            tokio::time::timeout(ATTEMPT_TIMEOUT, sender.send_request(request)).await;
        let response = response_result.ok()?.ok()?;
        let is_success = response.status().is_success();
        let body = Limited::new(response.into_body(), MAX_PROBLEM_BYTES).collect().await.ok()?;
        self.pool.release(address, sender);
        let answer: Value = serde_json::from_slice(&body.to_bytes()).ok()?;
        answer["ticket"].as_str().filter(|_| is_success).map(Into::into)
    }
}

async fn read_refusal(status: StatusCode, outcome: &str, body: Incoming) -> RequestEnd {
    let body = Limited::new(body, MAX_PROBLEM_BYTES).collect().await;
    let problem: Value = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body.to_bytes()).ok())
        .unwrap_or_default();
    let reason = problem["title"].as_str().unwrap_or("unnamed").into();
    RequestEnd::Refused { status: status.as_u16(), reason, not_run: outcome == "not-run" }
}
