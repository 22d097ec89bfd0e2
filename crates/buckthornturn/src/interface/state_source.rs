//! Source from which an entry host reads and watches the state in force.

use std::time::Duration;

use coordination::fleet::ConfigurationPosition;
use coordination::fleet::StateVersion;
use coordination::fleet::TargetEntry;
use coordination::ids::DomainId;
use coordination::ids::Era;
use coordination::ids::Revision;
use coordination::ids::TargetId;
use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::entry::EntryConfiguration;

/// A part of the state that is read and watched independently of the others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatePart {
    /// The configuration that operators apply.
    Configuration,
    /// Entries of the registered targets.
    Targets,
    /// Failure domains whose targets must get no requests.
    ClosedDomains,
}

impl StatePart {
    /// All parts in the order of their discriminants.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Targets, Self::ClosedDomains];

    /// Name of the part in the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
            Self::ClosedDomains => "closed-domains",
        }
    }
}

/// One change of a part of the state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StateChange {
    /// A new configuration is in force; it replaces the previous one entirely.
    Configuration(Box<EntryConfiguration>),
    /// A target was registered, or its entry changed.
    Target(TargetEntry),
    /// A target's entry was removed, or it no longer describes a usable target.
    TargetGone(TargetId),
    /// The targets of a failure domain must get no requests from now on.
    DomainClosed(DomainId),
    /// The targets of a failure domain may get requests again.
    DomainOpened(DomainId),
}

/// Result of a read or of a watch.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StateBatch {
    /// Revision after which the next watch has to continue.
    pub revision: Revision,
    /// Era of the store that gave out `revision`.
    #[serde(default)]
    pub era: Era,
    /// Revision of the latest change in the batch; 0 if the batch has none.
    pub latest: Revision,
    /// Era of the store that gave out `latest`. It is earlier than `era` for a configuration that the store has lost.
    #[serde(default)]
    pub latest_era: Era,
    /// Changes in the order of their revisions. The batch of a read describes the whole part.
    pub changes: Vec<StateChange>,
    /// Number of entries that could not be decoded, in versions that the source had not met before.
    #[serde(skip)]
    pub unreadable: u64,
}

impl StateBatch {
    /// State of the store that the batch leads to, after which the next watch has to continue.
    pub fn version(&self) -> StateVersion {
        StateVersion { era: self.era, revision: self.revision }
    }

    /// Latest change in the batch.
    pub fn latest_version(&self) -> StateVersion {
        StateVersion { era: self.latest_era, revision: self.latest }
    }

    /// Place of the configuration in the batch, if it has one.
    pub fn configuration_position(&self) -> Option<ConfigurationPosition> {
        self.changes.iter().rev().find_map(|change| match change {
            StateChange::Configuration(configuration) => Some(ConfigurationPosition {
                stored_at: self.latest_version(),
                number: configuration.number,
            }),
            _ => None,
        })
    }
}

/// Reason why a read or a watch failed.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// The source no longer has the changes after the revision of the watch; the part has to be read again.
    #[snafu(display("the history of the watch is gone"))]
    HistoryGone,
    /// The source cannot be reached or did not answer in time.
    #[snafu(display("not reached: {reason}"))]
    Unavailable {
        /// Cause as reported by the client.
        reason: Box<str>,
    },
    /// The source answered with an error status.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer cannot be decoded.
    #[snafu(display("unreadable answer: {reason}"))]
    Unreadable {
        /// Reason why it cannot be decoded.
        reason: Box<str>,
    },
}

/// Source from which an entry host reads and watches the state in force. Each call has a timeout.
pub trait StateSource: Send + Sync {
    /// Reads a whole part of the state.
    fn read(&self, part: StatePart) -> BoxFuture<'_, Result<StateBatch, SourceError>>;

    /// Waits at most `wait` until a part changes after a state. Returns an empty batch if it did not, and `HistoryGone` if
    /// the state is of another era of the store.
    fn watch(
        &self,
        part: StatePart,
        after: StateVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<StateBatch, SourceError>>;
}
