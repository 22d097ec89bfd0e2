//! Sockets of outgoing connections: how they end, and what their kernel state tells about the other end.

mod idle_socket;
mod outgoing_stream;
mod request_socket;
mod socket_option;

pub use idle_socket::IdleSocket;
pub use outgoing_stream::OutgoingStream;
pub use request_socket::RequestSocket;
pub(crate) use socket_option::SocketOption;
