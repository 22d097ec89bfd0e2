//! Checks callers' keys against the hashes in the configuration in force.

use coordination::ids::CustomerId;
use http::HeaderMap;
use http::header;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::configuration::ConfigurationState;

/// Prefix of a key, whose form is `bt_ID_SECRET`. The identifier selects the key's record; the hash covers the whole
/// key.
pub const KEY_PREFIX: &str = "bt_";

/// Result of checking the key of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyCheck {
    /// The request has no `Authorization` header.
    Missing,
    /// The key is unknown, malformed or withdrawn, its hash differs, or there are several `Authorization` headers.
    Invalid,
    /// The key is known, not withdrawn, and its hash matches.
    Valid {
        /// Identifier of the key, without prefix and secret.
        key: Box<str>,
        /// Customer that the key belongs to.
        customer: CustomerId,
    },
}

impl KeyCheck {
    /// Checks the key in the `Authorization` header, which must be a bearer token.
    pub fn from_headers(headers: &HeaderMap, state: &ConfigurationState) -> Self {
        let mut values = headers.get_all(header::AUTHORIZATION).iter();
        let (Some(value), None) = (values.next(), values.next()) else {
            return match headers.contains_key(header::AUTHORIZATION) {
                true => Self::Invalid,
                false => Self::Missing,
            };
        };
        let text = value.to_str().unwrap_or_default();
        match text.split_once(' ') {
            Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => {
                Self::from_key(key.trim(), state)
            }
            _ => Self::Invalid,
        }
    }

    fn from_key(key: &str, state: &ConfigurationState) -> Self {
        let id = match key.strip_prefix(KEY_PREFIX).and_then(|rest| rest.split_once('_')) {
            Some((id, _)) => id,
            None => return Self::Invalid,
        };
        match state.keys.get(id) {
            Some(record) if !record.withdrawn => {
                let hash = key_hash(key);
                match bool::from(hash.as_bytes().ct_eq(record.sha256.as_bytes())) {
                    true => Self::Valid { key: id.into(), customer: record.customer.clone() },
                    false => Self::Invalid,
                }
            }
            _ => Self::Invalid,
        }
    }
}

/// SHA-256 hash of a text, in lower-case hexadecimal digits.
pub fn key_hash(text: &str) -> Box<str> {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>().into()
}
