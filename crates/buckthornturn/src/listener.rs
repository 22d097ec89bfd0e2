//! Accept loop for listeners that serve all requests with one handler.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

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
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio_rustls::TlsAcceptor;

use crate::callers::SharedStream;
use crate::tls::accept_tls;

/// Accepts connections, with TLS if `tls` is given, and serves HTTP/1 and HTTP/2 requests with `handler`, which also gets
/// the address of the peer. Runs until it is dropped, which ends the open connections.
pub(crate) async fn serve<H, F, B>(listener: TcpListener, tls: Option<TlsAcceptor>, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, peer)) = listener.accept().await else { continue };
        let (handler, tls) = (handler.clone(), tls.clone());
        connections.spawn(async move {
            let stream = match accept_tls(tls.as_ref(), stream).await {
                Ok(stream) => stream,
                Err(error) => return debug!("handshake failed", kv: { peer:, reason: = error }),
            };
            let service = service_fn(move |request| {
                let answer = handler(request, peer);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let mut builder = Builder::new(TokioExecutor::new());
            builder.http1().timer(TokioTimer::new());
            builder.http2().timer(TokioTimer::new());
            let stream = SharedStream::new(stream);
            let _ = builder.serve_connection(TokioIo::new(stream.clone()), service).await;
            stream.close().await;
        });
    }
}
