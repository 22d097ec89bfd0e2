//! Longest prefix match for one address family.

use std::ops::Range;

use crate::blocks::block_chunk::BlockChunk;
use crate::blocks::block_chunk::MAX_CHUNK_ENTRIES;
use crate::blocks::prefix_key::PrefixKey;
use crate::blocks::spanning_list::SpanningList;

const MIN_CHUNK_ENTRIES: usize = 32;

/// Number of leading address bits that select where the search for a chunk starts.
const INDEX_BITS: u32 = 16;

/// Prefixes of one address family, in chunks that clones share.
///
/// A chunk covers the addresses from its start to the next chunk's start. A prefix is stored in the chunk that covers
/// all of it, or else in the spanning list. A match in a chunk is therefore always longer than one in the list.
#[derive(Clone, Debug)]
pub(crate) struct PrefixTable {
    ranges: Vec<AddressRange>,
    /// For each value of the leading address bits, the number of chunks that start before it; the last entry is the
    /// number of all chunks.
    index: Vec<u32>,
    spanning: SpanningList,
    count: usize,
}

/// A chunk of prefixes and the first address that it covers.
#[derive(Clone, Debug, Default)]
struct AddressRange {
    start: u64,
    chunk: BlockChunk,
}

impl Default for PrefixTable {
    fn default() -> Self {
        Self {
            ranges: vec![AddressRange::default()],
            index: build_start_index(&[AddressRange::default()]),
            spanning: SpanningList::default(),
            count: 0,
        }
    }
}

impl PrefixTable {
    /// Creates a table from prefixes in any sequence; of equal prefixes the last one is used.
    pub(crate) fn new(mut prefixes: Vec<(PrefixKey, u16)>) -> Self {
        prefixes.sort_by_key(|(key, _)| *key);
        prefixes.reverse();
        prefixes.dedup_by_key(|(key, _)| *key);
        prefixes.reverse();
        let count = prefixes.len();
        let starts = chunk_starts(&prefixes);
        Self::from_chunk_starts(starts, prefixes, count)
    }

    /// Distributes sorted prefixes to chunks with the given first addresses.
    fn from_chunk_starts(starts: Vec<u64>, prefixes: Vec<(PrefixKey, u16)>, count: usize) -> Self {
        let mut ranges: Vec<AddressRange> = starts
            .iter()
            .map(|start| AddressRange { start: *start, ..Default::default() })
            .collect();
        let mut parts: Vec<Vec<(PrefixKey, u16)>> = vec![Vec::new(); starts.len()];
        let mut spanning = Vec::new();
        for (key, group) in prefixes {
            match covering_chunk(&ranges, key) {
                Some(index) => parts[index].push((key, group)),
                None => spanning.push((key, group)),
            }
        }
        for (range, part) in ranges.iter_mut().zip(&parts) {
            range.chunk = BlockChunk::new(part);
        }
        let index = build_start_index(&ranges);
        Self { ranges, index, spanning: SpanningList::new(spanning), count }
    }

    /// Group of the longest prefix that contains an address, or `None` if no prefix does.
    pub(crate) fn find_group(&self, address: u64) -> Option<u16> {
        let slot = (address >> (u64::BITS - INDEX_BITS)) as usize;
        let (low, high) = (self.index[slot] as usize, self.index[slot + 1] as usize);
        let after = low + self.ranges[low..high].partition_point(|range| range.start <= address);
        self.ranges[after.saturating_sub(1)]
            .chunk
            .find_group(address)
            .or_else(|| self.spanning.find_group(address))
    }

    /// Sets the group of a prefix, or removes the prefix if `group` is `None`. Returns the previous group.
    pub(crate) fn set_group(&mut self, key: PrefixKey, group: Option<u16>) -> Option<u16> {
        let previous = match covering_chunk(&self.ranges, key) {
            Some(index) => {
                let mut prefixes: Vec<_> = self.ranges[index].chunk.prefixes().collect();
                let previous = replace_group(&mut prefixes, key, group);
                match prefixes.len() > MAX_CHUNK_ENTRIES {
                    true => self.split_chunk(index, prefixes),
                    false => self.ranges[index].chunk = BlockChunk::new(&prefixes),
                }
                previous
            }
            None => {
                let mut prefixes: Vec<_> = self.spanning.prefixes().collect();
                let previous = replace_group(&mut prefixes, key, group);
                self.spanning = SpanningList::new(prefixes);
                previous
            }
        };
        self.count = self.count + usize::from(group.is_some()) - usize::from(previous.is_some());
        previous
    }

