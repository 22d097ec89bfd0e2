//! Order of the states of a store that may come back from an older copy.
//!
//! Load that this answers: a store that loses its latest writes and gives their revisions out again, while hosts serve by what
//! they read before.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ConfigurationNumber;
use crate::ids::Era;
use crate::ids::Revision;

/// Moment in the history of the store. Revisions are comparable within an era only, so that a later era comes first.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StateVersion {
    /// Era of the store.
    pub era: Era,
    /// Revision of the store in that era.
    pub revision: Revision,
}

impl fmt::Display for StateVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.revision)
    }
}

/// Place of a configuration among all that operators wrote.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigurationPosition {
    /// Change of the store that wrote the configuration.
    pub stored_at: StateVersion,
    /// Number that the operator gave it.
    pub number: ConfigurationNumber,
}

impl ConfigurationPosition {
    /// Whether this configuration replaces the `known` one. Within an era the store's revision decides. Across eras the
    /// operator's number does, so that a configuration which the store lost stays in force until it is written again.
    pub fn supersedes(&self, known: &Self) -> bool {
        match (self.stored_at.era, known.stored_at.era) {
            (own, other) if own == other => self.stored_at.revision > known.stored_at.revision,
            (own, other) if own > other => self.number >= known.number,
            _ => self.number > known.number,
        }
    }
}
