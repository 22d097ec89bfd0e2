//! One entry of the configuration log.

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

/// Why a record or snapshot cannot be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecordError {
    /// It is no JSON of the expected form.
    #[snafu(display("unreadable: {source}"))]
    Unreadable {
        /// Cause.
        source: serde_json::Error,
    },
    /// A newer binary wrote it.
    #[snafu(display("written in schema {schema}; this binary reads up to {SCHEMA_VERSION}"))]
    NewerSchema {
        /// Its schema.
        schema: u64,
    },
}

/// One accepted change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogRecord {
    /// Version of the format.
    #[serde(default = "first_schema")]
    pub schema: u32,
    /// Its place in the log.
    pub revision: Revision,
    /// Identifier chosen by whoever appended it.
    pub change_id: ChangeId,
    /// Operations, applied together.
    pub changes: Vec<ConfigChange>,
}

impl LogRecord {
    /// Key in the store.
    pub fn key(revision: Revision) -> Box<str> {
        format!("{LOG_PREFIX}{revision:020}").into()
    }

    /// Revision that a key stands for; `None` for other keys under the prefix.
    pub fn revision_of(key: &str) -> Option<Revision> {
        key.strip_prefix(LOG_PREFIX)?.parse().ok()
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// Fails if it is unreadable or of a later schema than this binary knows.
    pub fn decode(encoded: &[u8]) -> Result<Self, RecordError> {
        check_schema(encoded)?;
        serde_json::from_slice(encoded).context(UnreadableSnafu)
    }

    /// Encoded form, as in the store.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be encoded.
    pub fn encode(&self) -> Result<Bytes, RecordError> {
        serde_json::to_vec(self).map(Bytes::from).context(UnreadableSnafu)
    }

    /// Puts the changes into a state, if this record is the next one after it; returns whether it was.
    pub fn apply(&self, state: &mut ConfigurationState) -> bool {
        if self.revision != state.revision + 1 {
            return false;
        }
        state.revision = self.revision;
        apply_operations(&self.changes, state);
        true
    }
}

/// Puts changes into a state, its revision left as it is.
pub(crate) fn apply_operations(changes: &[ConfigChange], state: &mut ConfigurationState) {
    for change in changes {
        match change {
            ConfigChange::Put { object } => state.put(object.clone()),
            ConfigChange::Remove { kind, name } => drop(state.remove(kind, name)),
        }
    }
}

/// Refuses what a newer binary wrote, before its unknown fields are met.
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
