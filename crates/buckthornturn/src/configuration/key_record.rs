//! Key record.

use coordination::ids::CustomerId;
use coordination::ids::KeyId;
use serde::Deserialize;
use serde::Serialize;

/// A caller's key, kept as a hash.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRecord {
    /// Public identifier of the key.
    pub id: KeyId,
    /// Customer the key acts for.
    pub customer: CustomerId,
    /// SHA-256 of the whole key text, in lower-case hex.
    pub sha256: Box<str>,
    /// Whether the key has been withdrawn. A withdrawn record is kept, so that it cannot come back.
    #[serde(default)]
    pub withdrawn: bool,
}
