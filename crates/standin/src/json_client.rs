//! An HTTP client for the operator API of hosts and for the control paths of the stand-ins, with JSON bodies.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpStream;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Reasons for which a call fails.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The TCP connection could not be opened.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// Address that was called.
        address: SocketAddr,
        /// Error of the system.
        source: std::io::Error,
    },
    /// The connection failed before the whole answer was read.
    #[snafu(display("the connection failed during the call of {address}{path}"))]
    Exchange {
        /// Address that was called.
        address: SocketAddr,
        /// Path of the request, with its query.
        path: Box<str>,
        /// Error of the HTTP connection.
        source: hyper::Error,
    },
    /// The path or the token contains characters that HTTP does not allow.
    #[snafu(display("the request for {path} is not valid HTTP"))]
    InvalidRequest {
        /// Path of the request, with its query.
        path: Box<str>,
        /// Part of the request that is invalid.
        source: http::Error,
    },
    /// The whole answer did not arrive within ten seconds.
    #[snafu(display("the call of {address}{path} timed out"))]
    Timeout {
        /// Address that was called.
        address: SocketAddr,
        /// Path of the request, with its query.
        path: Box<str>,
    },
    /// The status of the answer is not 2xx.
    #[snafu(display("{address}{path} answered {status}: {text}"))]
    Status {
        /// Address that was called.
        address: SocketAddr,
        /// Path of the request, with its query.
        path: Box<str>,
        /// Status of the answer.
        status: StatusCode,
        /// First 400 characters of the body.
        text: Box<str>,
    },
}

/// A client of one address, which opens a new connection for each call.
#[derive(Clone, Debug)]
pub struct JsonClient {
    address: SocketAddr,
    token: Option<Box<str>>,
}

impl JsonClient {
    /// Creates a client that sends no token, for the stand-ins.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, token: None }
    }

    /// Creates a client that sends `token` as a bearer token, for the operator API.
    pub fn with_token(address: SocketAddr, token: &str) -> Self {
        Self { address, token: Some(token.into()) }
    }

    /// Sends a request and returns the JSON body of the answer, or null if the body is not JSON. A null `body` sends none.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, the call times out or the status is not 2xx.
    pub async fn call(&self, method: Method, path: &str, body: Value) -> Result<Value, CallError> {
        let address = self.address;
        match tokio::time::timeout(CALL_TIMEOUT, self.call_once(method, path, body)).await {
            Ok(result) => result,
            Err(_) => TimeoutSnafu { address, path }.fail(),
        }
    }

    async fn call_once(&self, method: Method, path: &str, body: Value) -> Result<Value, CallError> {
        let address = self.address;
        let stream = TcpStream::connect(address).await.context(ConnectSnafu { address })?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .context(ExchangeSnafu { address, path })?;
        tokio::spawn(connection.map(drop));
        let body = if body.is_null() { Bytes::new() } else { body.to_string().into() };
        let mut builder =
            Request::builder().method(method).uri(path).header("host", address.to_string());
        if let Some(token) = &self.token {
            builder = builder.header("authorization", format!("Bearer {token}"));
        }
        let request = builder.body(Full::new(body)).context(InvalidRequestSnafu { path })?;
        let response =
            sender.send_request(request).await.context(ExchangeSnafu { address, path })?;
        let status = response.status();
        let bytes = response
            .into_body()
            .collect()
            .await
            .context(ExchangeSnafu { address, path })?
            .to_bytes();
        match status.is_success() {
            true => Ok(serde_json::from_slice(&bytes).unwrap_or(Value::Null)),
            false => {
                let text: String = String::from_utf8_lossy(&bytes).chars().take(400).collect();
                StatusSnafu { address, path, status, text }.fail()
            }
        }
    }
}
