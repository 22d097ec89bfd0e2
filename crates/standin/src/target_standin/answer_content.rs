//! Content of large answers, derived from the request's identifier.

use bytes::Bytes;
use bytes::BytesMut;
use sha2::Digest;
use sha2::Sha256;

/// Bytes derived from a request's identifier, so that a caller detects an answer that belongs to another request.
#[derive(Clone, Debug)]
pub struct AnswerContent {
    pattern: [u8; 32],
}

impl AnswerContent {
    /// Creates the content of the answer to a request.
    pub fn new(request_id: &str) -> Self {
        Self { pattern: Sha256::digest(request_id.as_bytes()).into() }
    }

    /// Returns `length` bytes of the content from an offset; the content has no end.
    pub fn bytes(&self, offset: u64, length: usize) -> Bytes {
        let mut bytes = BytesMut::with_capacity(length);
        bytes.extend((offset..offset + length as u64).map(|position| self.byte_at(position)));
        bytes.freeze()
    }

    /// Whether `bytes` equal the content at an offset.
    pub fn matches(&self, offset: u64, bytes: &[u8]) -> bool {
        bytes.iter().zip(offset..).all(|(byte, position)| *byte == self.byte_at(position))
    }

    fn byte_at(&self, position: u64) -> u8 {
        self.pattern[(position % 32) as usize].wrapping_add((position / 32) as u8)
    }
}
