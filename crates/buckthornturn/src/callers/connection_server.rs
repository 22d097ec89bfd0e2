//! Accepts connections and serves the requests on them until the host shuts down.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use coordination::admission_bounds::ConnectionRole;
use coordination::pipeline_window::PipelineBounds;
use futures::FutureExt;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use indexmap::IndexMap;
use spdlog::debug;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_rustls::TlsAcceptor;

use crate::callers::CallerBody;
use crate::callers::ConnectionTask;
use crate::callers::HeadBounds;
use crate::callers::IndependenceCheck;
use crate::callers::Pipelining;
use crate::callers::StallGuard;
use crate::resources::ConnectionGate;
use crate::resources::ConnectionMeter;
use crate::resources::GatedConnection;
use crate::resources::MeteredStream;
use crate::settings::CallerBounds;
use crate::tls::accept_tls;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Phase of a server on its way to shutdown; the phases follow each other in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServerPhase {
    /// Accepts connections and keeps them open.
    Serving,
    /// Accepts connections, and tells HTTP/1 callers with each answer to close the connection.
    Leaving,
    /// Accepts no connections, and closes each one once its requests are answered.
    Closing,
    /// Is about to end: asks requests for their answers if answers of later ones of their connection wait behind them.
    Ending,
}

/// Serves the HTTP/1 and HTTP/2 connections of one listener.
pub struct ConnectionServer {
    listener: TcpListener,
    bounds: CallerBounds,
    phase: watch::Receiver<ServerPhase>,
    counts: ConnectionCounts,
    tls: Option<TlsAcceptor>,
    pipelining: Option<PipeliningRule>,
    head_limits: Option<HeadLimitSource>,
    gate: Option<Arc<ConnectionGate>>,
}

/// Limits on the heads of requests that may change while the server runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadLimits {
    /// Size of a head that is served, in bytes.
    pub max_bytes: usize,
    /// Time in which the head of a request, or a further request, must arrive.
    pub timeout: Duration,
}

/// Limits in force, which connections take when they are accepted.
pub type HeadLimitSource = Arc<dyn Fn() -> HeadLimits + Send + Sync>;

/// Which requests of a connection run side by side.
struct PipeliningRule {
    bounds: PipelineBounds,
    check: IndependenceCheck,
}

type ConnectionCounts = Arc<Mutex<IndexMap<IpAddr, usize>>>;

struct ConnectionGuard {
    address: IpAddr,
    counts: ConnectionCounts,
    place: Option<GatedConnection>,
}

impl ConnectionServer {
    /// Creates a server without TLS; the sender of `phase` controls its shutdown.
    pub fn new(
        listener: TcpListener,
        bounds: CallerBounds,
        phase: watch::Receiver<ServerPhase>,
    ) -> Self {
        Self {
            listener,
            bounds,
            phase,
            counts: ConnectionCounts::default(),
            tls: None,
            pipelining: None,
            head_limits: None,
            gate: None,
        }
    }

    /// Sets the TLS acceptor; with `None` the server accepts unencrypted connections.
    pub fn with_tls(self, tls: Option<TlsAcceptor>) -> Self {
        Self { tls, ..self }
    }

    /// Lets connections draw on the budget of the process; with `None` only the bounds of callers apply.
    pub fn with_gate(self, gate: Option<Arc<ConnectionGate>>) -> Self {
        Self { gate, ..self }
    }

    /// Sets which requests of an HTTP/1 connection run side by side; without it they run one after another.
    pub fn with_pipelining(self, bounds: PipelineBounds, check: IndependenceCheck) -> Self {
        Self { pipelining: Some(PipeliningRule { bounds, check }), ..self }
    }

    /// Sets the source of the limits on heads, which replace those of the bounds.
    pub fn with_head_limits(self, source: HeadLimitSource) -> Self {
        Self { head_limits: Some(source), ..self }
    }

    /// Bounds of a connection that is accepted now.
    fn current_bounds(&self) -> CallerBounds {
        let mut bounds = self.bounds.clone();
        if let Some(source) = &self.head_limits {
            let limits = source();
            bounds.max_head_bytes = u32::try_from(limits.max_bytes).unwrap_or(u32::MAX);
            bounds.head_timeout_ms = limits.timeout.as_millis() as u64;
        }
        bounds
    }

    fn pipelining(&self, bounds: &CallerBounds) -> Option<Pipelining> {
        let PipeliningRule { bounds: pipeline, check } = self.pipelining.as_ref()?;
        let heads = HeadBounds {
            max_bytes: bounds.max_head_bytes as usize,
            max_headers: bounds.max_headers,
        };
        Some(Pipelining { bounds: *pipeline, heads, check: Arc::clone(check) })
    }

