//! Compact storage of the prefixes in one address range.

use std::sync::Arc;

use crate::blocks::prefix_key::PrefixKey;

/// Maximum number of entries in a chunk. It must stay below `NO_PARENT`, as the parent index has 10 bits.
pub(crate) const MAX_CHUNK_ENTRIES: usize = 96;
const COLUMN_COUNT: usize = 3;
const PARENT_BITS: u32 = 10;
const LENGTH_BITS: u32 = 7;
const NO_PARENT: u32 = (1 << PARENT_BITS) - 1;
/// Maximum number of groups: the bits of an entry that are left for the group can encode no more.
pub(crate) const MAX_GROUPS: usize = 1 << (32 - PARENT_BITS - LENGTH_BITS);

/// Prefixes within one range of addresses, sorted by first address and length. Clones share the storage.
///
/// The storage is column-oriented: the high halves of all first addresses, then their low halves, then group, length and
/// parent packed into 32 bits. The search reads the first column, which holds the whole address for IPv4.
#[derive(Clone, Debug, Default)]
pub(crate) struct BlockChunk {
    columns: Arc<[u32]>,
}

impl BlockChunk {
    /// Creates a chunk from prefixes that are sorted by first address and length.
    pub(crate) fn new(prefixes: &[(PrefixKey, u16)]) -> Self {
        let mut packed: Vec<u32> = Vec::with_capacity(prefixes.len());
        let mut enclosing: Vec<usize> = Vec::new();
        for (index, (key, group)) in prefixes.iter().enumerate() {
            while enclosing.pop_if(|place| !prefixes[*place].0.contains(key.start)).is_some() {}
            packed.push(pack(*key, *group, enclosing.last().copied()));
            enclosing.push(index);
        }
        let highs = prefixes.iter().map(|(key, _)| (key.start >> u32::BITS) as u32);
        let lows = prefixes.iter().map(|(key, _)| key.start as u32);
        Self { columns: highs.chain(lows).chain(packed).collect() }
    }

    /// Group of the longest prefix of the chunk that contains an address, or `None` if no prefix does.
    pub(crate) fn find_group(&self, address: u64) -> Option<u16> {
        let (high, low) = ((address >> u32::BITS) as u32, address as u32);
        let highs = &self.columns[..self.count()];
        let mut after = highs.partition_point(|start| *start <= high);
        while after > 0 && highs[after - 1] == high && self.low(after - 1) > low {
            after -= 1;
        }
        let mut next = after.checked_sub(1);
        while let Some(index) = next {
            let packed = self.packed(index);
            if self.contains_address(index, length_of(packed), high, low) {
                return Some(group_of(packed));
            }
            next = parent_of(packed);
        }
        None
    }

    /// All prefixes of the chunk with their groups, sorted by first address and length.
    pub(crate) fn prefixes(&self) -> impl Iterator<Item = (PrefixKey, u16)> {
        (0..self.count()).map(|index| {
            let packed = self.packed(index);
            (self.key(index, packed), group_of(packed))
        })
    }

    /// Memory used by the columns and their reference counts, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        size_of_val(&*self.columns) + 2 * size_of::<usize>()
    }

    /// Whether two chunks share their storage.
    #[cfg(test)]
    pub(crate) fn is_shared_with(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.columns, &other.columns)
    }

    fn count(&self) -> usize {
        self.columns.len() / COLUMN_COUNT
    }

    fn low(&self, index: usize) -> u32 {
        self.columns[self.count() + index]
    }

    fn packed(&self, index: usize) -> u32 {
        self.columns[2 * self.count() + index]
    }

    fn key(&self, index: usize, packed: u32) -> PrefixKey {
        let start = u64::from(self.columns[index]) << u32::BITS | u64::from(self.low(index));
        PrefixKey { start, length: length_of(packed) as u8 }
    }

    /// Whether an entry contains an address. The low half is read only for prefixes longer than 32 bits.
    fn contains_address(&self, index: usize, length: u32, high: u32, low: u32) -> bool {
        let differing = self.columns[index] ^ high;
        match length {
            0..=u32::BITS => differing.leading_zeros() >= length,
            _ => differing == 0 && (self.low(index) ^ low).leading_zeros() >= length - u32::BITS,
        }
    }
}

/// Packs the group, the length and the index of the enclosing entry into 32 bits.
fn pack(key: PrefixKey, group: u16, parent: Option<usize>) -> u32 {
    let parent = parent.map_or(NO_PARENT, |index| index as u32);
    let length = u32::from(key.length) << PARENT_BITS;
    u32::from(group) << (PARENT_BITS + LENGTH_BITS) | length | parent
}

fn length_of(packed: u32) -> u32 {
    packed >> PARENT_BITS & ((1 << LENGTH_BITS) - 1)
}

fn group_of(packed: u32) -> u16 {
    (packed >> (PARENT_BITS + LENGTH_BITS)) as u16
}

fn parent_of(packed: u32) -> Option<usize> {
    match packed & NO_PARENT {
        NO_PARENT => None,
        index => Some(index as usize),
    }
}
