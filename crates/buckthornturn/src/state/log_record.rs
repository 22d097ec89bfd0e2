//! Records of the configuration log.

use bytes::Bytes;
use coordination::ids::ChangeId;
use coordination::ids::Revision;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use snafu::ResultExt;
use snafu::Snafu;

use crate::configuration::ConfigurationState;
use crate::interface::ConfigChange;

/// Prefix of the log's keys in the store; the revision follows in 20 digits.
pub const LOG_PREFIX: &str = "config/log/";
/// Version of the format of records and snapshots that this binary writes, and the latest that it reads.
pub const SCHEMA_VERSION: u32 = 1;

/// Why a record or snapshot cannot be decoded or encoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecordError {
    /// The input is not JSON of the expected form, or the value cannot be written as JSON.
    #[snafu(display("invalid record or snapshot: {source}"))]
    Unreadable {
        /// Error of the JSON parser or serializer.
        source: serde_json::Error,
    },
    /// A newer version of the program wrote the record or snapshot.
    #[snafu(display("written in schema {schema}; this binary reads up to {SCHEMA_VERSION}"))]
    NewerSchema {
        /// Schema version found in the input.
        schema: u64,
    },
}

/// Record of one accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogRecord {
    /// Version of the format; 1 if the field is missing.
    #[serde(default = "first_schema")]
    pub schema: u32,
    /// Position in the log; revisions start at 1 and have no gaps.
    pub revision: Revision,
    /// Random identifier by which the host that appended the record recognizes it.
    pub change_id: ChangeId,
    /// Operations of the change, which are applied together.
    pub changes: Vec<ConfigChange>,
}

impl LogRecord {
    /// Key under which the store holds the record of a revision.
    pub fn key(revision: Revision) -> Box<str> {
        format!("{LOG_PREFIX}{revision:020}").into()
    }

    /// Revision of a record's key; `None` for other keys, such as that of the manifest.
    pub fn revision_of(key: &str) -> Option<Revision> {
        key.strip_prefix(LOG_PREFIX)?.parse().ok()
    }

    /// Decodes a record from its stored form.
    ///
    /// # Errors
    ///
    /// Fails if the record is malformed or of a newer schema than `SCHEMA_VERSION`.
    pub fn decode(encoded: &[u8]) -> Result<Self, RecordError> {
        check_schema(encoded)?;
        serde_json::from_slice(encoded).context(UnreadableSnafu)
    }

    /// Encodes the record in its stored form.
    ///
    /// # Errors
    ///
    /// Fails if the record cannot be written as JSON.
    pub fn encode(&self) -> Result<Bytes, RecordError> {
        serde_json::to_vec(self).map(Bytes::from).context(UnreadableSnafu)
    }

    /// Applies the operations to `state` if this record is the next one after its revision. Otherwise returns `false`
    /// and leaves the state as it is.
    pub fn apply(&self, state: &mut ConfigurationState) -> bool {
        if self.revision != state.revision + 1 {
            return false;
        }
        state.revision = self.revision;
        apply_operations(&self.changes, state);
        true
    }
}

/// Applies operations to a state without changing its revision.
pub(crate) fn apply_operations(changes: &[ConfigChange], state: &mut ConfigurationState) {
    for change in changes {
        match change {
            ConfigChange::Put { object } => state.put(object.clone()),
            ConfigChange::Remove { kind, name } => drop(state.remove(kind, name)),
        }
    }
}

/// Rejects input of a newer schema, before decoding fails on a field that is unknown here.
pub(crate) fn check_schema(encoded: &[u8]) -> Result<(), RecordError> {
    let value: Value = serde_json::from_slice(encoded).context(UnreadableSnafu)?;
    match value["schema"].as_u64() {
        Some(schema) if schema > u64::from(SCHEMA_VERSION) => NewerSchemaSnafu { schema }.fail(),
        _ => Ok(()),
    }
}

fn first_schema() -> u32 {
    1
}
