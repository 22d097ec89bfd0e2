//! Accepts connections and serves the requests on them until the host shuts down.

use std::convert::Infallible;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coordination::admission_bounds::ConnectionRole;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Version;
use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
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

use crate::callers::StallGuard;
use crate::resources::ConnectionGate;
use crate::resources::ConnectionMeter;
use crate::resources::GatedConnection;
use crate::resources::GuardedBody;
use crate::resources::MeteredStream;
use crate::resources::RequestGuard;
use crate::settings::CallerBounds;
use crate::tls::accept_tls;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time to receive requests that are under way on the connections accepted last, before the connections are shut
/// down.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Phase of a server on its way to shutdown; the phases follow each other in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServerPhase {
    /// Accepts connections and keeps them open.
    Serving,
    /// Accepts connections, and tells HTTP/1 callers with each answer to close the connection.
    Leaving,
    /// Accepts no connections, and closes each one once its requests are answered.
    Closing,
}

/// Serves the HTTP/1 and HTTP/2 connections of one listener.
pub struct ConnectionServer {
    listener: TcpListener,
    bounds: CallerBounds,
    phase: watch::Receiver<ServerPhase>,
    builder: Builder<TokioExecutor>,
    counts: ConnectionCounts,
    tls: Option<TlsAcceptor>,
    gate: Option<Arc<ConnectionGate>>,
}

/// Answer to one request; its body ends the request in the meter of its connection.
type ServiceFuture<B> =
    BoxFuture<'static, Result<Response<GuardedBody<B, Option<RequestGuard>>>, Infallible>>;

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
        let builder = server_builder(&bounds);
        let counts = ConnectionCounts::default();
        Self { listener, bounds, phase, builder, counts, tls: None, gate: None }
    }

    /// Sets the TLS acceptor; with `None` the server accepts unencrypted connections.
    pub fn with_tls(self, tls: Option<TlsAcceptor>) -> Self {
        Self { tls, ..self }
    }

    /// Lets connections draw on the budget of the process; with `None` only the bounds of callers apply.
    pub fn with_gate(self, gate: Option<Arc<ConnectionGate>>) -> Self {
        Self { gate, ..self }
    }

    /// Passes each request with the caller's address to `handler`. Returns once the phase is `Closing` and the last
    /// connection has ended.
    pub async fn run<H, F, B>(self, handler: H)
    where
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
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
        H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
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
        let (builder, phase) = (self.builder.clone(), self.phase.clone());
        let head_timeout = self.bounds.head_timeout();
        connections.spawn(async move {
            let guard = guard;
            let stream = match accept_tls(tls.as_ref(), stream).await {
                Ok(stream) => stream,
                Err(error) => return debug!("handshake failed", kv: { peer:, reason: = error }),
            };
            let meter = guard.meter();
            let stream = MeteredStream::new(stream, meter.clone());
            let io = TokioIo::new(StallGuard::new(stream, answer_idle));
            let has_request = Arc::new(AtomicBool::new(false));
            let service =
                connection_service(handler, peer, phase.clone(), Arc::clone(&has_request), meter);
            let mut connection = pin!(builder.serve_connection(io, service_fn(service)));
            let mut phase = phase;
            tokio::select! {
                _ = connection.as_mut() => return,
                () = wait_for_missing_request(&has_request, head_timeout) => return,
                () = guard.wait_until_evicted() => return,
                () = wait_until_settled(&mut phase) => connection.as_mut().graceful_shutdown(),
            }
            let _ = connection.await;
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

fn connection_service<H, F, B>(
    handler: H,
    peer: SocketAddr,
    phase: watch::Receiver<ServerPhase>,
    has_request: Arc<AtomicBool>,
    meter: Option<ConnectionMeter>,
) -> impl Fn(Request<Incoming>) -> ServiceFuture<B>
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Send + 'static,
{
    move |mut request| {
        let guard = meter.as_ref().map(|meter| meter.start_request(&mut request));
        has_request.store(true, Ordering::Relaxed);
        let phase = phase.clone();
        let is_http1 = request.version() <= Version::HTTP_11;
        let answer = handler(request, peer);
        async move {
            let mut response = answer.await;
            if is_http1 && *phase.borrow() >= ServerPhase::Leaving {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok(response.map(|body| GuardedBody::new(body, guard)))
        }
        .boxed()
    }
}

/// Returns after `head_timeout` if no request has arrived on the connection by then; otherwise it never returns.
async fn wait_for_missing_request(has_request: &AtomicBool, head_timeout: Duration) {
    tokio::time::sleep(head_timeout).await;
    if has_request.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
}

async fn wait_until_closing(phase: &mut watch::Receiver<ServerPhase>) {
    let _ = phase.wait_for(|phase| *phase == ServerPhase::Closing).await;
}

async fn wait_until_settled(phase: &mut watch::Receiver<ServerPhase>) {
    wait_until_closing(phase).await;
    tokio::time::sleep(SETTLE_TIME).await;
}
