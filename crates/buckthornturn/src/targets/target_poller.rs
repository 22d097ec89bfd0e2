//! Polls targets for their health and load reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use coordination::ids::DomainId;
use coordination::ids::HostId;
use coordination::ids::TargetId;
use coordination::placement::TargetReport;
use futures::StreamExt;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use kameo::Actor;
use kameo::actor::Spawn;
use kameo::message::Context;
use kameo::message::Message;
use rand::RngExt;
use snafu::ResultExt;
use snafu::Snafu;
use spdlog::debug;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

use crate::configuration::ConfigurationCell;
use crate::interface::PeerCaller;
use crate::interface::PlanCell;
use crate::interface::StreamDialer;
use crate::interface::TcpDialer;
use crate::sockets::IdleSocket;
use crate::sockets::OutgoingStream;
use crate::steering::TargetSteering;
use crate::targets::PollAssignment;
use crate::targets::report_body::MAX_REPORT_BYTES;
use crate::targets::report_body::ReportBody;

const POLL_INTERVAL: Duration = Duration::from_secs(1);
const POLL_TIMEOUT: Duration = Duration::from_millis(800);
const MAX_POLLS_AT_ONCE: usize = 16;
/// Lower bound of the random factor on `POLL_INTERVAL`; the upper bound is 1.
const MIN_INTERVAL_FACTOR: f64 = 0.8;

/// Polls the targets of this host's failure domain that are assigned to it, once for each `PollTargets` message, over
/// kept-alive connections, and passes the reports to steering.
#[derive(Actor)]
pub struct TargetPoller {
    host: HostId,
    domain: DomainId,
    configuration: ConfigurationCell,
    plans: PlanCell,
    peers: Arc<dyn PeerCaller>,
    steering: Arc<TargetSteering>,
    dialer: Arc<dyn StreamDialer>,
    connections: IndexMap<TargetId, PollConnection>,
}

/// Polls each assigned target once; replies when all have answered or timed out.
pub struct PollTargets;

#[derive(Debug, Snafu)]
enum PollError {
    #[snafu(display("cannot connect to the target: {source}"))]
    Connect { source: std::io::Error },
    #[snafu(display("HTTP exchange failed: {source}"))]
    Exchange { source: hyper::Error },
    #[snafu(display("the target answered with status {status}"))]
    Refused { status: StatusCode },
    #[snafu(display("cannot read the report: {reason}"))]
    Unreadable { reason: Box<str> },
    #[snafu(display("the poll timed out"))]
    TimedOut,
}

struct PollConnection {
    address: SocketAddr,
    sender: http1::SendRequest<Empty<Bytes>>,
    task: AbortOnDropHandle<()>,
    socket: IdleSocket,
}

struct PolledTarget {
    name: TargetId,
    address: SocketAddr,
    path: Box<str>,
    slots: u32,
}

impl TargetPoller {
    /// Creates a poller that dials over TCP.
    pub fn new(
        host: HostId,
        domain: DomainId,
        configuration: ConfigurationCell,
        plans: PlanCell,
        peers: Arc<dyn PeerCaller>,
        steering: Arc<TargetSteering>,
    ) -> Self {
        let dialer = TcpDialer::shared();
        let connections = IndexMap::new();
        Self { host, domain, configuration, plans, peers, steering, dialer, connections }
    }

    /// Replaces the dialer that opens connections to targets.
    pub fn with_dialer(mut self, dialer: Arc<dyn StreamDialer>) -> Self {
        self.dialer = dialer;
        self
    }

    /// Spawns a task that polls at a jittered `POLL_INTERVAL` until it is aborted.
    pub fn spawn_polling(self, tasks: &mut JoinSet<()>) {
        tasks.spawn(async move {
            let poller = Self::spawn(self);
            loop {
                let factor: f64 = rand::rng().random_range(MIN_INTERVAL_FACTOR..1.0);
                tokio::time::sleep(POLL_INTERVAL.mul_f64(factor)).await;
                if poller.ask(PollTargets).await.is_err() {
                    return;
                }
            }
        });
    }

