//! Keys of callers as they are stored.

use coordination::ids::CustomerId;
use coordination::ids::KeyId;
use serde::Deserialize;
use serde::Serialize;

/// A caller's key. Only its hash is stored, not its text.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    /// Public identifier of the key. Unlike the key's text it is not secret.
    pub id: KeyId,
    /// Customer whose limits apply to requests with the key.
    pub customer: CustomerId,
    /// SHA-256 of the whole key text, in lower-case hex digits.
    pub sha256: Box<str>,
    /// Whether the key was withdrawn. The record is kept after that, so that the key cannot become valid again.
    #[serde(default)]
    pub withdrawn: bool,
}
