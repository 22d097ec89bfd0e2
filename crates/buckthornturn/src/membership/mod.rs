//! Fleet membership: gossip heartbeats between hosts, combined with the platform's host list.

mod heartbeat_loop;
mod host_list_reader;
mod host_status;
mod member_actor;
mod member_handler;
#[cfg(test)]
mod tests;

pub use heartbeat_loop::HeartbeatLoop;
pub use heartbeat_loop::PeerHint;
pub use host_list_reader::HostListReader;
pub use host_status::HostIdentity;
pub use host_status::HostStatus;
pub use member_actor::MemberActor;
pub use member_handler::MemberHandler;
