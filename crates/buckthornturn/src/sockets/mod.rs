//! Sockets of outgoing connections: how they end, and what their kernel state tells about the other end.

mod idle_socket;
mod kernel_probe;
mod outgoing_stream;
mod peer_watch;
mod request_socket;
mod send_state;
mod socket_option;

pub use idle_socket::IdleSocket;
pub use kernel_probe::KernelProbe;
pub use outgoing_stream::OutgoingStream;
pub use request_socket::RequestSocket;
pub use send_state::SendState;
pub(crate) use socket_option::SocketOption;
pub(crate) use socket_option::set_no_delay;
