//! Counts of look-ups by block of caller addresses, and the hashes by which hosts are drawn.

use std::net::IpAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Number of counters; blocks whose hashes fall on the same one share it.
const COUNTER_COUNT: usize = 4_096;
/// Look-ups after which a block is spread over one shard more.
const LOOKUPS_PER_SHARD: u32 = 4;
/// Prefix length of a block of IPv4 addresses.
const IPV4_BLOCK_BITS: u32 = 24;
/// Prefix length of a block of IPv6 addresses.
const IPV6_BLOCK_BITS: u32 = 48;

/// Counts look-ups by block of caller addresses, so that a block with many look-ups is spread over several hosts while
/// the callers of a block with few keep their host.
pub(crate) struct BlockCounters {
    counters: Box<[AtomicU32]>,
}

impl Default for BlockCounters {
    fn default() -> Self {
        Self { counters: (0..COUNTER_COUNT).map(|_| AtomicU32::new(0)).collect() }
    }
}

impl BlockCounters {
    /// Counts a look-up and returns the shard of the block that it belongs to; always 0 for a block with few look-ups.
    pub(crate) fn count_lookup(&self, block: u64) -> u64 {
        let counter = &self.counters[block as usize % COUNTER_COUNT];
        let count = counter.fetch_add(1, Ordering::Relaxed);
        match count / LOOKUPS_PER_SHARD {
            0 => 0,
            full_shards => u64::from(count % (full_shards + 1)),
        }
    }

    /// Halves all counts, so that a block with fewer look-ups than before uses fewer shards again.
    pub(crate) fn halve_counts(&self) {
        for counter in &self.counters {
            counter.store(counter.load(Ordering::Relaxed) / 2, Ordering::Relaxed);
        }
    }
}

/// Hash of the block of an address: its first 24 bits for IPv4, 48 bits for IPv6. IPv4-mapped addresses count as IPv4.
pub(crate) fn block_hash(address: IpAddr) -> u64 {
    let bits = match address.to_canonical() {
        IpAddr::V4(address) => u64::from(u32::from(address) >> (32 - IPV4_BLOCK_BITS)),
        IpAddr::V6(address) => {
            let bits = u128::from(address) >> (128 - IPV6_BLOCK_BITS);
            1 << 63 | bits as u64
        }
    };
    mix_hashes(bits, 0)
}

/// Hash of a text. It is not seeded, so that every host computes the same.
pub(crate) fn hash_text(text: &str) -> u64 {
    text.bytes().fold(0, |hash, byte| mix_hashes(hash, u64::from(byte)))
}

/// Combines two numbers into a hash whose bits all depend on both.
pub(crate) fn mix_hashes(a: u64, b: u64) -> u64 {
    let mut value = a ^ b.wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_add(a << 6);
    value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
