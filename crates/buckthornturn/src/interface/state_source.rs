//! Where an entry host learns what is in force.

use std::time::Duration;

use coordination::fleet::TargetEntry;
use coordination::ids::DomainId;
use coordination::ids::Revision;
use coordination::ids::TargetId;
use futures::future::BoxFuture;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::entry::EntryConfiguration;

/// A part of the state that is read and watched by itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatePart {
    /// The operator's configuration.
    Configuration,
    /// Targets that are there.
    Targets,
    /// Failure domains whose targets get no requests.
    ClosedDomains,
}

impl StatePart {
    /// All parts in the order of their numbers.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Targets, Self::ClosedDomains];

    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
            Self::ClosedDomains => "closed-domains",
        }
    }
}

/// One change of the state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StateChange {
    /// Another configuration is in force, whole.
    Configuration(EntryConfiguration),
    /// A target registered itself or changed its entry.
    Target(TargetEntry),
    /// A target's entry is gone, or names no target that can be used.
    TargetGone(TargetId),
    /// The targets of a failure domain are to get no requests.
    DomainClosed(DomainId),
    /// They may get requests again.
    DomainOpened(DomainId),
}

/// What a read or a watch saw.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StateBatch {
    /// Revision from which the next watch goes on.
    pub revision: Revision,
    /// Revision of the latest change among those in the batch; 0 if there is none.
    pub latest: Revision,
    /// Changes in their order; after a read the whole part.
    pub changes: Vec<StateChange>,
}

/// Why a read or a watch brought nothing.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum SourceError {
    /// The history from the revision of a watch is gone; the part has to be read again.
    #[snafu(display("the history of the watch is gone"))]
    HistoryGone,
    /// The source was not reached or did not answer in time.
    #[snafu(display("not reached: {reason}"))]
    Unavailable {
        /// What went wrong.
        reason: Box<str>,
    },
    /// The source refused the call.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The answer makes no sense.
    #[snafu(display("unreadable answer: {reason}"))]
    Unreadable {
        /// What is wrong.
        reason: Box<str>,
    },
}

/// Where an entry host learns what is in force. Each call is bounded in time.
pub trait StateSource: Send + Sync {
    /// Reads a part whole.
    fn read(&self, part: StatePart) -> BoxFuture<'_, Result<StateBatch, SourceError>>;

    /// Waits until a part changes after a revision, at most `wait`; an empty batch if it did not.
    fn watch(
        &self,
        part: StatePart,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<StateBatch, SourceError>>;
}
