//! Operators and their permissions.

use serde::Deserialize;

/// An operator, the hash of its token, and its permissions.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name of the operator in the log.
    pub name: Box<str>,
    /// Role that determines the permitted requests.
    pub role: OperatorRole,
    /// SHA-256 of the operator's token, in lower-case hex digits.
    pub token_sha256: Box<str>,
}

/// Permissions of an operator. A later role includes the permissions of the earlier ones.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "snake_case")]
pub enum OperatorRole {
    /// May read the configuration and the status.
    Read,
    /// May change the configuration, drains and keys.
    Write,
}
