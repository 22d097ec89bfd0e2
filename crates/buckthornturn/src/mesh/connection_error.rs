//! Errors of connections between hosts.

use std::io;

use snafu::Snafu;

/// Why a connection, or a call on it, failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum ConnectionError {
    /// The connection was refused: no process listens at the address.
    #[snafu(display("the connection was refused"))]
    NotListening,
    /// Connecting failed for another reason, the TLS handshake included.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// Error of the dialer or of the TLS handshake.
        source: io::Error,
    },
    /// The peer did not answer in time; it may have acted on the request.
    #[snafu(display("no answer in time"))]
    TimedOut,
    /// The limit of pending calls to this peer, or of connections in all, is reached; nothing was sent.
    #[snafu(display("too many calls are waiting for this peer"))]
    TooManyCalls,
    /// The connection broke, or a message could not be encoded or decoded.
    #[snafu(display("{source}"))]
    Protocol {
        /// Error of the RPC library.
        source: capnp::Error,
    },
    /// The peer refused the request, or the request is larger than `MAX_MESSAGE_BYTES`.
    #[snafu(display("{reason}"))]
    Refused {
        /// Reason given by the peer.
        reason: Box<str>,
    },
}
