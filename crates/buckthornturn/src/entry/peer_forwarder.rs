//! Forwards requests to other entry hosts while this host cannot reach targets.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::answer_budget::AnswerBudget;
use coordination::fleet::ConfigurationPosition;
use coordination::fleet::HostHeartbeat;
use coordination::fleet::LeavingReport;
use coordination::fleet::PeerQuery;
use coordination::fleet::PlacementChoice;
use coordination::fleet::StateVersion;
use coordination::fleet::choose_peer;
use coordination::ids::HostId;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::callers::AnswerBody;
use crate::callers::Busy;
use crate::callers::Idle;
use crate::callers::PoolKey;
use crate::callers::Refusal;
use crate::callers::SendError;
use crate::callers::TargetConnection;
use crate::callers::TargetPool;
use crate::callers::WholeUpload;
use crate::callers::header_filter::remove_hop_by_hop;
use crate::entry::EntryState;
use crate::entry::OutgoingRequest;
use crate::entry::attempt_log::log_forwarded_body;
use crate::entry::buffered_body::BufferedBody;
use crate::entry::buffered_body::buffer_body;
use crate::entry::run_outcome::is_not_run;
use crate::interface::CallerDialect;

/// Revision of the configuration that a request was checked against by the host that forwards it. A request with this
/// header is not forwarded again.
const REVISION_HEADER: HeaderName = HeaderName::from_static("buckthornturn-peer-revision");
/// Era of the store that gave out that revision, and the number of the configuration.
const ERA_HEADER: HeaderName = HeaderName::from_static("buckthornturn-peer-era");
const NUMBER_HEADER: HeaderName = HeaderName::from_static("buckthornturn-peer-number");
/// Reason why a peer did not take a forwarded request, so that another one is asked. Only hosts set it.
const REFUSED_HEADER: HeaderName = HeaderName::from_static("buckthornturn-peer-refused");
/// Start and name of the target that said in an answer that it leaves.
const LEAVING_HEADER: HeaderName = HeaderName::from_static("buckthornturn-peer-leaving");
/// Reason of refusals of a host that reaches no target.
pub const UNREACHABLE_REASON: &str = "targets-unreachable";
/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the configuration by which another host checked a request.
pub const CONFIGURATION_WAIT: Duration = Duration::from_millis(300);
/// Largest number of peers that are tried for one request.
const MAX_PEERS_TRIED: usize = 4;

/// Forwards requests as callers sent them. The peer checks them again, takes the customer's token and chooses the target.
pub struct PeerForwarder {
    state: Arc<EntryState>,
    dialect: Arc<dyn CallerDialect>,
    pool: TargetPool,
    answers: Arc<AnswerBudget>,
}

/// Answer of a peer, or the refusal for a request that was sent to one and has no answer.
pub type ForwardResult = Result<Response<AnswerBody>, Refusal>;

impl PeerForwarder {
    /// Creates a forwarder that takes connections from `pool` and holds answers within `answers`.
    pub fn new(
        state: Arc<EntryState>,
        dialect: Arc<dyn CallerDialect>,
        pool: TargetPool,
        answers: Arc<AnswerBudget>,
    ) -> Self {
        Self { state, dialect, pool, answers }
    }

    /// Forwards a request to a peer and names the peer. `None` if no peer that reaches targets took it, so that it has not
    /// run.
    pub async fn forward(&self, request: &OutgoingRequest) -> Option<(HostId, ForwardResult)> {
        let mut tried: Vec<HostId> = Vec::new();
        while tried.len() < MAX_PEERS_TRIED && !request.facts.time_left().is_zero() {
            let upload = request.upload.take_whole()?;
            let peer = self.choose(request, &tried)?;
            if !tried.is_empty() && !request.upload.is_empty() {
                log_forwarded_body(request, &peer.host);
            }
            tried.push(peer.host.clone());
            let key = PoolKey { address: peer.callers, customer: None };
            let Some(connection) = self.connect(request, &key).await else { continue };
            let Some(result) = self.send(request, key, connection, upload).await else { continue };
            let answer = result.as_ref().ok();
            match answer.and_then(|answer| answer.headers().get(REFUSED_HEADER)) {
                None => {
                    let result = match result {
                        Ok(answer) => self.catch_up(request, &peer.host, answer).await,
                        failed => failed,
                    };
                    return Some((peer.host, result));
                }
                Some(reason) if reason == UNREACHABLE_REASON => {
                    self.state.lock().roster.record_lost_reach(&peer.host, Instant::now());
                }
                Some(_) => {}
            }
        }
        None
    }

