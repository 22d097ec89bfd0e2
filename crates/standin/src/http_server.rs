//! A small HTTP server on a loopback address.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Body of an answer, streamed or whole.
pub type ServerBody = UnsyncBoxBody<Bytes, io::Error>;

/// The handler wants the connection closed without an answer.
#[derive(Debug, Snafu)]
#[snafu(display("the answer is withheld"))]
pub struct AnswerWithheld;

/// What a handler gives back.
pub type ServerResult = Result<Response<ServerBody>, AnswerWithheld>;

/// A running server; dropping it closes it and its connections.
#[derive(Debug)]
pub struct HttpServer {
    /// Address it listens on.
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl HttpServer {
    /// Starts a server that answers with `handler`. A caller that closes its connection drops the handler's future.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = ServerResult> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(accept_connections(listener, handler));
        Ok(Self { address, _tasks: tasks })
    }
}

async fn accept_connections<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ServerResult> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(handler);
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// A whole body.
pub fn whole_body(bytes: impl Into<Bytes>) -> ServerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An answer with a JSON body.
pub fn json_answer(value: &Value) -> Response<ServerBody> {
    Response::new(whole_body(value.to_string()))
}

/// An answer with a status and a line of text.
pub fn plain_answer(status: StatusCode, text: &'static str) -> Response<ServerBody> {
    let mut response = Response::new(whole_body(text));
    *response.status_mut() = status;
    response
}

/// Value of a query parameter.
pub fn query_value<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Number in a query parameter.
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    query_value(request, name)?.parse().ok()
}
