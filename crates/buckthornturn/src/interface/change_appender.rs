//! Acceptance of configuration changes into the log.

use coordination::ids::ChangeId;
use coordination::ids::Revision;
use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::configuration::ConfigObject;

/// One operation of a configuration change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "operation", rename_all = "snake_case")]
pub enum ConfigChange {
    /// Inserts an object, replacing the one with the same kind and name.
    Put {
        /// Object to insert, with its kind and name.
        object: ConfigObject,
    },
    /// Removes an object. Keys are never removed; they are withdrawn by a `Put` of their record.
    Remove {
        /// Kind of the object to remove.
        kind: Box<str>,
        /// Name of the object to remove.
        name: Box<str>,
    },
}

/// Confirmation that a change was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct AppendReceipt {
    /// Revision of the accepted change.
    pub revision: Revision,
    /// Identifier of the accepted change.
    pub change_id: ChangeId,
}

/// Reason why a change was not accepted, or why its acceptance is unknown.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum AppendError {
    /// Another change was accepted first, so the expected revision is no longer the latest.
    #[snafu(display("another change came first; revision {current} is in force"))]
    Raced {
        /// Latest accepted revision, which is in force now.
        current: Revision,
    },
    /// The change would violate a rule of the configuration, such as leave a dangling reference.
    #[snafu(display("the change is invalid: {reason}"))]
    Invalid {
        /// All violated rules, as text for the operator.
        reason: Box<str>,
    },
    /// The store was not available; nothing was accepted.
    #[snafu(display("not accepted: {reason}"))]
    NotAccepted {
        /// Cause of the failure, as text for the operator.
        reason: Box<str>,
    },
    /// The answer of the store was lost, and reading the log back failed as well.
    #[snafu(display("acceptance of change {change_id} is unknown: {reason}"))]
    Unknown {
        /// Identifier by which the operator can find the change in the log later.
        change_id: ChangeId,
        /// Cause of the last failure.
        reason: Box<str>,
    },
}

/// Appends configuration changes to the log in the store.
pub trait ChangeAppender: Send + Sync {
    /// Appends changes as one revision. With `expected` it fails with `Raced` unless that revision is the latest.
    /// Without it the changes are validated against the latest revision, whichever it is, and appended after it.
    fn append(
        &self,
        changes: Vec<ConfigChange>,
        expected: Option<Revision>,
    ) -> BoxFuture<'_, Result<AppendReceipt, AppendError>>;
}
