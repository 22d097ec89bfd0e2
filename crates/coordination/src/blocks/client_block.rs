//! Address block of clients and its text form.

use std::fmt;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::str::FromStr;

use snafu::OptionExt;
use snafu::Snafu;
use snafu::ensure;

use crate::blocks::prefix_key::PrefixKey;

const IPV4_BITS: u8 = 32;
const IPV6_BITS: u8 = 64;

/// Why a block, or a table of blocks, was rejected.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum BlockError {
    /// The text is not an address and a length separated by a slash.
    #[snafu(display("`{text}` is not a block: expected ADDRESS/LENGTH"))]
    Malformed {
        /// Text that was rejected.
        text: Box<str>,
    },
    /// The prefix length exceeds the maximum of the address family.
    #[snafu(display("block `{text}` has too long a prefix: at most /{max_length}"))]
    TooLong {
        /// Text that was rejected.
        text: Box<str>,
        /// Maximum prefix length of the address family, in bits.
        max_length: u8,
    },
    /// The address has bits set beyond the prefix length.
    #[snafu(display("block `{text}` has address bits set beyond its length"))]
    HostBits {
        /// Text that was rejected.
        text: Box<str>,
    },
    /// The table would have more groups than an entry can encode.
    #[snafu(display("a table holds at most {max_groups} groups"))]
    TooManyGroups {
        /// Maximum number of groups in a table.
        max_groups: usize,
    },
}

/// A block of client addresses: an IPv4 prefix, or an IPv6 prefix of at most 64 bits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClientBlock {
    address: IpAddr,
    length: u8,
}

impl ClientBlock {
    pub(crate) fn from_key(key: PrefixKey, ipv4: bool) -> Self {
        let address = match ipv4 {
            true => IpAddr::V4(Ipv4Addr::from((key.start >> 32) as u32)),
            false => IpAddr::V6(Ipv6Addr::from(u128::from(key.start) << 64)),
        };
        Self { address, length: key.length }
    }

    pub(crate) fn key(&self) -> PrefixKey {
        PrefixKey { start: address_key(self.address), length: self.length }
    }

    /// Whether the block is an IPv4 prefix; IPv6 otherwise.
    pub fn is_ipv4(&self) -> bool {
        self.address.is_ipv4()
    }
}

/// Address left-aligned in 64 bits; the second half of an IPv6 address is dropped.
pub(crate) fn address_key(address: IpAddr) -> u64 {
    match address {
        IpAddr::V4(address) => u64::from(u32::from(address)) << 32,
        IpAddr::V6(address) => (u128::from(address) >> 64) as u64,
    }
}

impl FromStr for ClientBlock {
    type Err = BlockError;

    fn from_str(text: &str) -> Result<Self, BlockError> {
        let malformed = || MalformedSnafu { text };
        let (address, length) = text.split_once('/').with_context(malformed)?;
        let address: IpAddr = address.parse().ok().with_context(malformed)?;
        let length: u8 = length.parse().ok().with_context(malformed)?;
        let max_length = if address.is_ipv4() { IPV4_BITS } else { IPV6_BITS };
        ensure!(length <= max_length, TooLongSnafu { text, max_length });
        let block = Self { address, length };
        let first = Self::from_key(block.key(), address.is_ipv4()).address;
        ensure!(first == address && host_bits(block) == 0, HostBitsSnafu { text });
        Ok(block)
    }
}

/// Bits of the first address beyond the prefix length, as far as the key holds them.
fn host_bits(block: ClientBlock) -> u64 {
    let mask = u64::MAX.checked_shr(u32::from(block.length)).unwrap_or(0);
    block.key().start & mask
}

impl fmt::Display for ClientBlock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.address, self.length)
    }
}
