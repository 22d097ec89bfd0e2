//! What the kernel knows of the bytes that a connection still has to send.

/// State of the bytes that were written to a connection, as the kernel sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendState {
    /// All bytes are acknowledged.
    Acknowledged,
    /// Sent bytes are not acknowledged yet.
    Unacknowledged,
    /// The other end has no room for more bytes, and the kernel probes for some.
    WindowClosed {
        /// Whether the last probe has been acknowledged, so that the other end is alive.
        is_answered: bool,
        /// Bytes that the other end has not acknowledged.
        queued_bytes: u64,
    },
}
