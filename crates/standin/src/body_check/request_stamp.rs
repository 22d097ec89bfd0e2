//! Description of a request by its caller.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use bytes::Bytes;
use sha2::Digest;
use sha2::Sha256;

use crate::body_check::body_store::keep_body;

/// Header that carries a [`RequestStamp`].
pub const STAMP_HEADER: &str = "x-test-body";

/// Method, path, query and body of a request, the last three as digests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestStamp {
    /// Method of the request.
    pub method: Box<str>,
    /// Length of the body, in bytes.
    pub length: u64,
    /// SHA-256 of the body, in lower-case hex.
    pub body: Box<str>,
    /// SHA-256 of path and query, in lower-case hex.
    pub target: Box<str>,
}

impl RequestStamp {
    /// Describes a request, and keeps its body so that a target of this process can say what differs.
    pub fn keeping(method: &str, target: &str, body: &Bytes) -> Self {
        let stamp = Self::new(method, target, body);
        keep_body(&stamp.body, body);
        stamp
    }

    /// Describes a request.
    pub fn new(method: &str, target: &str, body: &[u8]) -> Self {
        Self::from_digest(method, target, body.len() as u64, hex_digest(body))
    }

    /// Describes a request by the length and SHA-256 of its body.
    pub fn from_digest(method: &str, target: &str, length: u64, body: Box<str>) -> Self {
        Self { method: method.into(), length, body, target: hex_digest(target.as_bytes()) }
    }
}

impl Display for RequestStamp {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {} {} {}", self.method, self.length, self.body, self.target)
    }
}

impl FromStr for RequestStamp {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split(' ');
        let mut next = || parts.next().ok_or(());
        let method = next()?.into();
        let length = next()?.parse().map_err(drop)?;
        Ok(Self { method, length, body: next()?.into(), target: next()?.into() })
    }
}

fn hex_digest(bytes: &[u8]) -> Box<str> {
    Sha256::digest(bytes).iter().map(|byte| format!("{byte:02x}")).collect::<String>().into()
}
