//! Accepts connections and serves the requests on them until the host shuts down.

use std::convert::Infallible;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Poll;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Version;
use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::rt::Read;
use hyper::rt::Write;
use hyper::service::Service;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::conn::auto::Connection;
use hyper_util::server::conn::auto::HttpServerConnExec;
use indexmap::IndexMap;
use spdlog::debug;
use spdlog::warn;
use tokio::io::AsyncRead;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_rustls::TlsAcceptor;

use crate::callers::CallerBody;
use crate::callers::ConnectionRequests;
use crate::callers::ReadAhead;
use crate::callers::SharedStream;
use crate::callers::StallGuard;
use crate::settings::CallerBounds;
use crate::tls::accept_tls;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time to receive requests that are under way on the connections accepted last, before the connections are shut
/// down.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Input of a connection that is read before the HTTP server asks for it, beyond the server's own buffer. Many small requests
/// fit, and thousands of connections do on the smallest host.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;

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
}

type ConnectionCounts = Arc<Mutex<IndexMap<IpAddr, usize>>>;

struct ConnectionGuard {
    address: IpAddr,
    counts: ConnectionCounts,
}

impl ConnectionServer {
    /// Creates a server without TLS; the sender of `phase` controls its shutdown.
    pub fn new(
        listener: TcpListener,
        bounds: CallerBounds,
        phase: watch::Receiver<ServerPhase>,
    ) -> Self {
        let builder = server_builder(&bounds);
        Self { listener, bounds, phase, builder, counts: ConnectionCounts::default(), tls: None }
    }

    /// Sets the TLS acceptor; with `None` the server accepts unencrypted connections.
    pub fn with_tls(self, tls: Option<TlsAcceptor>) -> Self {
        Self { tls, ..self }
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
        let (builder, phase) = (self.builder.clone(), self.phase.clone());
        let head_timeout = self.bounds.head_timeout();
        connections.spawn(async move {
            let _guard = guard;
            let stream = match accept_tls(tls.as_ref(), stream).await {
                Ok(stream) => stream,
                Err(error) => return debug!("handshake failed", kv: { peer:, reason: = error }),
            };
            let stream = StallGuard::new(stream, answer_idle);
            let stream = SharedStream::new(ReadAhead::new(stream, MAX_READ_AHEAD_BYTES));
            let requests = ConnectionRequests::default();
            let service =
                connection_service(handler, peer, phase.clone(), requests.clone(), stream.clone());
            let io = TokioIo::new(stream.clone());
            let connection = builder.serve_connection(io, service_fn(service));
            serve_connection(connection, phase, &requests, &stream, head_timeout).await;
            stream.close().await;
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
        counts.insert(address, count + 1);
        Some(ConnectionGuard { address, counts: Arc::clone(&self.counts) })
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

/// Serves a connection until it ends or lacks its first request. Once the server closes, no further request is read.
async fn serve_connection<C, S, V, B>(
    connection: Connection<'_, C, V, TokioExecutor>,
    mut phase: watch::Receiver<ServerPhase>,
    requests: &ConnectionRequests,
    stream: &SharedStream<ReadAhead<S>>,
    head_timeout: Duration,
) where
    C: Read + Write + Unpin + 'static,
    S: AsyncRead + Unpin,
    V: Service<Request<Incoming>, Response = Response<B>>,
    V::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    V::Future: 'static,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    TokioExecutor: HttpServerConnExec<V::Future, B>,
{
    let mut connection = pin!(connection);
    tokio::select! {
        () = drive_connection(connection.as_mut(), requests, stream) => return,
        () = wait_for_missing_request(requests, head_timeout) => return,
        () = wait_until_settled(&mut phase) => connection.as_mut().graceful_shutdown(),
    }
    drive_connection(connection, requests, stream).await;
}

/// Polls the HTTP server, and reads ahead while it waits for an answer, as it does not read itself while it holds a part of a
/// further request. Returns when the connection ends, or its peer has left without the answer.
async fn drive_connection<C: Future, S: AsyncRead + Unpin>(
    mut connection: Pin<&mut C>,
    requests: &ConnectionRequests,
    stream: &SharedStream<ReadAhead<S>>,
) {
    std::future::poll_fn(|context| {
        loop {
            if connection.as_mut().poll(context).is_ready() {
                return Poll::Ready(());
            }
            if !requests.is_waiting() {
                return Poll::Pending;
            }
            let mut stream = stream.lock();
            let has_read = stream.fill(context);
            if stream.has_ended() {
                return Poll::Ready(());
            }
            // The HTTP server may have asked for these bytes, and is woken by the stream only.
            if !has_read {
                return Poll::Pending;
            }
        }
    })
    .await;
}

fn connection_service<H, F, S, B>(
    handler: H,
    peer: SocketAddr,
    phase: watch::Receiver<ServerPhase>,
    requests: ConnectionRequests,
    stream: SharedStream<ReadAhead<S>>,
) -> impl Fn(Request<Incoming>) -> BoxFuture<'static, Result<Response<B>, Infallible>>
where
    H: Fn(Request<CallerBody>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Send + 'static,
{
    move |request| {
        requests.record_begin();
        let request = CallerBody::wrap_request(request);
        if request.version() > Version::HTTP_11 {
            return handler(request, peer).map(Ok).boxed();
        }
        let open = requests.open_request();
        let request = request.map(|body| body.with_progress(Arc::clone(open.progress())));
        if request.body().is_end_stream() && stream.lock().has_ended() {
            // The caller has left; the connection ends when the server next waits.
            return async move {
                let _open = open;
                std::future::pending().await
            }
            .boxed();
        }
        let phase = phase.clone();
        let answer = handler(request, peer);
        async move {
            let _open = open;
            let mut response = answer.await;
            if *phase.borrow() >= ServerPhase::Leaving {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok(response)
        }
        .boxed()
    }
}

/// Returns after `head_timeout` if no request has arrived on the connection by then; otherwise it never returns.
async fn wait_for_missing_request(requests: &ConnectionRequests, head_timeout: Duration) {
    tokio::time::sleep(head_timeout).await;
    if requests.has_begun() {
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
