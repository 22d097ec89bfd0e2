//! Prefixes that reach across chunks.

use crate::blocks::prefix_key::PrefixKey;

/// Prefixes that no single chunk covers, sorted by first address and length. Their number is at most the number of
/// chunks times the depth of nesting.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SpanningList {
    entries: Vec<SpanningEntry>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct SpanningEntry {
    key: PrefixKey,
    group: u16,
    parent: Option<u32>,
}

impl SpanningList {
    /// Creates a list from prefixes in any sequence.
    pub(crate) fn new(mut prefixes: Vec<(PrefixKey, u16)>) -> Self {
        prefixes.sort_unstable();
        let mut entries: Vec<SpanningEntry> = Vec::with_capacity(prefixes.len());
        let mut enclosing: Vec<u32> = Vec::new();
        for (index, (key, group)) in prefixes.into_iter().enumerate() {
            let contains_start = |place: &mut u32| entries[*place as usize].key.contains(key.start);
            while enclosing.pop_if(|place| !contains_start(place)).is_some() {}
            entries.push(SpanningEntry { key, group, parent: enclosing.last().copied() });
            enclosing.push(index as u32);
        }
        Self { entries }
    }

    /// Group of the longest prefix of the list that contains an address, or `None` if no prefix does.
    pub(crate) fn find_group(&self, address: u64) -> Option<u16> {
        let after = self.entries.partition_point(|entry| entry.key.start <= address);
        let mut next = after.checked_sub(1);
        while let Some(entry) = next.map(|index| &self.entries[index]) {
            if entry.key.contains(address) {
                return Some(entry.group);
            }
            next = entry.parent.map(|index| index as usize);
        }
        None
    }

    /// All prefixes of the list with their groups, sorted by first address and length.
    pub(crate) fn prefixes(&self) -> impl Iterator<Item = (PrefixKey, u16)> {
        self.entries.iter().map(|entry| (entry.key, entry.group))
    }

    /// Memory allocated for the entries, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.entries.capacity() * size_of::<SpanningEntry>()
    }
}
