//! Condition of a write.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCondition {
    /// Always.
    Unconditional,
    /// Only if the object does not exist.
    Absent,
    /// Only if the object has this version.
    Version(u64),
}

impl WriteCondition {
    /// Condition said by `If-None-Match: *` or `If-Match`.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        match (text(header::IF_NONE_MATCH), text(header::IF_MATCH)) {
            (Some("*"), _) => Self::Absent,
            (_, Some(tag)) => Self::Version(tag.trim_matches('"').parse().unwrap_or(u64::MAX)),
            _ => Self::Unconditional,
        }
    }

    /// Whether it holds for a current version; 0 stands for an object that does not exist.
    pub fn is_met(self, current: u64) -> bool {
        match self {
            Self::Unconditional => true,
            Self::Absent => current == 0,
            Self::Version(version) => current == version && current != 0,
        }
    }
}
