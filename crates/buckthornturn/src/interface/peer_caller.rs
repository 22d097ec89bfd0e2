//! Remote calls between hosts.

use std::sync::Arc;
use std::time::Duration;

use coordination::ids::HostId;
use futures::future::BoxFuture;
use snafu::Snafu;

use crate::interface::MemberView;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;

/// Reason why a call to a peer failed. The peer may have acted on the request nevertheless.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum PeerError {
    /// The peer is not a known member, or it cannot be reached.
    #[snafu(display("host {peer} cannot be reached: {reason}"))]
    Unreachable {
        /// Host that was called.
        peer: HostId,
        /// Cause as reported by the transport.
        reason: Box<str>,
    },
    /// The peer did not answer within the timeout.
    #[snafu(display("host {peer} did not answer in time"))]
    TimedOut {
        /// Host that was called.
        peer: HostId,
    },
    /// The peer refused the request, or its answer was invalid.
    #[snafu(display("host {peer} refused: {reason}"))]
    Refused {
        /// Host that was called.
        peer: HostId,
        /// Reason given by the peer, or what is invalid about its answer.
        reason: Box<str>,
    },
}

/// Sends requests to other hosts; implemented by the mesh.
pub trait PeerCaller: Send + Sync {
    /// Sends a request to a peer and waits at most `timeout` for its answer.
    fn call<'a>(
        &'a self,
        peer: &'a str,
        request: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<PeerReply, PeerError>>;

    /// Returns the current view of the fleet's members.
    fn members(&self) -> Arc<MemberView>;
}

/// Answers requests of other hosts. The mesh passes each kind of request to the handler registered for it.
pub trait PeerHandler: Send + Sync {
    /// Answers one request of the host `from`.
    fn handle(
        &self,
        from: HostId,
        request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>>;
}