    fn choose(&self, request: &OutgoingRequest, tried: &[HostId]) -> Option<HostHeartbeat> {
        let core = self.state.lock();
        let query = PeerQuery {
            region: &self.state.identity().region,
            allowed_regions: &request.facts.regions,
            excluded_hosts: tried,
            configuration: core.configuration_position(),
        };
        choose_peer(&query, core.roster.live_hosts(Instant::now()), &mut rand::rng()).cloned()
    }

    async fn connect(
        &self,
        request: &OutgoingRequest,
        key: &PoolKey,
    ) -> Option<TargetConnection<Idle>> {
        let idle = match request.facts.route.is_repeatable {
            true => self.pool.take_connection(key),
            false => None,
        };
        let timeout = CONNECT_TIMEOUT.min(request.facts.time_left());
        match idle {
            Some(connection) => Some(connection),
            None => self.pool.open_connection(key.address, timeout).await.ok(),
        }
    }

    /// Sends a request; `None` if no byte of it was written.
    async fn send(
        &self,
        request: &OutgoingRequest,
        key: PoolKey,
        connection: TargetConnection<Idle>,
        upload: WholeUpload,
    ) -> Option<ForwardResult> {
        let mut head = request.head.clone();
        self.dialect.set_time_left(&mut head.headers, request.facts.time_left());
        let position = self.state.lock().configuration_position();
        set_peer_position(&mut head.headers, &position);
        let http_request = Request::from_parts(head, upload);
        let deadline = request.facts.deadline().into();
        let failed = || Refusal::unknown(StatusCode::BAD_GATEWAY, "peer-failed");
        match tokio::time::timeout_at(deadline, connection.send(http_request)).await {
            Ok(Ok((response, connection))) => {
                let answer = self.receive(request, key, response, connection);
                let answer = tokio::time::timeout_at(deadline, answer).await;
                Some(answer.unwrap_or(None).ok_or_else(failed))
            }
            Ok(Err(SendError::Unsent(_))) => None,
            Ok(Err(SendError::Failed(_))) => Some(Err(failed())),
            Err(_) => Some(Err(Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "timeout"))),
        }
    }

    /// Learns from an answer that the peer has a later configuration than this host. A refusal by it is held back until this host
    /// has that as well, since the caller's next request would be checked against the earlier one.
    async fn catch_up(
        &self,
        request: &OutgoingRequest,
        peer: &HostId,
        mut answer: Response<AnswerBody>,
    ) -> ForwardResult {
        let is_refusal = is_refused_by_configuration(&answer);
        match take_peer_position(answer.headers_mut()) {
            Some(position) if self.state.record_peer_position(peer, position) && is_refusal => {
                let wait = CONFIGURATION_WAIT.min(request.facts.time_left());
                match self.state.wait_for_configuration(position, wait).await {
                    true => Ok(answer),
                    false => Err(behind_refusal()),
                }
            }
            _ => Ok(answer),
        }
    }

    /// Records that the target of the peer's answer leaves: this host passes the answer on, and may reach the target later.
    fn record_leaving(&self, headers: &mut HeaderMap) {
        let Some(report) = take_leaving(headers) else { return };
        let mut core = self.state.lock();
        core.board.record_leaving(&report.target, report.started_at, Instant::now());
    }

    /// Reads an answer, and keeps its connection for further requests; `None` if the answer is cut.
    async fn receive(
        &self,
        request: &OutgoingRequest,
        key: PoolKey,
        response: Response<Incoming>,
        connection: TargetConnection<Busy>,
    ) -> Option<Response<AnswerBody>> {
        let (mut parts, body) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        self.record_leaving(&mut parts.headers);
        let process = self.state.gate().budget();
        match buffer_body(body, &self.answers, process).await.ok()? {
            BufferedBody::Complete(held) => {
                if let Some(connection) = connection.release() {
                    self.pool.return_connection(key, connection, None);
                }
                Some(Response::from_parts(parts, held.into_answer()))
            }
            BufferedBody::Streamed(stream) => {
                let body = stream.receive(connection, request.upload.lease(), None);
                Some(Response::from_parts(parts, body.boxed_unsync()))
            }
        }
    }
}

