//! Stand-in for the network between failure domains, with latency and partitions.

mod link_table;
mod relay_pump;
mod relayed_dialer;

pub use crate::network::link_table::LinkCut;
pub use crate::network::link_table::LinkLatency;
pub use crate::network::link_table::LinkTable;
pub use crate::network::relayed_dialer::RelayedDialer;
