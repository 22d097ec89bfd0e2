//! HTTP client for the operators' listener of a host.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::rt::Read;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::configuration::ConfigProblem;
use crate::error::Error;
use crate::error::RefusedSnafu;
use crate::tls::connect_tls;

/// Environment variable that holds the operator's token.
const TOKEN_VARIABLE: &str = "BUCKTHORNTURN_TOKEN";
/// Timeout of a call, from the connection to the end of the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer that is read; the whole configuration comes as one answer.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Client for the operators' listener of one host; each call opens a connection of its own.
pub(super) struct OperatorClient {
    host: SocketAddr,
    authority: Option<PathBuf>,
}

impl OperatorClient {
    /// Creates a client for the listener at `host`. With `authority`, a PEM file, calls use TLS and trust only that
    /// authority.
    pub(super) fn new(host: SocketAddr, authority: Option<PathBuf>) -> Self {
        Self { host, authority }
    }

    /// Calls the host and returns its answer. A call that fails or times out may still have taken effect.
    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Value,
    ) -> Result<Value, Error> {
        let exchange = self.exchange(method, path, body);
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(self.call_error(
                "no answer within the timeout; the request may still have taken effect",
            )),
        }
    }

    async fn exchange(&self, method: Method, path: &str, body: Value) -> Result<Value, Error> {
        let stream = TcpStream::connect(self.host)
            .await
            .map_err(|error| self.call_error(&error.to_string()))?;
        let (status, bytes) = match &self.authority {
            None => self.send(TokioIo::new(stream), method, path, body).await?,
            Some(authority) => {
                let stream = connect_tls(stream, self.host.ip(), authority)
                    .await
                    .map_err(|error| self.call_error(&error.to_string()))?;
                self.send(TokioIo::new(stream), method, path, body).await?
            }
        };
        let answer: Value =
            serde_json::from_slice(&bytes).map_err(|error| self.call_error(&error.to_string()))?;
        match status.is_success() {
            true => Ok(answer),
            false => Err(self.refusal_error(&answer)),
        }
    }

    async fn send<S: Read + Write + Unpin + Send + 'static>(
        &self,
        stream: S,
        method: Method,
        path: &str,
        body: Value,
    ) -> Result<(StatusCode, Bytes), Error> {
        let token = std::env::var(TOKEN_VARIABLE).unwrap_or_default();
        let (mut sender, connection) =
            http1::handshake(stream).await.map_err(|error| self.call_error(&error.to_string()))?;
        tokio::spawn(connection.map(drop));
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.host.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {token}"))
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| self.call_error(&error.to_string()))?;
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| self.call_error(&format!("no answer was received: {error}")))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| self.call_error(&format!("the answer ended early: {error}")))?;
        Ok((status, body.to_bytes()))
    }

    fn call_error(&self, reason: &str) -> Error {
        let reason = format!("{}: {reason}", self.host);
        RefusedSnafu { reason, problems: Vec::new() }.build()
    }

    fn refusal_error(&self, answer: &Value) -> Error {
        let problems: Vec<ConfigProblem> =
            serde_json::from_value(answer["problems"].clone()).unwrap_or_default();
        let reason = format!("{}: {}", self.host, answer["error"].as_str().unwrap_or("refused"));
        RefusedSnafu { reason, problems }.build()
    }
}
