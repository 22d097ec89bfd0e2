//! One entry host: its listeners and the parts behind them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use snafu::Snafu;
use spdlog::info;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_rustls::TlsAcceptor;

use crate::callers::GracefulServer;
use crate::callers::ServerPhase;
use crate::configuration::ConfigurationCell;
use crate::host_startup::caller_service;
use crate::host_startup::host_identity;
use crate::host_startup::operator_service;
use crate::host_startup::own_host;
use crate::host_startup::start_gate;
use crate::host_startup::start_steering;
use crate::interface::StreamDialer;
use crate::interface::TcpDialer;
use crate::listener::serve;
use crate::mesh::MeshCounters;
use crate::mesh::MeshThread;
use crate::mesh::PeerRegistry;
use crate::mesh::RequestKind;
use crate::operators::OperatorService;
use crate::settings::HostSettings;
use crate::shared_state::SharedState;
use crate::store::HttpStore;
use crate::tls::HostTls;
use crate::tls::TlsError;

/// Why a host could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HostError {
    /// A listener could not be opened.
    #[snafu(display("cannot listen for {role} on {address}"))]
    Listen {
        /// Who the listener is for.
        role: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A certificate or key cannot be used.
    #[snafu(display("cannot set up TLS: {source}"))]
    OpenTls {
        /// Cause.
        source: TlsError,
    },
    /// The mesh could not be started.
    #[snafu(display("cannot start the mesh"))]
    StartMesh {
        /// Cause.
        source: io::Error,
    },
}

/// A running host. Dropping it ends all of its tasks.
pub struct HostProcess {
    callers: SocketAddr,
    operators: SocketAddr,
    mesh: MeshThread,
    state: SharedState,
    tasks: JoinSet<()>,
    server: GracefulServer,
}

impl HostProcess {
    /// Opens the listeners and starts serving.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be opened.
    pub async fn start(settings: HostSettings) -> Result<Self, HostError> {
        Self::start_with_dialer(settings, TcpDialer::shared()).await
    }

    /// Starts a host whose connections are all opened by a dialer.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be opened.
    pub async fn start_with_dialer(
        settings: HostSettings,
        dialer: Arc<dyn StreamDialer>,
    ) -> Result<Self, HostError> {
        let tls = HostTls::open(&settings.tls).context(OpenTlsSnafu)?;
        let (caller_listener, callers) = listen("callers", settings.listeners.callers).await?;
        let (operator_listener, operators) =
            listen("operators", settings.listeners.operators).await?;
        let (mesh_listener, _) = listen("mesh", settings.listeners.mesh).await?;
        let registry = PeerRegistry::default();
        let mesh = MeshThread::start_with_dialer(
            settings.host.clone(),
            mesh_listener,
            registry.clone(),
            Arc::clone(&dialer),
            tls.mesh.clone(),
        )
        .context(StartMeshSnafu)?;
        let own = own_host(&settings);
        let identity = host_identity(&own, callers, mesh.address());
        let store =
            HttpStore::new(settings.host.clone(), &settings.store).with_dialer(Arc::clone(&dialer));
        let mut tasks = JoinSet::new();
        let (seeds, cell) = (settings.seeds.clone(), ConfigurationCell::new());
        let state = SharedState::start(identity, seeds, cell, &store, &mesh, &registry, &mut tasks);
        let steering = start_steering(&own, callers, &state, Arc::clone(&dialer), &mut tasks);
        let gate = start_gate(own.clone(), &state, &steering, &registry, &mut tasks);
        let service = caller_service(&settings, &own, &state, &steering, Arc::clone(&gate), dialer);
        registry.register(&[RequestKind::KeepOutcomes], Arc::clone(service.tickets()) as _);
        let operator_service =
            Arc::new(operator_service(own.host, settings.operators, &state, gate));
        tasks.spawn(service.active().clone().watch_configuration(state.configuration.clone()));
        tasks.spawn(service.claims().clone().sweep_expired());
        let server = GracefulServer::start(
            caller_listener,
            Arc::clone(&service),
            Arc::new(state.peers.clone()),
            settings.host.clone(),
            settings.caller_bounds,
            tls.callers.clone(),
        );
        tasks.spawn(serve_operators(operator_listener, tls.operators.clone(), operator_service));
        if tls.has_certificates() {
            tasks.spawn(tls.reload_certificates());
        }
        info!("host started", kv: { host: = settings.host, callers:, operators: });
        Ok(Self { callers, operators, mesh, state, tasks, server })
    }

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// Address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators
    }

    /// Address for other hosts.
    pub fn mesh_address(&self) -> SocketAddr {
        self.mesh.address()
    }

    /// Parts that know what is in force and who is here.
    pub fn state(&self) -> &SharedState {
        &self.state
    }

    /// Counts of messages and bytes between hosts.
    pub fn mesh_counters(&self) -> Arc<MeshCounters> {
        self.mesh.counters()
    }

    /// Whether this host has begun to leave; others must be told and look-ups must not name it first.
    pub fn server_phase(&self) -> watch::Receiver<ServerPhase> {
        self.server.phase()
    }

    /// Leaves look-ups, takes no new connections, finishes what runs within `limit`, hands outcomes over and
    /// ends all tasks. Returns whether everything that ran was finished.
    pub async fn shutdown_gracefully(self, limit: Duration) -> bool {
        let Self { server, mut tasks, mesh, state, .. } = self;
        state.status.set_leaving();
        let is_finished = server.shut_down(limit).await;
        tasks.shutdown().await;
        drop(mesh);
        is_finished
    }

    /// Ends all tasks.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

pub(crate) async fn listen(
    role: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), HostError> {
    let listener = TcpListener::bind(address).await.context(ListenSnafu { role, address })?;
    let bound = listener.local_addr().context(ListenSnafu { role, address })?;
    Ok((listener, bound))
}

async fn serve_operators(
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    service: Arc<OperatorService>,
) {
    let handler = move |request, _peer| {
        let service = Arc::clone(&service);
        async move { service.serve(request).await }
    };
    serve(listener, tls, handler).await;
}
