//! Why a body ended before its end.

use snafu::Snafu;

/// Why a body ended before its end. The other side sees a cut connection or a reset stream, never a whole body.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum BodyFault {
    /// The sender cut it or broke the protocol.
    #[snafu(display("the body was cut: {reason}"))]
    Truncated {
        /// What went wrong.
        reason: Box<str>,
    },
    /// The sender paused for too long.
    #[snafu(display("the sender paused for too long"))]
    Stalled,
    /// It is larger than the route allows.
    #[snafu(display("the body is larger than the route allows"))]
    TooLarge,
    /// The request has been given to another connection.
    #[snafu(display("the request was given to another connection"))]
    Superseded,
    /// The caller may no longer make this request.
    #[snafu(display("the caller may no longer make this request"))]
    Revoked,
}
