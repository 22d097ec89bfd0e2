//! HTTP client for one address, for reads and for objects that are written now and then.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;

use crate::interface::StreamDialer;
use crate::store::ConnectionPool;

/// Longest wait for a connection; it allows for a few round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest response body that is read, in bytes; values and list pages are about a megabyte.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Sends requests to one address over pooled keep-alive connections.
pub(crate) struct HttpReader {
    address: SocketAddr,
    pool: Arc<ConnectionPool>,
}

impl HttpReader {
    pub(crate) fn new(address: SocketAddr, dialer: Arc<dyn StreamDialer>) -> Self {
        Self { address, pool: ConnectionPool::new(address, dialer) }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a GET request for `path`. If it fails for any reason, one for `repeat_path` is sent on a new connection; both
    /// attempts share `timeout`. The error is the reason as text.
    pub(crate) async fn get(
        &self,
        path: &str,
        repeat_path: &str,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Box<str>> {
        let read = async {
            match self.send_once(Method::GET, path, Bytes::new(), false).await {
                Err(_) => self.send_once(Method::GET, repeat_path, Bytes::new(), true).await,
                answer => answer,
            }
        };
        let answer = tokio::time::timeout(timeout, read).await;
        answer.unwrap_or_else(|_| Err("the request timed out".into()))
    }

    /// Sends a request that changes something, once and on a new connection. The error is the reason as text; the request
    /// may have taken effect then.
    pub(crate) async fn write(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<StatusCode, Box<str>> {
        let answer = tokio::time::timeout(timeout, self.send_once(method, path, body, true)).await;
        let answer = answer.unwrap_or_else(|_| Err("the request timed out".into()))?;
        Ok(answer.status())
    }

    async fn send_once(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        must_be_new: bool,
    ) -> Result<Response<Bytes>, Box<str>> {
        let mut connection = self.pool.acquire(must_be_new, CONNECT_TIMEOUT).await?;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string());
        if !body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request.body(Full::new(body)).map_err(error_text)?;
        let response = connection.sender.send_request(request).await.map_err(error_text)?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await.map_err(error_text)?;
        self.pool.release(connection);
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

fn error_text(error: impl std::fmt::Display) -> Box<str> {
    error.to_string().into()
}
