//! Encoding of a whole configuration state, as in snapshots and between peers.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use crate::configuration::ConfigurationState;
use crate::state::log_record::RecordError;
use crate::state::log_record::SCHEMA_VERSION;
use crate::state::log_record::UnreadableSnafu;
use crate::state::log_record::check_schema;

#[derive(Deserialize)]
struct ReadSnapshot {
    state: ConfigurationState,
}

#[derive(Serialize)]
struct WrittenSnapshot<'a> {
    schema: u32,
    state: &'a ConfigurationState,
}

/// Encodes a state together with its schema version.
///
/// # Errors
///
/// Fails if the state cannot be written as JSON.
pub(crate) fn encode_state(state: &ConfigurationState) -> Result<Bytes, RecordError> {
    let snapshot = WrittenSnapshot { schema: SCHEMA_VERSION, state };
    serde_json::to_vec(&snapshot).map(Bytes::from).context(UnreadableSnafu)
}

/// Decodes a state that `encode_state` wrote.
///
/// # Errors
///
/// Fails if the input is malformed or of a newer schema than `SCHEMA_VERSION`.
pub(crate) fn decode_state(encoded: &[u8]) -> Result<ConfigurationState, RecordError> {
    check_schema(encoded)?;
    let snapshot: ReadSnapshot = serde_json::from_slice(encoded).context(UnreadableSnafu)?;
    Ok(snapshot.state)
}
