//! Steering groups by blocks of client addresses, looked up by longest prefix match.
//!
//! Blocks are sorted in chunks that clones of a table share. A change copies only one chunk (copy on write), so that
//! readers keep a consistent table and a new version is cheap.

mod block_chunk;
mod block_table;
mod client_block;
mod prefix_key;
mod prefix_table;
mod spanning_list;
#[cfg(test)]
mod tests;

pub use block_table::BlockTable;
pub use client_block::BlockError;
pub use client_block::ClientBlock;
