//! Content of large answers.

use bytes::Bytes;
use bytes::BytesMut;
use sha2::Digest;
use sha2::Sha256;

/// Bytes that follow from a request's identifier, so that a caller can tell a crossed answer from its own.
#[derive(Clone, Debug)]
pub struct AnswerContent {
    pattern: [u8; 32],
}

impl AnswerContent {
    /// Content of the answer to a request.
    pub fn new(request_id: &str) -> Self {
        Self { pattern: Sha256::digest(request_id.as_bytes()).into() }
    }

    /// Bytes of the content from an offset.
    pub fn bytes(&self, offset: u64, length: usize) -> Bytes {
        let mut bytes = BytesMut::with_capacity(length);
        bytes.extend((offset..offset + length as u64).map(|position| self.byte_at(position)));
        bytes.freeze()
    }

    /// Whether bytes at an offset are those of this content.
    pub fn matches(&self, offset: u64, bytes: &[u8]) -> bool {
        bytes.iter().zip(offset..).all(|(byte, position)| *byte == self.byte_at(position))
    }

    fn byte_at(&self, position: u64) -> u8 {
        self.pattern[(position % 32) as usize].wrapping_add((position / 32) as u8)
    }
}
