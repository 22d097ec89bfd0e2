//! Calls with JSON bodies to operators' listeners and stand-ins.

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

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The exchange broke off.
    #[snafu(display("the call of {address}{path} broke off"))]
    Exchange {
        /// Address.
        address: SocketAddr,
        /// Path.
        path: Box<str>,
        /// Cause.
        source: hyper::Error,
    },
    /// The request cannot be formed.
    #[snafu(display("the request for {path} cannot be formed"))]
    InvalidRequest {
        /// Path.
        path: Box<str>,
        /// Cause.
        source: http::Error,
    },
    /// No answer in time.
    #[snafu(display("no answer in time from {address}{path}"))]
    Timeout {
        /// Address.
        address: SocketAddr,
        /// Path.
        path: Box<str>,
    },
    /// An answer other than success.
    #[snafu(display("{address}{path} answered {status}: {text}"))]
    Status {
        /// Address.
        address: SocketAddr,
        /// Path.
        path: Box<str>,
        /// Status.
        status: StatusCode,
        /// Start of the body.
        text: Box<str>,
    },
}

/// A client of one address.
#[derive(Clone, Debug)]
pub struct JsonClient {
    address: SocketAddr,
    token: Option<Box<str>>,
}

impl JsonClient {
    /// A client without a token.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, token: None }
    }

    /// A client that shows an operator's token.
    pub fn with_token(address: SocketAddr, token: &str) -> Self {
        Self { address, token: Some(token.into()) }
    }

    /// Calls and returns the answer; null if it has no JSON body.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer in time or if it is not a success.
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
