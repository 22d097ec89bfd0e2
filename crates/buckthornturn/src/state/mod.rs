//! Configuration and floor plans: appending changes to the log, distributing them to hosts, and the state in force.

mod change_pusher;
mod configuration_replica;
mod log_appender;
mod log_record;
mod peer_sync;
mod plan_store;
mod snapshot_manifest;
mod snapshot_store;
mod state_handler;
mod state_snapshot;
mod store_follower;
mod store_reader;

pub use change_pusher::ChangePusher;
pub use configuration_replica::ApplyOutcome;
pub use configuration_replica::ConfigurationReplica;
pub use log_appender::AppendTask;
pub use log_appender::LogAppender;
pub use log_appender::StateCheck;
pub use log_record::LOG_PREFIX;
pub use log_record::LogRecord;
pub use peer_sync::PeerSync;
pub use plan_store::PLAN_PREFIX;
pub use snapshot_store::SnapshotStore;
pub use state_handler::StateHandler;
pub use store_follower::StoreFollower;
pub use store_reader::StoreReader;
