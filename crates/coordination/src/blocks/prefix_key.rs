//! Sort key of address prefixes.

/// First address of a prefix, left-aligned in 64 bits, and its length.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct PrefixKey {
    /// First address of the prefix.
    pub(crate) start: u64,
    /// Prefix length in bits, at most 64.
    pub(crate) length: u8,
}

impl PrefixKey {
    /// Last address of the prefix.
    pub(crate) fn end(self) -> u64 {
        self.start | u64::MAX.checked_shr(u32::from(self.length)).unwrap_or(0)
    }

    /// Whether the prefix contains an address.
    pub(crate) fn contains(self, address: u64) -> bool {
        (self.start..=self.end()).contains(&address)
    }
}
