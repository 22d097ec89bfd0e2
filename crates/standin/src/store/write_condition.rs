//! Condition of a write on the object's current version.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Condition that the object's current version must meet for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCondition {
    /// The write always takes effect.
    Unconditional,
    /// The object must not exist.
    Absent,
    /// The object must exist with this version.
    Version(u64),
}

impl WriteCondition {
    /// Reads the condition from `If-None-Match: *` or `If-Match`; an `If-Match` that is not a number is never met.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        match (text(header::IF_NONE_MATCH), text(header::IF_MATCH)) {
            (Some("*"), _) => Self::Absent,
            (_, Some(tag)) => Self::Version(tag.trim_matches('"').parse().unwrap_or(u64::MAX)),
            _ => Self::Unconditional,
        }
    }

    /// Whether the condition is met by a current version; 0 means that the object does not exist.
    pub fn is_met(self, current: u64) -> bool {
        match self {
            Self::Unconditional => true,
            Self::Absent => current == 0,
            Self::Version(version) => current == version && current != 0,
        }
    }
}
