//! Parts of a body that are kept so that it can be sent again.

use bytes::Bytes;
use bytes::BytesMut;

/// Smallest part that is kept as it was received, in bytes. It keeps the whole buffer alive into which it was read, so that
/// smaller ones are copied.
const MIN_KEPT_BYTES: usize = 8 << 10;
/// Largest part into which smaller ones are copied, in bytes.
const MAX_JOINED_BYTES: usize = 16 << 10;

/// Start of a body in parts, which take little more memory than their bytes.
#[derive(Debug, Default)]
pub(super) struct PartBuffer {
    parts: Vec<Bytes>,
    /// Copy of the small parts that came last, which counts as one part.
    tail: BytesMut,
    bytes: usize,
}

impl PartBuffer {
    /// Number of parts.
    pub(super) fn count(&self) -> usize {
        self.parts.len() + usize::from(!self.tail.is_empty())
    }

    /// Number of bytes of all parts.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Part by its place; `None` if there are fewer.
    pub(super) fn part(&mut self, place: usize) -> Option<Bytes> {
        if place == self.parts.len() {
            self.seal_tail();
        }
        self.parts.get(place).cloned()
    }

    /// Appends what was received behind the parts before it, all of which the reader has read.
    pub(super) fn append(&mut self, data: &Bytes) {
        self.bytes += data.len();
        let is_small = data.len() < MIN_KEPT_BYTES;
        if !is_small || self.tail.len() + data.len() > MAX_JOINED_BYTES {
            self.seal_tail();
        }
        match is_small {
            true => self.tail.extend_from_slice(data),
            false => self.parts.push(data.clone()),
        }
    }

    /// Content of the parts in order.
    pub(super) fn slices(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(|part| &**part).chain([&*self.tail])
    }

    fn seal_tail(&mut self) {
        if !self.tail.is_empty() {
            self.parts.push(std::mem::take(&mut self.tail).freeze());
        }
    }
}
