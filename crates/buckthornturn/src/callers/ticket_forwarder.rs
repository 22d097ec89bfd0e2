//! Forwards requests to the host that issued their ticket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::HostId;
use coordination::ticket::TicketClaims;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header;
use http::request::Parts;
use sha2::Digest;
use sha2::Sha256;
use spdlog::info;
use tokio::sync::Semaphore;

use crate::callers::ActiveGuard;
use crate::callers::AnswerResources;
use crate::callers::AnswerStream;
use crate::callers::Idle;
use crate::callers::Refusal;
use crate::callers::ReplayableUpload;
use crate::callers::RequestPlan;
use crate::callers::TargetAnswer;
use crate::callers::TargetConnection;
use crate::callers::header_filter::remove_hop_by_hop;
use crate::interface::MemberHealth;
use crate::interface::MemberView;
use crate::interface::PeerCaller;
use crate::interface::StreamDialer;

/// Header with the name of the host that forwarded a request; a request with this header is not forwarded again.
pub const FORWARDED_HEADER: &str = "buckthornturn-forwarded";

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const ISSUER_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time beyond its deadline that a forwarded request may take before its outcome counts as lost.
const ANSWER_GRACE_TIME: Duration = Duration::from_secs(2);
/// Largest number of hosts that keep the outcomes of a host that shuts down.
pub const MAX_OUTCOME_KEEPERS: usize = 2;

/// Forwards requests to the host that issued their ticket, or to the hosts that took over its outcomes.
pub struct TicketForwarder {
    own_host: HostId,
    peers: Arc<dyn PeerCaller>,
    forward_permits: Semaphore,
    dialer: Arc<dyn StreamDialer>,
}

/// Request that is to be forwarded to another host.
pub struct ForwardJob {
    /// Checked properties of the request, such as route and deadline.
    pub plan: RequestPlan,
    /// Head of the request as received from the caller.
    pub head: Parts,
    /// Body of the request, which is streamed to the other host.
    pub upload: Arc<ReplayableUpload>,
    /// Registration of the request, whose token is cancelled when the caller's permission is withdrawn.
    pub active: Arc<ActiveGuard>,
}

/// Where the outcome of a ticket can be asked for.
enum IssuerLocation {
    /// Addresses of the issuer, or of the hosts that keep its outcomes.
    Hosts(Vec<SocketAddr>),
    /// The issuer may be running, but its address is unknown.
    Unreachable,
    /// The issuer has ended, and no host that keeps its outcomes is known.
    Gone,
}

impl TicketForwarder {
    /// Creates a forwarder that waits for the answers of at most `max_forwards` requests at once.
    pub fn new(
        own_host: HostId,
        peers: Arc<dyn PeerCaller>,
        max_forwards: usize,
        dialer: Arc<dyn StreamDialer>,
    ) -> Self {
        Self { own_host, peers, forward_permits: Semaphore::new(max_forwards), dialer }
    }

