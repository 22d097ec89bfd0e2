//! RPC between hosts over capnp-rpc. It runs on a dedicated thread because the library's types are not `Send`.

mod connection_error;
mod decode_message;
mod decode_part;
mod encode_message;
mod encode_part;
#[allow(missing_docs, clippy::all, clippy::unwrap_used)]
#[rustfmt::skip]
mod mesh_capnp;
mod mesh_caller;
mod mesh_counters;
mod mesh_thread;
mod peer_link;
mod peer_registry;
mod peer_stream;
mod port_server;
mod request_kind;

pub(crate) use mesh_caller::AddressError;
pub use mesh_caller::MeshCaller;
pub use mesh_counters::KindCount;
pub use mesh_counters::MeshCounters;
pub use mesh_thread::MeshThread;
pub use peer_registry::PeerRegistry;
pub use request_kind::RequestKind;

/// Version of the message schema that this binary uses; sent in each request.
pub const MESSAGE_VERSION: u16 = 1;

/// Largest request that is sent and largest message that is read, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

#[cfg(test)]
mod tests;
