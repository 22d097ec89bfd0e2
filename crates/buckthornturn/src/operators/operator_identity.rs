//! Authentication of operators by their tokens.

use http::HeaderMap;
use http::header;
use subtle::ConstantTimeEq;

use crate::callers::key_hash;
use crate::settings::OperatorRole;
use crate::settings::OperatorSettings;

/// Authenticated sender of an operator request.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorIdentity {
    /// Name of the operator from the settings, used in the log.
    pub name: Box<str>,
    /// Role from the settings, which decides which requests are allowed.
    pub role: OperatorRole,
}

impl OperatorIdentity {
    /// Authenticates the bearer token of the `Authorization` header; `None` if it is missing, malformed or unknown. The
    /// comparison with each known hash takes constant time.
    pub fn authenticate(headers: &HeaderMap, operators: &[OperatorSettings]) -> Option<Self> {
        let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
        let (scheme, token) = text.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        let hash = key_hash(token.trim());
        let matches = |operator: &&OperatorSettings| -> bool {
            hash.as_bytes().ct_eq(operator.token_sha256.as_bytes()).into()
        };
        let operator = operators.iter().find(matches)?;
        Some(Self { name: operator.name.clone(), role: operator.role })
    }
}
