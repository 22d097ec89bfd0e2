//! Hands parts of the state from host to host over the mesh listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;

use crate::entry::EntryState;
use crate::entry::PartSnapshot;
use crate::interface::StatePart;
use crate::interface::StreamDialer;

const STATE_PATH: &str = "/state/";
const STATUS_PATH: &str = "/status";
/// Longest wait for a part from another host: a few round trips between regions and a megabyte.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest part that is read, in bytes; the store's values are a megabyte at most.
const MAX_PART_BYTES: usize = 16 << 20;

/// Reads parts of the state from other hosts.
#[derive(Clone)]
pub struct PeerReader {
    dialer: Arc<dyn StreamDialer>,
}

impl PeerReader {
    /// A reader whose connections a dialer opens.
    pub fn new(dialer: Arc<dyn StreamDialer>) -> Self {
        Self { dialer }
    }

    /// Reads a part from the host with a mesh address.
    ///
    /// # Errors
    ///
    /// Says what went wrong.
    pub async fn read(&self, peer: SocketAddr, part: StatePart) -> Result<PartSnapshot, Box<str>> {
        tokio::time::timeout(READ_TIMEOUT, self.exchange(peer, part))
            .await
            .unwrap_or_else(|_| Err("no answer in time".into()))
    }

    async fn exchange(&self, peer: SocketAddr, part: StatePart) -> Result<PartSnapshot, Box<str>> {
        let stream = self.dialer.dial(peer).await.map_err(text)?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(text)?;
        let task = tokio::spawn(connection);
        let request = Request::get(format!("{STATE_PATH}{}", part.name()))
            .header(http::header::HOST, peer.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(text)?;
        let response = sender.send_request(request).await.map_err(text)?;
        let body = Limited::new(response.into_body(), MAX_PART_BYTES).collect().await;
        task.abort();
        let bytes = body.map_err(|error| Box::from(error.to_string()))?.to_bytes();
        serde_json::from_slice(&bytes).map_err(text)
    }
}

/// Answers the mesh listener: parts of the state, and the status of this host.
pub fn answer_peer(state: &EntryState, path: &str) -> Response<Full<Bytes>> {
    let part = path.strip_prefix(STATE_PATH);
    let part = part.and_then(|name| StatePart::ALL.into_iter().find(|part| part.name() == name));
    let body = match (part, path) {
        (Some(part), _) => serde_json::to_vec(&state.snapshot(part)),
        (None, STATUS_PATH) => serde_json::to_vec(&status(state)),
        _ => return with_status(StatusCode::NOT_FOUND, Bytes::new()),
    };
    match body {
        Ok(body) => with_status(StatusCode::OK, body.into()),
        Err(error) => {
            with_status(StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into_bytes().into())
        }
    }
}

/// An answer with a status and a body.
pub(crate) fn with_status(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

fn status(state: &EntryState) -> serde_json::Value {
    let configuration = state.configuration();
    let core = state.lock();
    let hosts: Vec<_> = core.roster.counted().collect();
    json!({
        "host": state.own().host,
        "version": configuration.as_ref().map(|known| &known.version),
        "applied": StatePart::ALL.map(|part| core.applied(part)),
        "targets": core.board.entries().count(),
        "hosts": hosts,
    })
}

fn text(error: impl std::fmt::Display) -> Box<str> {
    error.to_string().into()
}
