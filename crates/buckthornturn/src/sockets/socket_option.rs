//! Options of sockets that a host can do without.

use std::io;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use socket2::SockRef;
use spdlog::warn;
use tokio::net::TcpStream;

static NO_DELAY: SocketOption = SocketOption::new("TCP_NODELAY");

/// Option of a socket that the system may not know. The connection is used without it.
pub(crate) struct SocketOption {
    name: &'static str,
    has_failed: AtomicBool,
}

impl SocketOption {
    pub(crate) const fn new(name: &'static str) -> Self {
        Self { name, has_failed: AtomicBool::new(false) }
    }

    /// Logs the first failure to set or read the option. Returns whether it succeeded.
    pub(crate) fn check(&self, result: io::Result<()>) -> bool {
        match result {
            Ok(()) => true,
            Err(error) => {
                if !self.has_failed.swap(true, Ordering::Relaxed) {
                    warn!("socket option not available", kv: { option = self.name, reason: = error });
                }
                false
            }
        }
    }
}

/// Sends small parts of requests at once, where the system knows the option.
pub(crate) fn set_no_delay(stream: &TcpStream) {
    NO_DELAY.check(SockRef::from(stream).set_tcp_nodelay(true));
}