    /// Forwards a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns a refusal with unknown outcome: this host has not run the request, but the issuer may have.
    pub async fn forward(
        &self,
        job: ForwardJob,
        claims: &TicketClaims,
    ) -> Result<TargetAnswer, Refusal> {
        if job.head.headers.contains_key(FORWARDED_HEADER) {
            return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, "ticket-misrouted"));
        }
        let Ok(_permit) = self.forward_permits.try_acquire() else {
            let refusal = Refusal::unknown(StatusCode::SERVICE_UNAVAILABLE, "forwards-full");
            return Err(refusal.retry_after(ISSUER_RETRY_AFTER));
        };
        let addresses = match issuer_location(&self.peers.members(), &self.own_host, claims) {
            IssuerLocation::Hosts(addresses) => addresses,
            IssuerLocation::Gone => return Err(issuer_gone()),
            IssuerLocation::Unreachable => return Err(issuer_unreachable()),
        };
        info!("request passed on to the issuer of its ticket", kv: {
            request_id: = job.plan.request_id, issuer: = claims.host
        });
        for address in addresses {
            match TargetConnection::open(&*self.dialer, address, CONNECT_TIMEOUT, || {}).await {
                Ok(connection) => return self.exchange(job, connection).await,
                Err(_) => continue,
            }
        }
        Err(issuer_unreachable())
    }

    async fn exchange(
        &self,
        job: ForwardJob,
        connection: TargetConnection<Idle>,
    ) -> Result<TargetAnswer, Refusal> {
        let ForwardJob { plan, mut head, upload, active } = job;
        remove_hop_by_hop(&mut head.headers);
        head.extensions.clear();
        head.version = Version::HTTP_11;
        if let Ok(host) = HeaderValue::from_str(&plan.permission.host) {
            head.headers.insert(header::HOST, host);
        }
        if let Ok(value) = HeaderValue::from_str(&self.own_host) {
            head.headers.insert(FORWARDED_HEADER, value);
        }
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).parse();
        head.uri = path.unwrap_or_default();
        let lost = || Refusal::unknown(StatusCode::BAD_GATEWAY, "issuer-lost");
        let request = Request::from_parts(head, upload.take_whole().ok_or_else(lost)?);
        let answer_overdue = async {
            loop {
                let counted_from = upload.finished_at().unwrap_or_else(Instant::now);
                let due_at = plan.deadline().max(counted_from + plan.timeout) + ANSWER_GRACE_TIME;
                if Instant::now() >= due_at {
                    return;
                }
                tokio::time::sleep_until(due_at.into()).await;
            }
        };
        let (response, connection) = tokio::select! {
            answer = connection.send(request) => answer.map_err(|_| lost())?,
            () = answer_overdue => return Err(lost()),
            () = active.token().cancelled() => return Err(lost()),
        };
        let (mut parts, body) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        let resources = AnswerResources {
            stage: None,
            connection,
            return_to: None,
            active,
            upload: upload.clone(),
        };
        Ok(Response::from_parts(parts, AnswerStream::new(body, resources)))
    }
}

/// Finds the hosts that may know the outcome of a ticket. An issuer that is not among the members counts as
/// unreachable, not as gone, because it may be running all the same.
fn issuer_location(members: &MemberView, own_host: &str, claims: &TicketClaims) -> IssuerLocation {
    let Some(issuer) = members.member(&claims.host) else { return IssuerLocation::Unreachable };
    let is_gone = issuer.incarnation > claims.incarnation || issuer.health == MemberHealth::Gone;
    if !is_gone {
        return match issuer.callers {
            Some(address) => IssuerLocation::Hosts(vec![address]),
            None => IssuerLocation::Unreachable,
        };
    }
    let keepers = outcome_keepers(members, &claims.host, own_host);
    let addresses: Vec<_> = keepers.into_iter().filter_map(|(_, address)| address).collect();
    match addresses.is_empty() {
        true => IssuerLocation::Gone,
        false => IssuerLocation::Hosts(addresses),
    }
}

/// Hosts other than `own_host` that keep the outcomes of the host `leaving`, chosen by rendezvous hashing among the
/// live members, with their addresses for callers.
pub fn outcome_keepers(
    members: &MemberView,
    leaving: &str,
    own_host: &str,
) -> Vec<(HostId, Option<SocketAddr>)> {
    let mut ranked: Vec<_> = members
        .members
        .iter()
        .filter(|member| member.health == MemberHealth::Live && &*member.host != leaving)
        .map(|member| (Sha256::digest(format!("{leaving}\0{}", member.host)), member))
        .collect();
    ranked.sort_by_key(|entry| entry.0);
    ranked
        .into_iter()
        .take(MAX_OUTCOME_KEEPERS)
        .filter(|(_, member)| &*member.host != own_host)
        .map(|(_, member)| (member.host.clone(), member.callers))
        .collect()
}

fn issuer_gone() -> Refusal {
    Refusal::unknown(StatusCode::BAD_GATEWAY, "issuer-gone")
}

fn issuer_unreachable() -> Refusal {
    Refusal::unknown(StatusCode::SERVICE_UNAVAILABLE, "issuer-unreachable")
        .retry_after(ISSUER_RETRY_AFTER)
}
