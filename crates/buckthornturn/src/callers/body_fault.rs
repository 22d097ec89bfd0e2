//! Reasons why a body ended early.

use snafu::Snafu;

/// Reason why a body ended early. The receiver sees a closed connection or a reset stream, never a body that looks
/// complete.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum BodyFault {
    /// The sender closed the connection or broke the protocol before the end of the body.
    #[snafu(display("the body ended early: {reason}"))]
    Truncated {
        /// Description of the error, for logs.
        reason: Box<str>,
    },
    /// The sender sent nothing for longer than the limit.
    #[snafu(display("the sender paused for too long"))]
    Stalled,
    /// The caller no longer waits for the rest of the body.
    #[snafu(display("the caller no longer waits for the rest of the body"))]
    Overdue,
    /// The body exceeds the size limit of the route.
    #[snafu(display("the body is larger than the route allows"))]
    TooLarge,
    /// The process has no memory for the start that is needed before a target is chosen.
    #[snafu(display("there is no memory for the start of the body"))]
    NoMemory,
    /// A later attempt reads the body now, over another connection.
    #[snafu(display("another attempt reads the body now"))]
    Superseded,
    /// A new configuration no longer allows the caller to make this request.
    #[snafu(display("the caller is no longer allowed to make this request"))]
    Revoked,
}