    /// Targets of the own failure domain that are assigned to this host.
    fn assigned_targets(&self) -> Vec<PolledTarget> {
        let state = self.configuration.load();
        let members = self.peers.members();
        let plans = self.plans.load();
        let plan = plans.get(&self.domain);
        let assignment = PollAssignment::new(&self.domain, &members, plan);
        let domain_targets =
            state.targets.values().filter(|target| target.failure_domain == self.domain);
        domain_targets
            .filter(|target| assignment.pollers(&target.name).contains(&self.host))
            .map(|target| PolledTarget {
                name: target.name.clone(),
                address: target.address,
                path: target.health_path.clone(),
                slots: target.slots,
            })
            .collect()
    }

    async fn poll_assigned_targets(&mut self) {
        let targets = self.assigned_targets();
        self.connections.retain(|name, _| targets.iter().any(|target| target.name == *name));
        let targets: Vec<_> = targets
            .into_iter()
            .map(|target| {
                let connection = self.connections.swap_remove(&target.name);
                (connection.filter(|known| known.address == target.address), target)
            })
            .collect();
        let dialer = Arc::clone(&self.dialer);
        let polls = targets
            .into_iter()
            .map(|(connection, target)| poll_target(connection, target, &*dialer));
        let mut results = futures::stream::iter(polls).buffer_unordered(MAX_POLLS_AT_ONCE);
        while let Some((target, result)) = results.next().await {
            match result {
                Ok((connection, report)) => {
                    self.steering.record_report(&target.name, report);
                    self.connections.insert(target.name, connection);
                }
                Err(error) => {
                    debug!("target poll failed", kv: { target: = target.name, reason: = error });
                }
            }
        }
    }
}

impl Message<PollTargets> for TargetPoller {
    type Reply = ();

    async fn handle(&mut self, _message: PollTargets, _context: &mut Context<Self, ()>) {
        self.poll_assigned_targets().await;
    }
}

type PollResult = Result<(PollConnection, TargetReport), PollError>;

async fn poll_target(
    connection: Option<PollConnection>,
    target: PolledTarget,
    dialer: &dyn StreamDialer,
) -> (PolledTarget, PollResult) {
    let fetched = fetch_report(connection, &target, dialer);
    let result = match tokio::time::timeout(POLL_TIMEOUT, fetched).await {
        Ok(result) => result,
        Err(_) => TimedOutSnafu.fail(),
    };
    (target, result)
}

async fn fetch_report(
    connection: Option<PollConnection>,
    target: &PolledTarget,
    dialer: &dyn StreamDialer,
) -> PollResult {
    let connection = match connection {
        Some(known) if !known.sender.is_closed() => known,
        _ => connect(target.address, dialer).await?,
    };
    let PollConnection { address, mut sender, task, socket } = connection;
    let socket = socket.begin_request();
    sender.ready().await.context(ExchangeSnafu)?;
    let request = Request::get(&*target.path)
        .header(header::HOST, target.address.to_string())
        .body(Empty::new())
        .map_err(|error| PollError::Unreadable { reason: error.to_string().into() })?;
    let at = Instant::now();
    let response = sender.send_request(request).await.context(ExchangeSnafu)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES).collect().await;
    let unreadable = |reason: String| PollError::Unreadable { reason: reason.into() };
    let bytes = body.map_err(|error| unreadable(error.to_string()))?.to_bytes();
    if !status.is_success() && status != StatusCode::SERVICE_UNAVAILABLE {
        return RefusedSnafu { status }.fail();
    }
    let body: ReportBody =
        serde_json::from_slice(&bytes).map_err(|error| unreadable(error.to_string()))?;
    let report = TargetReport {
        requested_at: at,
        is_healthy: body.healthy && status.is_success(),
        is_draining: body.draining,
        in_flight: body.in_flight,
        slots: body.slots.unwrap_or(target.slots),
    };
    let socket = socket.finish_request();
    Ok((PollConnection { address, sender, task, socket }, report))
}

async fn connect(
    address: SocketAddr,
    dialer: &dyn StreamDialer,
) -> Result<PollConnection, PollError> {
    let stream = dialer.dial(address).await.context(ConnectSnafu)?;
    let (stream, socket) = OutgoingStream::new(stream);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.context(ExchangeSnafu)?;
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(PollConnection { address, sender, task: AbortOnDropHandle::new(task), socket })
}
