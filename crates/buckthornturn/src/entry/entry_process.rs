//! An entry host on a platform: its listeners and background tasks.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use coordination::admission_bounds::ConnectionRole;
use coordination::fleet::RequestFingerprint;
use coordination::pipeline_window::PipelineBounds;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use snafu::ResultExt;
use spdlog::info;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::callers::ConnectionServer;
use crate::callers::HeadLimits;
use crate::callers::IndependenceCheck;
use crate::callers::ServerPhase;
use crate::callers::TargetPool;
use crate::entry::CatchUpReader;
use crate::entry::CrashArchivist;
use crate::entry::CrashReporter;
use crate::entry::EntryState;
use crate::entry::GossipLoop;
use crate::entry::MeshClient;
use crate::entry::PeerReader;
use crate::entry::ProxyService;
use crate::entry::StateFollower;
use crate::entry::answer_peer;
use crate::entry::look_up_ttl;
use crate::entry::peer_reader::status_response;
use crate::entry::select_hosts;
use crate::entry::shutdown_time::open_time;
use crate::entry::try_lost_targets;
use crate::host_process::HostError;
use crate::host_process::ListenSnafu;
use crate::host_process::listen;
use crate::interface::CallerDialect;
use crate::interface::CrashArchive;
use crate::interface::StatePart;
use crate::interface::StateSource;
use crate::interface::StreamDialer;
use crate::listener::ListenerGate;
use crate::listener::serve;
use crate::membership::HostIdentity;
use crate::settings::CallerBounds;
use crate::settings::EntrySettings;

/// Margin before the platform kills the process by which the process exits on its own.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Part of the usable shutdown time in which finished answers reach callers that wait for a slower one of their connection.
const ENDING_DIVISOR: u32 = 20;
/// Idle timeout of callers' connections, longer than the one that any configuration sets.
const CALLER_IDLE_MS: u64 = 60_000;
/// Largest number of concurrent caller connections where the settings state no descriptors.
const MAX_CALLER_CONNECTIONS: usize = 3_000;

/// Size of finished answers that wait for earlier ones on their connection, from which on no further request of it starts early.
/// With the last answers started this bounds a connection to about three answers of the largest size that is buffered.
const MAX_HELD_ANSWER_BYTES: u64 = 512 << 10;

/// Head that every configuration allows.
const MIN_HEAD_BYTES: usize = 16 << 10;
/// Largest head whatever the configuration states, as each connection may hold one.
const MAX_HEAD_BYTES: usize = 1 << 20;
/// Added to the configured size, which may count the headers only.
const REQUEST_LINE_BYTES: usize = 2 << 10;
/// Largest number of headers of a request. The HTTP library reserves about 64 bytes for each of them while it reads a head.
const MAX_HEADERS: usize = 512;

const METRICS_PATH: &str = "/metrics";

/// Adapters to the platform that an entry host runs on.
pub struct HostPlatform {
    /// Store from which the host reads and watches configuration, targets and closed failure domains.
    pub source: Arc<dyn StateSource>,
    /// Header, path and body formats of callers and targets.
    pub dialect: Arc<dyn CallerDialect>,
    /// Place outside the hosts where refused requests are kept.
    pub archive: Arc<dyn CrashArchive>,
    /// Opens the connections to targets and other hosts.
    pub dialer: Arc<dyn StreamDialer>,
}

