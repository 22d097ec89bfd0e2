//! Reads and watches the state through other hosts' mesh listeners, and answers such reads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coordination::admission_bounds::ByteUse;
use coordination::fleet::StateVersion;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use serde_json::json;
use spdlog::warn;

use crate::entry::EntryState;
use crate::interface::SourceError;
use crate::interface::StateBatch;
use crate::interface::StatePart;
use crate::interface::StreamDialer;
use crate::interface::UnavailableSnafu;
use crate::interface::UnreadableSnafu;
use crate::json_extent::decode_elements;
use crate::json_extent::decode_member;
use crate::json_extent::find_member;
use crate::json_extent::split_object;
use crate::resources::reserve_bytes;
use crate::store::HttpReader;

#[cfg(test)]
#[path = "peer_reader_tests.rs"]
mod tests;

const STATE_PATH: &str = "/state/";
const STATUS_PATH: &str = "/status";
/// Timeout of a read from another host: a few round trips between regions and the transfer of a megabyte.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for a part that this host has not read yet, as after its start; shorter than the `READ_TIMEOUT` of the peer.
const FIRST_READ_WAIT: Duration = Duration::from_millis(1_000);
/// Longest wait that a watch of another host may ask for.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Client for other hosts' state. It keeps connections to the latest peer only.
pub struct PeerReader {
    dialer: Arc<dyn StreamDialer>,
    reader: Option<Arc<HttpReader>>,
}

impl PeerReader {
    /// Creates a reader that opens its connections through `dialer`.
    pub fn new(dialer: Arc<dyn StreamDialer>) -> Self {
        Self { dialer, reader: None }
    }

    /// Reads a whole part from the host with the mesh address `peer`.
    ///
    /// # Errors
    ///
    /// Fails if the host is unreachable, refuses the call, or sends an answer that cannot be decoded.
    pub async fn read(
        &mut self,
        peer: SocketAddr,
        part: StatePart,
    ) -> Result<StateBatch, SourceError> {
        let reader = self.reader_for(peer);
        fetch_batch(&reader, part, &format!("{STATE_PATH}{}", part.name()), READ_TIMEOUT).await
    }

    /// Watches a part through the host with the mesh address `peer`: returns its changes after a state, or an empty
    /// batch if there are none within `wait`.
    pub fn watch(
        &mut self,
        peer: SocketAddr,
        part: StatePart,
        after: StateVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<StateBatch, SourceError>> + use<> {
        let reader = self.reader_for(peer);
        let wait_ms = wait.as_millis();
        let StateVersion { era, revision } = after;
        let name = part.name();
        let path = format!("{STATE_PATH}{name}?after={revision}&era={era}&wait_ms={wait_ms}");
        async move { fetch_batch(&reader, part, &path, wait + READ_TIMEOUT).await }
    }

    fn reader_for(&mut self, peer: SocketAddr) -> Arc<HttpReader> {
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

async fn fetch_batch(
    reader: &HttpReader,
    part: StatePart,
    path: &str,
    timeout: Duration,
) -> Result<StateBatch, SourceError> {
    let answer = reader.get(path, path, timeout).await;
    let answer = answer.or_else(|reason| UnavailableSnafu { reason }.fail())?;
    match answer.status() {
        StatusCode::OK => {
            let batch = decode_batch(part, answer.body());
            let batch = batch.or_else(|reason| UnreadableSnafu { reason }.fail())?;
            if batch.unreadable > 0 {
                warn!("cannot decode changes of another host; leaving them out", kv: {
                    part: = part.name(), peer: = reader.address(), revision = batch.revision, count = batch.unreadable
                });
            }
            Ok(batch)
        }
        StatusCode::GONE => Err(SourceError::HistoryGone),
        status => Err(SourceError::Refused { status: status.as_u16() }),
    }
}

/// Decodes a part of the state as another host sends it. Changes that cannot be decoded are left out and counted.
fn decode_batch(part: StatePart, body: &[u8]) -> Result<StateBatch, Box<str>> {
    match serde_json::from_slice(body) {
        Ok(batch) => Ok(batch),
        Err(error) => decode_separately(part, body).ok_or_else(|| Box::from(error.to_string())),
    }
}

fn decode_separately(part: StatePart, body: &[u8]) -> Option<StateBatch> {
    let members = split_object(body)?;
    let (changes, unreadable) = decode_elements(find_member(&members, "changes")?)?;
    let mut batch = StateBatch {
        revision: decode_member(&members, "revision")?,
        era: decode_member(&members, "era").unwrap_or_default(),
        latest: decode_member(&members, "latest")?,
        latest_era: decode_member(&members, "latest_era").unwrap_or_default(),
        changes,
        unreadable,
    };
    // A configuration that is not applied must not count as the latest one.
    if part == StatePart::Configuration && batch.changes.is_empty() {
        batch.latest = 0;
    }
    Some(batch)
}

/// Answers a request on the mesh listener: a part of the state, whole or as the changes after a state, or the status of
/// this host.
pub async fn answer_peer(
    state: &EntryState,
    path: &str,
    query: Option<&str>,
) -> Response<Full<Bytes>> {
    let part = path.strip_prefix(STATE_PATH);
    let part = part.and_then(|name| StatePart::ALL.into_iter().find(|part| part.name() == name));
    match (part, query_number(query, "after")) {
        (Some(part), None) => match state.wait_for_part(part, FIRST_READ_WAIT).await {
            true => match state.snapshots.encode(state, part) {
                Ok(body) => status_response(StatusCode::OK, body),
                Err(error) => encoding_failure(&error),
            },
            false => status_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        },
        (Some(part), Some(revision)) => {
            let era = query_number(query, "era").unwrap_or(0);
            let after = StateVersion { era, revision };
            let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0))
                .min(MAX_WATCH_WAIT);
            match state.wait_for_changes(part, after, wait).await {
                Ok(batch) => json_response(state, &batch),
                Err(SourceError::HistoryGone) => status_response(StatusCode::GONE, Bytes::new()),
                Err(_) => status_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            }
        }
        (None, _) if path == STATUS_PATH => json_response(state, &host_status(state)),
        (None, _) => status_response(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// Answer in JSON, which draws on the budget of the process until it is sent.
fn json_response(state: &EntryState, value: &impl serde::Serialize) -> Response<Full<Bytes>> {
    let body = match serde_json::to_vec(value) {
        Ok(body) => Bytes::from(body),
        Err(error) => return encoding_failure(&error),
    };
    let mut reservation = state.gate().budget().reserve();
    match reservation.grow(body.len(), ByteUse::Needed) {
        true => status_response(StatusCode::OK, reserve_bytes(body, reservation)),
        false => status_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    }
}

fn encoding_failure(error: &serde_json::Error) -> Response<Full<Bytes>> {
    let reason = error.to_string().into_bytes();
    status_response(StatusCode::INTERNAL_SERVER_ERROR, reason.into())
}

/// Builds a response with a status and a body, without headers.
pub(crate) fn status_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    let mut pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

fn host_status(state: &EntryState) -> serde_json::Value {
    let configuration = state.configuration();
    let core = state.lock();
    let hosts: Vec<_> = core.roster.known_hosts().collect();
    json!({
        "host": state.identity().host,
        "version": configuration.as_ref().map(|known| &known.version),
        "applied": StatePart::ALL.map(|part| core.applied(part).revision),
        "eras": StatePart::ALL.map(|part| core.applied(part).era),
        "targets": core.board.target_entries().count(),
        "hosts": hosts,
    })
}
