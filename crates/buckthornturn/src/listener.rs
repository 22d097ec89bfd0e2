//! Accept loop for listeners that serve all requests with one handler.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coordination::admission_bounds::ConnectionRole;
use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use spdlog::debug;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_rustls::TlsAcceptor;

use crate::callers::SharedStream;
use crate::callers::StallGuard;
use crate::resources::ConnectionGate;
use crate::resources::ConnectionMeter;
use crate::resources::GatedConnection;
use crate::resources::GuardedBody;
use crate::resources::MeteredStream;
use crate::tls::accept_tls;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for the head of a request; a connection without one is closed then. Longer than hosts keep idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time in which a peer takes no byte of its answer.
const ANSWER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of the read buffer of each connection, which bounds heads: requests on these listeners are short.
const MAX_BUFFER_BYTES: usize = 8 << 10;
/// Largest number of concurrent requests on one HTTP/2 connection.
const MAX_STREAMS: u32 = 32;

/// Budget of the process as one listener draws on it.
#[derive(Clone)]
pub(crate) struct ListenerGate {
    gate: Arc<ConnectionGate>,
    role: ConnectionRole,
}

impl ListenerGate {
    /// Creates the gate of a listener whose connections have this role.
    pub(crate) fn new(gate: &Arc<ConnectionGate>, role: ConnectionRole) -> Self {
        Self { gate: Arc::clone(gate), role }
    }
}

/// Accepts connections, with TLS if `tls` is given, and serves HTTP/1 and HTTP/2 requests with `handler`, which also gets
/// the address of the peer. Connections draw on `gate` if it is given. Runs until it is dropped, which ends the open connections.
pub(crate) async fn serve<H, F, B>(
    listener: TcpListener,
    tls: Option<TlsAcceptor>,
    gate: Option<ListenerGate>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("connection not accepted", kv: { reason: = error });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let place = match &gate {
            Some(gate) => match gate.gate.admit(gate.role) {
                Some(place) => Some(place),
                None => {
                    debug!("connection over the bound", kv: { peer: });
                    continue;
                }
            },
            None => None,
        };
        let (handler, tls) = (handler.clone(), tls.clone());
        connections.spawn(async move {
            let meter = place.as_ref().map(GatedConnection::meter);
            let connection = serve_connection(stream, peer, tls, meter, handler);
            match &place {
                Some(place) => tokio::select! {
                    () = connection => {}
                    () = place.wait_until_evicted() => {}
                },
                None => connection.await,
            }
        });
    }
}

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    peer: SocketAddr,
    tls: Option<TlsAcceptor>,
    meter: Option<ConnectionMeter>,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = match tokio::time::timeout(HEAD_TIMEOUT, accept_tls(tls.as_ref(), stream)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return debug!("handshake failed", kv: { peer:, reason: = error }),
        Err(_) => return,
    };
    let stream = StallGuard::new(MeteredStream::new(stream, meter.clone()), ANSWER_IDLE_TIMEOUT);
    let stream = SharedStream::new(stream);
    let has_request = AtomicBool::new(false);
    let service = service_fn(|mut request: Request<Incoming>| {
        has_request.store(true, Ordering::Relaxed);
        let guard = meter.as_ref().map(|meter| meter.start_request(&mut request));
        let answer = handler(request, peer);
        async move { Ok::<_, Infallible>(answer.await.map(|body| GuardedBody::new(body, guard))) }
    });
    let builder = server_builder();
    let is_silent = async {
        tokio::time::sleep(HEAD_TIMEOUT).await;
        !has_request.load(Ordering::Relaxed)
    };
    {
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream.clone()), service));
        tokio::select! {
            _ = connection.as_mut() => {}
            true = is_silent => {}
        }
    }
    stream.close().await;
}

fn server_builder() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_BUFFER_BYTES as u32)
        .max_concurrent_streams(MAX_STREAMS)
        .keep_alive_interval(HEAD_TIMEOUT)
        .keep_alive_timeout(HEAD_TIMEOUT);
    builder
}