    /// Splits a chunk that got too large. Prefixes that reach across the cut move to the spanning list. A chunk without
    /// a place to cut stays whole.
    fn split_chunk(&mut self, index: usize, prefixes: Vec<(PrefixKey, u16)>) {
        let cut = best_cut(&prefixes, prefixes.len() / 4..prefixes.len() * 3 / 4);
        let cut = prefixes[cut].0.start;
        if cut <= self.ranges[index].start {
            self.ranges[index].chunk = BlockChunk::new(&prefixes);
            return;
        }
        let (low, high): (Vec<_>, Vec<_>) =
            prefixes.into_iter().partition(|(key, _)| key.start < cut);
        let (across, low): (Vec<_>, Vec<_>) =
            low.into_iter().partition(|(key, _)| key.end() >= cut);
        self.ranges[index].chunk = BlockChunk::new(&low);
        let range = AddressRange { start: cut, chunk: BlockChunk::new(&high) };
        self.ranges.insert(index + 1, range);
        self.index = build_start_index(&self.ranges);
        if !across.is_empty() {
            let spanning = self.spanning.prefixes().chain(across).collect();
            self.spanning = SpanningList::new(spanning);
        }
    }

    /// All prefixes with their groups, those of the chunks first.
    pub(crate) fn prefixes(&self) -> impl Iterator<Item = (PrefixKey, u16)> {
        let chunks = self.ranges.iter().flat_map(|range| range.chunk.prefixes());
        chunks.chain(self.spanning.prefixes())
    }

    /// Number of prefixes in the chunks and in the spanning list.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Memory used by the table, in bytes, without the overhead of the allocator.
    pub(crate) fn bytes(&self) -> usize {
        let chunks: usize = self.ranges.iter().map(|range| range.chunk.bytes()).sum();
        let ranges = self.ranges.len() * size_of::<AddressRange>();
        let index = self.index.len() * size_of::<u32>();
        chunks + ranges + index + self.spanning.bytes()
    }

    /// Number of chunks that two tables share, and number of all chunks.
    #[cfg(test)]
    pub(crate) fn shared_chunks(&self, other: &Self) -> (usize, usize) {
        let same = |range: &&AddressRange| {
            other.ranges.iter().any(|at| at.chunk.is_shared_with(&range.chunk))
        };
        (self.ranges.iter().filter(same).count(), self.ranges.len())
    }
}

/// Chooses the first addresses of the chunks for sorted prefixes.
fn chunk_starts(prefixes: &[(PrefixKey, u16)]) -> Vec<u64> {
    let mut starts = vec![0];
    let mut rest = prefixes;
    while rest.len() > MAX_CHUNK_ENTRIES {
        let cut = best_cut(rest, MIN_CHUNK_ENTRIES..MAX_CHUNK_ENTRIES * 3 / 4);
        starts.extend((cut > 0).then_some(rest[cut].0.start));
        rest = &rest[cut.max(1)..];
    }
    starts.dedup();
    starts
}

/// Index in `range` before which to cut so that the fewest prefixes reach across the cut; the last of equal ones.
fn best_cut(prefixes: &[(PrefixKey, u16)], range: Range<usize>) -> usize {
    let mut enclosing: Vec<PrefixKey> = Vec::new();
    let mut best = (usize::MAX, range.start);
    for (index, (key, _)) in prefixes.iter().enumerate().take(range.end) {
        while enclosing.pop_if(|before| !before.contains(key.start)).is_some() {}
        let first = enclosing.iter().all(|before| before.start < key.start);
        if first && index >= range.start && enclosing.len() <= best.0 {
            best = (enclosing.len(), index);
        }
        enclosing.push(*key);
    }
    best.1
}

/// Builds the index of chunks by leading address bits.
fn build_start_index(ranges: &[AddressRange]) -> Vec<u32> {
    let mut index = Vec::with_capacity((1 << INDEX_BITS) + 1);
    let mut before = 0;
    for slot in 0..1_u64 << INDEX_BITS {
        let first = slot << (u64::BITS - INDEX_BITS);
        while ranges.get(before).is_some_and(|range| range.start < first) {
            before += 1;
        }
        index.push(before as u32);
    }
    index.push(ranges.len() as u32);
    index
}

/// Index of the chunk that covers all of a prefix, or `None` if the prefix reaches across chunks.
fn covering_chunk(ranges: &[AddressRange], key: PrefixKey) -> Option<usize> {
    let index = ranges.partition_point(|range| range.start <= key.start).checked_sub(1)?;
    match ranges.get(index + 1) {
        Some(next) if key.end() >= next.start => None,
        _ => Some(index),
    }
}

/// Sets or removes a prefix in a sorted list. Returns the previous group.
fn replace_group(
    prefixes: &mut Vec<(PrefixKey, u16)>,
    key: PrefixKey,
    group: Option<u16>,
) -> Option<u16> {
    match (prefixes.binary_search_by_key(&key, |(key, _)| *key), group) {
        (Ok(index), Some(group)) => Some(std::mem::replace(&mut prefixes[index].1, group)),
        (Ok(index), None) => Some(prefixes.remove(index).1),
        (Err(index), Some(group)) => {
            prefixes.insert(index, (key, group));
            None
        }
        (Err(_), None) => None,
    }
}
