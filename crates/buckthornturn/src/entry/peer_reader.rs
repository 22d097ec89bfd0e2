//! Follows the state through other hosts, over their mesh listeners.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coordination::ids::Revision;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use serde_json::json;

use crate::entry::EntryState;
use crate::interface::SourceError;
use crate::interface::StateBatch;
use crate::interface::StatePart;
use crate::interface::StreamDialer;
use crate::interface::UnavailableSnafu;
use crate::interface::UnreadableSnafu;
use crate::store::HttpReader;

const STATE_PATH: &str = "/state/";
const STATUS_PATH: &str = "/status";
/// Longest wait for an answer from another host: a few round trips between regions and a megabyte.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for a part that this host has not read yet itself, as after a start; within `READ_TIMEOUT`.
const FIRST_READ_WAIT: Duration = Duration::from_millis(1_000);
/// Longest wait of a watch that another host is asked for.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Follows the state through other hosts.
pub struct PeerReader {
    dialer: Arc<dyn StreamDialer>,
    reader: Option<Arc<HttpReader>>,
}

impl PeerReader {
    /// A reader whose connections a dialer opens.
    pub fn new(dialer: Arc<dyn StreamDialer>) -> Self {
        Self { dialer, reader: None }
    }

    /// Reads a part whole from the host with a mesh address.
    ///
    /// # Errors
    ///
    /// Says what went wrong.
    pub async fn read(
        &mut self,
        peer: SocketAddr,
        part: StatePart,
    ) -> Result<StateBatch, SourceError> {
        let reader = self.reader_of(peer);
        call(&reader, &format!("{STATE_PATH}{}", part.name()), READ_TIMEOUT).await
    }

    /// A watch of a part through the host with a mesh address.
    pub fn watch(
        &mut self,
        peer: SocketAddr,
        part: StatePart,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<StateBatch, SourceError>> + use<> {
        let reader = self.reader_of(peer);
        let wait_ms = wait.as_millis();
        let path = format!("{STATE_PATH}{}?after={after}&wait_ms={wait_ms}", part.name());
        async move { call(&reader, &path, wait + READ_TIMEOUT).await }
    }

    fn reader_of(&mut self, peer: SocketAddr) -> Arc<HttpReader> {
        match &self.reader {
            Some(reader) if reader.address() == peer => Arc::clone(reader),
            _ => {
                let reader = Arc::new(HttpReader::new(peer, Arc::clone(&self.dialer)));
                self.reader = Some(Arc::clone(&reader));
                reader
            }
        }
    }
}

async fn call(
    reader: &HttpReader,
    path: &str,
    timeout: Duration,
) -> Result<StateBatch, SourceError> {
    let answer = reader.get(path, timeout).await;
    let (status, body) = answer.or_else(|reason| UnavailableSnafu { reason }.fail())?;
    match status {
        StatusCode::OK => serde_json::from_slice(&body).map_err(|error| {
            let reason = error.to_string();
            UnreadableSnafu { reason }.build()
        }),
        StatusCode::GONE => Err(SourceError::HistoryGone),
        status => Err(SourceError::Refused { status: status.as_u16() }),
    }
}

/// Answers the mesh listener: parts of the state, whole or from a revision on, and the status of this host.
pub async fn answer_peer(
    state: &EntryState,
    path: &str,
    query: Option<&str>,
) -> Response<Full<Bytes>> {
    let part = path.strip_prefix(STATE_PATH);
    let part = part.and_then(|name| StatePart::ALL.into_iter().find(|part| part.name() == name));
    match (part, number(query, "after")) {
        (Some(part), None) => match state.wait_for_part(part, FIRST_READ_WAIT).await {
            true => encoded(&state.snapshot(part)),
            false => with_status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        },
        (Some(part), Some(after)) => {
            let wait = Duration::from_millis(number(query, "wait_ms").unwrap_or(0)).min(MAX_WAIT);
            match state.wait_for_changes(part, after, wait).await {
                Some(batch) => encoded(&batch),
                None => with_status(StatusCode::GONE, Bytes::new()),
            }
        }
        (None, _) if path == STATUS_PATH => encoded(&status(state)),
        (None, _) => with_status(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn encoded(value: &impl serde::Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
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

fn number(query: Option<&str>, name: &str) -> Option<u64> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

fn status(state: &EntryState) -> serde_json::Value {
    let configuration = state.configuration();
    let core = state.lock();
    let hosts: Vec<_> = core.roster.known_hosts().collect();
    json!({
        "host": state.own().host,
        "version": configuration.as_ref().map(|known| &known.version),
        "applied": StatePart::ALL.map(|part| core.applied(part)),
        "targets": core.board.target_entries().count(),
        "hosts": hosts,
    })
}
