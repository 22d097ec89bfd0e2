//! Identity of a request that comes again under another attempt id, at this host or at another one.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Most bytes at the start of a body that count towards its digest, so that a long body need not be held.
pub const MAX_DIGESTED_BYTES: usize = 16 << 10;

/// Digests by which hosts recognize a request: the same for two requests of one customer with the same method, host, path,
/// query and body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct RequestFingerprint {
    /// Digest of everything but the body.
    pub head: u64,
    /// Digest of the body, by [`digest_body`].
    pub body: u64,
}

/// What a request asks for and who asks, without its body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestHead<'a> {
    /// Customer whose key came with the request; `None` for a request without a key.
    pub customer: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the caller named.
    pub host: &'a str,
    /// Path with the query.
    pub path: &'a str,
}

impl RequestHead<'_> {
    /// Returns the digest of the head.
    pub fn digest(&self) -> u64 {
        let mut hash = Sha256::new();
        hash.update([u8::from(self.customer.is_some())]);
        for text in [self.customer.unwrap_or_default(), self.method, self.host, self.path] {
            hash.update((text.len() as u64).to_be_bytes());
            hash.update(text);
        }
        first_bytes(hash)
    }
}

/// Returns the digest of a body from its parts in order, of which the first `MAX_DIGESTED_BYTES` count, and from the length
/// that its sender declared.
pub fn digest_body<'a>(
    parts: impl IntoIterator<Item = &'a [u8]>,
    declared_bytes: Option<u64>,
) -> u64 {
    let mut hash = Sha256::new();
    hash.update(declared_bytes.unwrap_or(u64::MAX).to_be_bytes());
    let mut left = MAX_DIGESTED_BYTES;
    for part in parts {
        let counted = part.get(..left).unwrap_or(part);
        hash.update(counted);
        left -= counted.len();
    }
    first_bytes(hash)
}

fn first_bytes(hash: Sha256) -> u64 {
    hash.finalize().iter().take(8).fold(0, |digest, byte| (digest << 8) | u64::from(*byte))
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}-{:016x}", self.head, self.body)
    }
}

impl From<(u64, u64)> for RequestFingerprint {
    fn from((head, body): (u64, u64)) -> Self {
        Self { head, body }
    }
}

impl From<RequestFingerprint> for (u64, u64) {
    fn from(fingerprint: RequestFingerprint) -> Self {
        (fingerprint.head, fingerprint.body)
    }
}