/// Whether a peer refused a request because of its configuration, not for want of tokens or targets.
fn is_refused_by_configuration(answer: &Response<AnswerBody>) -> bool {
    let is_decided =
        answer.status().is_client_error() && answer.status() != StatusCode::TOO_MANY_REQUESTS;
    is_decided && is_not_run(answer.headers())
}

/// Refusal of a request that a configuration decides which this host does not have yet.
pub fn behind_refusal() -> Refusal {
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "configuration-behind")
        .retry_after(CONFIGURATION_WAIT)
}

/// Marks an answer as the refusal of a host that does not take a forwarded request.
pub fn mark_refused(headers: &mut HeaderMap, reason: &'static str) {
    headers.insert(REFUSED_HEADER, HeaderValue::from_static(reason));
}

/// Removes the headers that only hosts set from an answer of a target. For an answer that goes to another host, `leaving` is
/// the target if it said in the answer that it leaves; the answer then names it.
pub fn set_peer_marks(headers: &mut HeaderMap, leaving: Option<&PlacementChoice>) {
    headers.remove(REFUSED_HEADER);
    headers.remove(LEAVING_HEADER);
    let text = leaving.map(|choice| format!("{} {}", choice.started_at, choice.target));
    if let Some(Ok(value)) = text.as_deref().map(HeaderValue::from_str) {
        headers.insert(LEAVING_HEADER, value);
    }
}

/// Removes the name of a leaving target from a peer's answer, and returns the process that it names.
fn take_leaving(headers: &mut HeaderMap) -> Option<LeavingReport> {
    let value = headers.remove(LEAVING_HEADER)?;
    let (started_at, target) = value.to_str().ok()?.split_once(' ')?;
    Some(LeavingReport { target: target.into(), started_at: started_at.parse().ok()? })
}

/// Names a place of a configuration: the one that a forwarded request was checked against, or the one of the host that answers.
pub fn set_peer_position(headers: &mut HeaderMap, position: &ConfigurationPosition) {
    let StateVersion { era, revision } = position.stored_at;
    headers.insert(REVISION_HEADER, HeaderValue::from(revision));
    headers.insert(ERA_HEADER, HeaderValue::from(era));
    headers.insert(NUMBER_HEADER, HeaderValue::from(position.number));
}

/// Removes the headers by which a peer names the place of its configuration, and returns it. Hosts of an earlier version name
/// the revision only, and none in answers.
pub fn take_peer_position(headers: &mut HeaderMap) -> Option<ConfigurationPosition> {
    let mut take_number =
        |name: HeaderName| headers.remove(name)?.to_str().ok()?.parse::<u64>().ok();
    let revision = take_number(REVISION_HEADER);
    let era = take_number(ERA_HEADER).unwrap_or(0);
    let number = take_number(NUMBER_HEADER).unwrap_or(0);
    let stored_at = StateVersion { era, revision: revision? };
    Some(ConfigurationPosition { stored_at, number })
}
