//! Entry host process: its listeners and the components behind them.

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

/// Reason why a host could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HostError {
    /// A listener could not be opened.
    #[snafu(display("cannot listen for {role} on {address}"))]
    Listen {
        /// What the listener is for, such as `callers` or `mesh`.
        role: &'static str,
        /// Address that the listener was to be bound to.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A certificate or private key cannot be used.
    #[snafu(display("cannot set up TLS: {source}"))]
    OpenTls {
        /// File that failed, and why.
        source: TlsError,
    },
    /// The thread for connections between hosts could not be started.
    #[snafu(display("cannot start the mesh"))]
    StartMesh {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Running entry host. Dropping it aborts all of its tasks.
pub struct HostProcess {
    callers: SocketAddr,
    operators: SocketAddr,
    mesh: MeshThread,
    state: SharedState,
    tasks: JoinSet<()>,
    server: GracefulServer,
}

impl HostProcess {
    /// Opens the listeners and starts to serve requests. Outgoing connections use the shared TCP dialer.
    ///
    /// # Errors
    ///
    /// Fails if a certificate or key cannot be used, a listener cannot be bound, or the mesh cannot be started.
    pub async fn start(settings: HostSettings) -> Result<Self, HostError> {
        Self::start_with_dialer(settings, TcpDialer::shared()).await
    }

    /// Starts a host that opens all of its connections through `dialer`.
    ///
    /// # Errors
    ///
    /// Fails if a certificate or key cannot be used, a listener cannot be bound, or the mesh cannot be started.
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

    /// Bound address of the callers' listener.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers
    }

    /// Bound address of the operators' listener.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators
    }

    /// Bound address of the listener for other hosts.
    pub fn mesh_address(&self) -> SocketAddr {
        self.mesh.address()
    }

    /// Configuration, membership and other state that this host shares with its peers.
    pub fn state(&self) -> &SharedState {
        &self.state
    }

    /// Counters of messages and bytes exchanged with other hosts.
    pub fn mesh_counters(&self) -> Arc<MeshCounters> {
        self.mesh.counters()
    }

    /// Phase of the callers' server. From `Leaving` on, other hosts must be informed, and look-ups must not list this host
    /// first.
    pub fn server_phase(&self) -> watch::Receiver<ServerPhase> {
        self.server.phase()
    }

    /// Shuts the host down in order: leaves look-ups, accepts no new connections, finishes running requests, hands
    /// outcomes over to other hosts and ends all tasks. Returns whether all running requests finished within `limit`.
    pub async fn shutdown_gracefully(self, limit: Duration) -> bool {
        let Self { server, mut tasks, mesh, state, .. } = self;
        state.status.set_leaving();
        let is_finished = server.shut_down(limit).await;
        tasks.shutdown().await;
        drop(mesh);
        is_finished
    }

    /// Aborts all tasks and waits for their end, without a graceful shutdown.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Binds a listener and returns it with its bound address, which differs from `address` if that has port 0. `role`
/// tells in the error what the listener is for.
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
    serve(listener, tls, None, handler).await;
}
