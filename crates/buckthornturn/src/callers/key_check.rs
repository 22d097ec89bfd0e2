//! Checks callers' keys against the hashes in force.

use coordination::ids::CustomerId;
use http::HeaderMap;
use http::header;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::configuration::ConfigurationState;

/// Form of a key: `bt_ID_SECRET`; the identifier selects the record, the hash of the whole is compared.
pub const KEY_PREFIX: &str = "bt_";

/// Result of looking at a request's key.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyCheck {
    /// No key was shown.
    Missing,
    /// The key is unknown, malformed or withdrawn.
    Invalid,
    /// The key acts for a customer.
    Valid {
        /// Identifier of the key.
        key: Box<str>,
        /// Customer.
        customer: CustomerId,
    },
}

impl KeyCheck {
    /// Looks at the `Authorization` header.
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

/// SHA-256 of a text, in lower-case hex.
pub fn key_hash(text: &str) -> Box<str> {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>().into()
}
