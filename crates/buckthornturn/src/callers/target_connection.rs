//! One connection to a target.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use snafu::Snafu;
use tokio_util::task::AbortOnDropHandle;

use crate::callers::UploadBody;
use crate::interface::StreamDialer;

const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Answer of a target whose body is still to be read.
pub type TargetResponse = http::Response<Incoming>;

/// Why there is no connection to a target. No byte of a request was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The target does not accept connections.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// Cause.
        source: std::io::Error,
    },
    /// It did not accept in time.
    #[snafu(display("no connection in time"))]
    TimedOut,
    /// The HTTP client failed at its start.
    #[snafu(display("cannot start HTTP: {source}"))]
    Handshake {
        /// Cause.
        source: hyper::Error,
    },
}

/// A connection to a target. Dropping it closes it, which tells the target to stop working on the request.
pub struct TargetConnection {
    sender: http1::SendRequest<UploadBody>,
    _task: AbortOnDropHandle<()>,
}

impl TargetConnection {
    /// Opens a connection. `on_protocol_error` is called if the target sends bytes that no request asked for, or fails
    /// while idle.
    ///
    /// # Errors
    ///
    /// Fails if the target does not accept in time.
    pub async fn open(
        dialer: &dyn StreamDialer,
        address: SocketAddr,
        timeout: Duration,
        on_protocol_error: impl FnOnce() + Send + 'static,
    ) -> Result<Self, ConnectError> {
        let stream = match tokio::time::timeout(timeout, dialer.dial(address)).await {
            Ok(stream) => stream.context(ConnectSnafu)?,
            Err(_) => return TimedOutSnafu.fail(),
        };
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake::<_, UploadBody>(TokioIo::new(stream))
            .await
            .context(HandshakeSnafu)?;
        let task = tokio::spawn(async move {
            if connection.await.is_err() {
                on_protocol_error();
            }
        });
        Ok(Self { sender, _task: AbortOnDropHandle::new(task) })
    }

    /// Whether the last answer was read to its end, nothing came after it and the target has not closed.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Whether it is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request. An error holds the request if no byte of it was written.
    pub fn send(
        &mut self,
        request: Request<UploadBody>,
    ) -> impl Future<Output = Result<TargetResponse, TrySendError<Request<UploadBody>>>> + use<>
    {
        self.sender.try_send_request(request)
    }
}
