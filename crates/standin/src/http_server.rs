//! A small HTTP/1.1 server that the stand-ins of the store, the platform and the targets run on.

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

/// Body of an answer, either streamed or sent in one piece.
pub type ServerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Returned by a handler to close the connection without sending an answer.
#[derive(Debug, Snafu)]
#[snafu(display("the handler closed the connection without an answer"))]
pub struct AnswerWithheld;

/// Result of a handler; an error closes the connection without an answer.
pub type ServerResult = Result<Response<ServerBody>, AnswerWithheld>;

/// A running server. Dropping it closes the listener and every open connection.
#[derive(Debug)]
pub struct HttpServer {
    /// Address of the listener, with the port chosen by the system if port 0 was asked for.
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl HttpServer {
    /// Starts a server that passes each request to `handler`. If the client closes its connection, the future of the
    /// handler is dropped. Fails if the address cannot be bound.
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

/// Returns a body that is sent in one piece.
pub fn whole_body(bytes: impl Into<Bytes>) -> ServerBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns an answer with status 200 and a JSON body.
pub fn json_answer(value: &Value) -> Response<ServerBody> {
    Response::new(whole_body(value.to_string()))
}

/// Returns an answer with the given status and a plain text body.
pub fn plain_answer(status: StatusCode, text: &'static str) -> Response<ServerBody> {
    let mut response = Response::new(whole_body(text));
    *response.status_mut() = status;
    response
}

/// Returns the value of a query parameter as it stands in the URI, without percent-decoding; `None` if it is absent.
pub fn query_value<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the number in a query parameter; `None` if it is absent or not a number.
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    query_value(request, name)?.parse().ok()
}
