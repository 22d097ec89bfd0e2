//! Lookup of steering groups by client address.

use std::net::IpAddr;
use std::sync::Arc;

use indexmap::IndexSet;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

use crate::blocks::BlockError;
use crate::blocks::ClientBlock;
use crate::blocks::block_chunk::MAX_GROUPS;
use crate::blocks::client_block::address_key;
use crate::blocks::prefix_table::PrefixTable;

/// Maps blocks of client addresses to steering groups. Clones share their chunks until they change.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    ipv4: Arc<PrefixTable>,
    ipv6: Arc<PrefixTable>,
    groups: Arc<IndexSet<Box<str>>>,
}

impl BlockTable {
    /// Creates a table from blocks in any sequence; of equal blocks the last one is used.
    ///
    /// # Errors
    ///
    /// Fails with `BlockError::TooManyGroups` if there are more groups than an entry can encode.
    pub fn new<'a>(
        blocks: impl IntoIterator<Item = (ClientBlock, &'a str)>,
    ) -> Result<Self, BlockError> {
        let mut groups = IndexSet::new();
        let (mut ipv4, mut ipv6) = (Vec::new(), Vec::new());
        for (block, name) in blocks {
            let group = intern_group(&mut groups, name)?;
            let family = if block.is_ipv4() { &mut ipv4 } else { &mut ipv6 };
            family.push((block.key(), group));
        }
        Ok(Self {
            ipv4: Arc::new(PrefixTable::new(ipv4)),
            ipv6: Arc::new(PrefixTable::new(ipv6)),
            groups: Arc::new(groups),
        })
    }

    /// Group of the longest block that contains an address, or `None` if no block does. IPv4-mapped IPv6 addresses count
    /// as IPv4.
    pub fn find_group(&self, address: IpAddr) -> Option<&str> {
        let address = address.to_canonical();
        let table = if address.is_ipv4() { &self.ipv4 } else { &self.ipv6 };
        let group = table.find_group(address_key(address))?;
        self.groups.get_index(usize::from(group)).map(|name| &**name)
    }

    /// Adds a block, or changes its group if the table has the block.
    ///
    /// # Errors
    ///
    /// Fails with `BlockError::TooManyGroups` if there are more groups than an entry can encode.
    pub fn insert(&mut self, block: ClientBlock, name: &str) -> Result<(), BlockError> {
        let group = match self.groups.get_index_of(name) {
            Some(index) => index as u16,
            None => intern_group(Arc::make_mut(&mut self.groups), name)?,
        };
        self.family_table(block).set_group(block.key(), Some(group));
        Ok(())
    }

    /// Removes a block. Returns whether the table had it.
    pub fn remove(&mut self, block: ClientBlock) -> bool {
        self.family_table(block).set_group(block.key(), None).is_some()
    }

    /// All blocks with the names of their groups, IPv4 first.
    pub fn blocks(&self) -> impl Iterator<Item = (ClientBlock, &str)> {
        let ipv4 = self.ipv4.prefixes().map(|prefix| (prefix, true));
        let ipv6 = self.ipv6.prefixes().map(|prefix| (prefix, false));
        ipv4.chain(ipv6).map(|((key, group), is_ipv4)| {
            let name = self.groups.get_index(usize::from(group)).map_or("", |name| name);
            (ClientBlock::from_key(key, is_ipv4), name)
        })
    }

    /// Number of blocks of both address families.
    pub fn len(&self) -> usize {
        self.ipv4.count() + self.ipv6.count()
    }

    /// Whether the table has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory used by the blocks, in bytes, without the names of groups and the overhead of the allocator.
    pub fn bytes(&self) -> usize {
        self.ipv4.bytes() + self.ipv6.bytes()
    }

    fn family_table(&mut self, block: ClientBlock) -> &mut PrefixTable {
        match block.is_ipv4() {
            true => Arc::make_mut(&mut self.ipv4),
            false => Arc::make_mut(&mut self.ipv6),
        }
    }

    /// Number of IPv4 chunks that two tables share, and number of all IPv4 chunks.
    #[cfg(test)]
    pub(crate) fn shared_chunks(&self, other: &Self) -> (usize, usize) {
        self.ipv4.shared_chunks(&other.ipv4)
    }
}

/// Returns the index of a group, and adds the group if it is new.
fn intern_group(groups: &mut IndexSet<Box<str>>, name: &str) -> Result<u16, BlockError> {
    match groups.get_index_of(name) {
        Some(index) => Ok(index as u16),
        None if groups.len() >= MAX_GROUPS => {
            Err(BlockError::TooManyGroups { max_groups: MAX_GROUPS })
        }
        None => Ok(groups.insert_full(name.into()).0 as u16),
    }
}

impl PartialEq for BlockTable {
    fn eq(&self, other: &Self) -> bool {
        let is_shared = Arc::ptr_eq(&self.ipv4, &other.ipv4)
            && Arc::ptr_eq(&self.ipv6, &other.ipv6)
            && Arc::ptr_eq(&self.groups, &other.groups);
        let sorted = |table: &Self| {
            let mut blocks: Vec<_> =
                table.blocks().map(|(block, name)| (block, Box::<str>::from(name))).collect();
            blocks.sort();
            blocks
        };
        is_shared || sorted(self) == sorted(other)
    }
}

impl Serialize for BlockTable {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.blocks().map(|(block, name)| (block.to_string(), name)))
    }
}

impl<'de> Deserialize<'de> for BlockTable {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let rows: Vec<(Box<str>, Box<str>)> = Vec::deserialize(deserializer)?;
        let blocks: Result<Vec<_>, _> =
            rows.iter().map(|(block, name)| Ok((block.parse()?, &**name))).collect();
        let blocks: Vec<(ClientBlock, &str)> =
            blocks.map_err(|error: BlockError| D::Error::custom(error))?;
        Self::new(blocks).map_err(D::Error::custom)
    }
}
