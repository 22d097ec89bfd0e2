//! HTTP/1 connection to a target or to another host.

use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use snafu::Snafu;
use tokio_util::task::AbortOnDropHandle;

use crate::callers::TransferRecord;
use crate::callers::UploadBody;
use crate::callers::WholeUpload;
use crate::interface::StreamDialer;
use crate::sockets::IdleSocket;
use crate::sockets::OutgoingStream;
use crate::sockets::RequestSocket;
use crate::sockets::set_no_delay;

const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Answer of a target, whose body has not been read yet.
pub type TargetResponse = http::Response<Incoming>;

/// Reason why a connection to a target could not be opened. No byte of a request was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The target refused the connection or could not be reached.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// I/O error of the dialer or the socket.
        source: std::io::Error,
    },
    /// The connection was not established within the timeout.
    #[snafu(display("timed out while connecting"))]
    TimedOut,
    /// The HTTP client could not be started on the connection.
    #[snafu(display("cannot start HTTP: {source}"))]
    Handshake {
        /// Error of the HTTP client.
        source: hyper::Error,
    },
}

/// Names the coding of a body of unknown length. The HTTP client would leave the body out of a GET or HEAD otherwise.
fn set_chunked(headers: &mut HeaderMap) {
    headers.remove(header::CONTENT_LENGTH);
    headers.insert(header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
}

/// Whether a status is of a class that HTTP defines. The HTTP client also accepts statuses from 600 to 999.
pub fn has_known_class(status: StatusCode) -> bool {
    status.as_u16() < 600
}

/// Whether a connection failed because the other end went silent.
pub fn is_silent(error: &hyper::Error) -> bool {
    io_error_kind(error) == Some(ErrorKind::TimedOut)
}

/// Whether the other end closed a connection on which it owed an answer, without any byte of one.
pub fn is_closed_without_answer(error: &hyper::Error) -> bool {
    !is_silent(error) && !error.is_parse() && !error.is_user()
}

/// Kind of the I/O error behind an error of the HTTP client; `None` if it has another cause.
fn io_error_kind(error: &hyper::Error) -> Option<ErrorKind> {
    let source = error.source()?;
    source.downcast_ref::<std::io::Error>().map(std::io::Error::kind)
}

/// Reason why a request has no answer.
pub enum SendError {
    /// No byte of the request was written; its body can be sent over another connection.
    Unsent(WholeUpload),
    /// The request may have reached the target.
    Failed(hyper::Error),
}

/// State of a connection that may be given a request.
#[derive(Debug)]
pub struct Idle {
    socket: IdleSocket,
}

/// State of a connection whose request has an answer; the request may still be under way.
#[derive(Debug)]
pub struct Busy {
    socket: RequestSocket,
    transfer: Arc<TransferRecord>,
}

/// Connection to a target. Dropping an idle one closes it in order. Dropping a busy one, or what `send` returns, resets it, which
/// tells the target to stop working on the request and leaves no byte of that in the kernel.
pub struct TargetConnection<S> {
    sender: http1::SendRequest<UploadBody>,
    task: AbortOnDropHandle<()>,
    state: S,
}

impl TargetConnection<Idle> {
    /// Opens a connection. `on_protocol_error` is called if the target sends bytes that no request asked for. A connection
    /// that is reset or goes silent while idle is no fault of the target.
    ///
    /// # Errors
    ///
    /// Fails if the target refuses the connection or does not accept it within `timeout`.
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
        set_no_delay(&stream);
        let (stream, socket) = OutgoingStream::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake::<_, UploadBody>(TokioIo::new(stream))
            .await
            .context(HandshakeSnafu)?;
        let task = tokio::spawn(async move {
            match connection.await {
                Err(error) if io_error_kind(&error).is_none() => on_protocol_error(),
                _ => {}
            }
        });
        Ok(Self { sender, task: AbortOnDropHandle::new(task), state: Idle { socket } })
    }

    /// Whether another request may be sent: the last answer was read to its end, nothing came after it, and the
    /// target has not closed the connection.
    pub fn is_reusable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Whether the connection is closed and can carry no further request.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the head of the answer.
    pub async fn send(
        self,
        request: Request<WholeUpload>,
    ) -> Result<(TargetResponse, TargetConnection<Busy>), SendError> {
        let (mut head, upload) = request.into_parts();
        if upload.needs_chunks() {
            set_chunked(&mut head.headers);
        }
        let (body, transfer) = upload.into_body();
        let Self { mut sender, task, state } = self;
        let socket = state.socket.begin_request();
        match sender.try_send_request(Request::from_parts(head, body)).await {
            Ok(response) => {
                let state = Busy { socket, transfer };
                Ok((response, TargetConnection { sender, task, state }))
            }
            Err(mut error) => Err(match error.take_message() {
                Some(request) => SendError::Unsent(request.into_body().into_whole()),
                None => SendError::Failed(error.into_error()),
            }),
        }
    }
}

impl TargetConnection<Busy> {
    /// Whether the connection has taken the whole request.
    pub fn has_sent_request(&self) -> bool {
        self.state.transfer.is_complete()
    }

    /// Writes the rest of the request, whose answer was read to its end. `None` resets the connection: the body ended early,
    /// or the target takes no more of it.
    pub async fn finish_request(mut self) -> Option<TargetConnection<Idle>> {
        self.state.transfer.wait_until_ended().await;
        match self.sender.ready().await {
            Ok(()) => self.release(),
            Err(_) => None,
        }
    }

    /// Returns the connection for another request once the answer was read to its end. `None` resets it: the target still
    /// expects some of the request, and would read the next one as that.
    pub fn release(self) -> Option<TargetConnection<Idle>> {
        let Self { sender, task, state } = self;
        let Busy { socket, transfer } = state;
        transfer.is_complete().then(|| {
            let state = Idle { socket: socket.finish_request() };
            TargetConnection { sender, task, state }
        })
    }
}
