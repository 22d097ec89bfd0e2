//! Client block.

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

/// Why a text is no block.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum BlockError {
    /// Not an address and a length.
    #[snafu(display("`{text}` is no block: expected ADDRESS/LENGTH"))]
    Malformed {
        /// The text.
        text: Box<str>,
    },
    /// The length is too large.
    #[snafu(display("block `{text}` is too small: at most /{max_length}"))]
    TooLong {
        /// The text.
        text: Box<str>,
        /// Largest length.
        max_length: u8,
    },
    /// Bits beyond the length are set.
    #[snafu(display("block `{text}` has address bits set beyond its length"))]
    HostBits {
        /// The text.
        text: Box<str>,
    },
    /// There are too many groups.
    #[snafu(display("no more than {max_groups} groups can be told apart"))]
    TooManyGroups {
        /// Most groups.
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

    /// Whether it is an IPv4 prefix.
    pub fn is_ipv4(&self) -> bool {
        self.address.is_ipv4()
    }
}

/// An address, left-aligned in 64 bits; the second half of an IPv6 address does not count.
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

/// Bits of the first address beyond the length.
fn host_bits(block: ClientBlock) -> u64 {
    let mask = u64::MAX.checked_shr(u32::from(block.length)).unwrap_or(0);
    block.key().start & mask
}

impl fmt::Display for ClientBlock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.address, self.length)
    }
}