/// A running entry host. Dropping it aborts its background tasks; [`shutdown`](Self::shutdown) ends it in order.
pub struct EntryProcess {
    state: Arc<EntryState>,
    phase: watch::Sender<ServerPhase>,
    callers: JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl EntryProcess {
    /// Opens the listeners and starts serving.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be opened.
    pub async fn start(settings: EntrySettings, platform: HostPlatform) -> Result<Self, HostError> {
        let (callers_listener, callers) = listen("callers", settings.listeners.callers).await?;
        let (mesh_listener, mesh) = listen("mesh", settings.listeners.mesh).await?;
        let socket = UdpSocket::bind(mesh)
            .await
            .context(ListenSnafu { role: "heartbeats", address: mesh })?;
        let (look_ups, _) = listen("look-ups", settings.listeners.look_ups).await?;
        let (readiness, _) = listen("readiness", settings.listeners.readiness).await?;
        let identity = HostIdentity {
            host: settings.host.clone(),
            incarnation: rand::random(),
            failure_domain: settings.failure_domain.clone(),
            region: settings.region.clone(),
            caller_address: callers,
            mesh_address: mesh,
        };
        let seeds = settings.seeds.clone();
        let state = EntryState::new(identity, settings);
        let dialer = Arc::clone(&platform.dialer);
        let mut tasks = JoinSet::new();
        spawn_followers(&mut tasks, &state, &platform);
        let (archivist, archive_queue) =
            CrashArchivist::new(Arc::clone(&state), Arc::clone(&platform.archive));
        tasks.spawn(archivist.run());
        let (client, reporter) =
            spawn_gossip(&mut tasks, &state, Arc::new(socket), seeds, archive_queue);
        tasks.spawn(serve_mesh(mesh_listener, Arc::clone(&state)));
        tasks.spawn(serve_look_ups(look_ups, Arc::clone(&state), Arc::clone(&platform.dialect)));
        tasks.spawn(serve_readiness(readiness, Arc::clone(&state), Arc::clone(&platform.dialect)));
        if let Some(address) = state.settings().listeners.metrics {
            let (metrics, _) = listen("metrics", address).await?;
            tasks.spawn(serve_metrics(metrics, Arc::clone(&state)));
        }
        let phase = watch::Sender::new(ServerPhase::Serving);
        let pool = TargetPool::new(dialer).with_gate(Arc::clone(state.gate()));
        tasks.spawn(try_lost_targets(Arc::clone(&state), pool.clone()));
        let proxy = ProxyService::new(Arc::clone(&state), platform.dialect, pool, client, reporter);
        let callers = serve_callers(callers_listener, &state, proxy, phase.subscribe());
        info!("host started", kv: {
            host: = state.identity().host,
            incarnation = state.identity().incarnation,
            callers: = state.identity().caller_address,
            mesh:
        });
        Ok(Self { state, phase, callers, tasks })
    }

    /// State of the host, shared with its tasks.
    pub fn state(&self) -> &Arc<EntryState> {
        &self.state
    }

    /// Withdraws the host from look-ups, accepts requests while callers still learn of that, and ends once all running
    /// requests are answered or the shutdown time is up. Returns whether all of them were answered.
    pub async fn shutdown(self) -> bool {
        let grace = self.state.bounds().shutdown_timeout();
        let usable = grace.saturating_sub(KILL_MARGIN);
        let end = Instant::now() + usable;
        info!("host leaves", kv: { host: = self.state.identity().host, grace_ms = grace.as_millis() as u64 });
        self.state.start_leaving();
        self.phase.send_replace(ServerPhase::Leaving);
        tokio::time::sleep(open_time(usable, look_up_ttl(&self.state))).await;
        self.phase.send_replace(ServerPhase::Closing);
        let mut callers = self.callers;
        let ending = end - usable / ENDING_DIVISOR;
        let is_complete = match tokio::time::timeout_at(ending.into(), &mut callers).await {
            Ok(_) => true,
            Err(_) => {
                self.phase.send_replace(ServerPhase::Ending);
                tokio::time::timeout_at(end.into(), callers).await.is_ok()
            }
        };
        match is_complete {
            true => info!("host ended", kv: { host: = self.state.identity().host }),
            false => {
                warn!("requests cut at the end", kv: { host: = self.state.identity().host })
            }
        }
        let mut tasks = self.tasks;
        tasks.shutdown().await;
        is_complete
    }
}

fn spawn_followers(tasks: &mut JoinSet<()>, state: &Arc<EntryState>, platform: &HostPlatform) {
    for part in StatePart::ALL {
        let peers = PeerReader::new(Arc::clone(&platform.dialer));
        let source = Arc::clone(&platform.source);
        tasks.spawn(StateFollower::new(Arc::clone(state), source, peers, part).run());
    }
    let peers = PeerReader::new(Arc::clone(&platform.dialer));
    tasks.spawn(CatchUpReader::new(Arc::clone(state), peers).run());
}

/// Starts the exchange of datagrams, and returns the parts that send some themselves.
fn spawn_gossip(
    tasks: &mut JoinSet<()>,
    state: &Arc<EntryState>,
    socket: Arc<UdpSocket>,
    seeds: Vec<SocketAddr>,
    archive_queue: mpsc::Sender<RequestFingerprint>,
) -> (Arc<MeshClient>, Arc<CrashReporter>) {
    let client = Arc::new(MeshClient::new(Arc::clone(&socket)));
    let reporter = CrashReporter::new(
        Arc::clone(state),
        Arc::clone(&socket),
        Arc::clone(&client),
        archive_queue,
    );
    let reporter = Arc::new(reporter);
    let (gossip_client, gossip_reporter) = (Arc::clone(&client), Arc::clone(&reporter));
    let gossip = GossipLoop::new(Arc::clone(state), socket, gossip_client, gossip_reporter, seeds);
    tasks.spawn(gossip.run());
    (client, reporter)
}

fn serve_callers(
    listener: TcpListener,
    state: &EntryState,
    proxy: ProxyService,
    phase: watch::Receiver<ServerPhase>,
) -> JoinHandle<()> {
    let admission = state.gate().budget().bounds();
    let max_connections = match state.settings().max_descriptors {
        Some(_) => admission.connections + admission.closing,
        None => MAX_CALLER_CONNECTIONS,
    };
    let bounds = CallerBounds {
        head_timeout_ms: CALLER_IDLE_MS,
        max_connections,
        max_headers: MAX_HEADERS,
        ..CallerBounds::default()
    };
    let proxy = Arc::new(proxy);
    let pipelining = PipelineBounds {
        max_side_by_side: proxy.side_by_side_requests(),
        max_held_bytes: MAX_HELD_ANSWER_BYTES,
    };
    let check = Arc::clone(&proxy);
    let check: IndependenceCheck = Arc::new(move |request| check.is_independent(request));
    let limits = Arc::clone(&proxy);
    let server = ConnectionServer::new(listener, bounds, phase)
        .with_pipelining(pipelining, check)
        .with_head_limits(Arc::new(move || head_limits(&limits)))
        .with_gate(Some(Arc::clone(state.gate())));
    tokio::spawn(server.run(move |request, peer| {
        let proxy = Arc::clone(&proxy);
        async move { proxy.serve(request, peer).await }
    }))
}

/// Limits on heads by the configuration in force. Those that are below the host's own do not apply.
fn head_limits(proxy: &ProxyService) -> HeadLimits {
    let limits = proxy.limits();
    let configured = limits.as_ref().map_or(0, |limits| limits.max_head_bytes);
    let configured = usize::try_from(configured).unwrap_or(usize::MAX);
    let timeout = limits.map_or(Duration::ZERO, |limits| limits.head_timeout);
    HeadLimits {
        max_bytes: configured
            .saturating_add(REQUEST_LINE_BYTES)
            .clamp(MIN_HEAD_BYTES, MAX_HEAD_BYTES),
        timeout: timeout.max(Duration::from_millis(CALLER_IDLE_MS)),
    }
}

fn serve_mesh(listener: TcpListener, state: Arc<EntryState>) -> impl Future<Output = ()> {
    let gate = ListenerGate::new(state.gate(), ConnectionRole::Mesh);
    serve(listener, None, Some(gate), move |request: Request<Incoming>, _peer| {
        let state = Arc::clone(&state);
        async move { answer_peer(&state, request.uri().path(), request.uri().query()).await }
    })
}

fn serve_readiness(
    listener: TcpListener,
    state: Arc<EntryState>,
    dialect: Arc<dyn CallerDialect>,
) -> impl Future<Output = ()> {
    let gate = ListenerGate::new(state.gate(), ConnectionRole::Readiness);
    serve(listener, None, Some(gate), move |request: Request<Incoming>, _peer: SocketAddr| {
        let status = match dialect.is_readiness_path(request.uri().path()) {
            true if state.is_ready() => StatusCode::OK,
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::NOT_FOUND,
        };
        async move { status_response(status, Bytes::new()) }
    })
}

fn serve_metrics(listener: TcpListener, state: Arc<EntryState>) -> impl Future<Output = ()> {
    let gate = ListenerGate::new(state.gate(), ConnectionRole::Metrics);
    serve(listener, None, Some(gate), move |request: Request<Incoming>, _peer: SocketAddr| {
        let answer = match (request.uri().path(), state.metrics().encode_text(&state)) {
            (METRICS_PATH, Ok(text)) => status_response(StatusCode::OK, text.into()),
            (METRICS_PATH, Err(error)) => {
                status_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into())
            }
            _ => status_response(StatusCode::NOT_FOUND, Bytes::new()),
        };
        async move { answer }
    })
}

fn serve_look_ups(
    listener: TcpListener,
    state: Arc<EntryState>,
    dialect: Arc<dyn CallerDialect>,
) -> impl Future<Output = ()> {
    let gate = ListenerGate::new(state.gate(), ConnectionRole::LookUp);
    serve(listener, None, Some(gate), move |request: Request<Incoming>, _peer: SocketAddr| {
        let answer = look_up(&state, &*dialect, &request);
        async move { answer }
    })
}

fn look_up(
    state: &EntryState,
    dialect: &dyn CallerDialect,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let Some(ask) = dialect.parse_look_up(request.uri()) else {
        return status_response(StatusCode::NOT_FOUND, Bytes::new());
    };
    let hosts = select_hosts(state, &ask);
    if hosts.is_empty() {
        warn!("no entry host available for a look-up", kv: { region: = ask.region, failure_domain: = ask.failure_domain });
        return status_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let mut response =
        status_response(StatusCode::OK, dialect.encode_look_up_answer(&hosts, look_up_ttl(state)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