    /// Passes each request with the caller's address to `handler`. Returns once the phase is `Closing` and the last
    /// connection has ended.
    pub async fn run<H, F, B>(self, handler: H)
    where
        H: Fn(Request<CallerBody>, SocketAddr) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let mut connections = JoinSet::new();
        let mut phase = self.phase.clone();
        let mut closing = pin!(wait_until_closing(&mut phase));
        loop {
            while connections.try_join_next().is_some() {}
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = &mut closing => break,
            };
            match accepted {
                Ok((stream, peer)) => {
                    self.spawn_connection(&mut connections, stream, peer, handler.clone())
                }
                Err(error) => {
                    warn!("connection not accepted", kv: { reason: = error });
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        while let Some(Ok((stream, peer))) = self.listener.accept().now_or_never() {
            self.spawn_connection(&mut connections, stream, peer, handler.clone());
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }

    fn spawn_connection<H, F, B>(
        &self,
        connections: &mut JoinSet<()>,
        stream: TcpStream,
        peer: SocketAddr,
        handler: H,
    ) where
        H: Fn(Request<CallerBody>, SocketAddr) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let Some(guard) = self.admit_connection(peer.ip(), connections.len()) else {
            debug!("connection over the bound", kv: { peer: });
            return;
        };
        let _ = stream.set_nodelay(true);
        let (tls, answer_idle) = (self.tls.clone(), self.bounds.answer_idle_timeout());
        let (bounds, phase) = (self.current_bounds(), self.phase.clone());
        let (builder, pipelining) = (server_builder(&bounds), self.pipelining(&bounds));
        let budget = self.gate.as_ref().map(|gate| Arc::clone(gate.budget()));
        connections.spawn(async move {
            let guard = guard;
            let stream = match accept_tls(tls.as_ref(), stream).await {
                Ok(stream) => stream,
                Err(error) => return debug!("handshake failed", kv: { peer:, reason: = error }),
            };
            let meter = guard.meter();
            let stream = StallGuard::new(MeteredStream::new(stream, meter.clone()), answer_idle);
            let task = ConnectionTask::new(stream, pipelining.as_ref(), handler, peer, phase)
                .with_meter(meter)
                .with_budget(budget.as_ref());
            tokio::select! {
                () = task.run(&builder, bounds.head_timeout()) => {}
                () = guard.wait_until_evicted() => {}
            }
        });
    }

    fn admit_connection(&self, address: IpAddr, connections: usize) -> Option<ConnectionGuard> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.get(&address).copied().unwrap_or(0);
        let is_full = connections >= self.bounds.max_connections
            || count >= self.bounds.max_connections_per_address;
        if is_full {
            return None;
        }
        let place = match &self.gate {
            Some(gate) => Some(gate.admit(ConnectionRole::Caller)?),
            None => None,
        };
        counts.insert(address, count + 1);
        Some(ConnectionGuard { address, counts: Arc::clone(&self.counts), place })
    }
}

impl ConnectionGuard {
    fn meter(&self) -> Option<ConnectionMeter> {
        self.place.as_ref().map(GatedConnection::meter)
    }

    /// Waits until the connection is to be closed in favour of another one.
    async fn wait_until_evicted(&self) {
        match &self.place {
            Some(place) => place.wait_until_evicted().await,
            None => std::future::pending().await,
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        match counts.get_mut(&self.address) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(counts.swap_remove(&self.address)),
        }
    }
}

fn server_builder(bounds: &CallerBounds) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_timeout())
        .max_headers(bounds.max_headers)
        .max_buf_size(bounds.max_head_bytes as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(bounds.max_head_bytes)
        .max_concurrent_streams(bounds.max_streams_per_connection)
        .keep_alive_interval(bounds.head_timeout())
        .keep_alive_timeout(bounds.head_timeout());
    builder
}

/// Returns once the server is about to end; never if its phase is no longer controlled.
pub(super) async fn wait_until_ending(phase: &mut watch::Receiver<ServerPhase>) {
    if phase.wait_for(|phase| *phase == ServerPhase::Ending).await.is_err() {
        std::future::pending::<()>().await;
    }
}

pub(super) async fn wait_until_closing(phase: &mut watch::Receiver<ServerPhase>) {
    let _ = phase.wait_for(|phase| *phase >= ServerPhase::Closing).await;
}
