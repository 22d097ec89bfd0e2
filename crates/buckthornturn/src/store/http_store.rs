//! `ObjectStore` over the HTTP interface of the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use coordination::ids::HostId;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use serde::Deserialize;

use crate::interface::ListedHost;
use crate::interface::ObjectStore;
use crate::interface::StoreError;
use crate::interface::StoredObject;
use crate::interface::StreamDialer;
use crate::interface::TcpDialer;
use crate::interface::WatchBatch;
use crate::settings::StoreSettings;
use crate::store::StoreCallKind;
use crate::store::StoreGuard;
use crate::store::connection_pool::ConnectionPool;
use crate::store::read_coalescer::ReadCoalescer;

/// Largest response body that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Client of the store. Clones share the connection pool, call budget and circuit breaker.
#[derive(Clone)]
pub struct HttpStore {
    host: HostId,
    address: SocketAddr,
    timeout: Duration,
    pool: Arc<ConnectionPool>,
    guard: Arc<StoreGuard>,
    list_reads: Arc<ReadCoalescer<Result<WatchBatch, StoreError>>>,
    host_list_reads: Arc<ReadCoalescer<Result<Vec<ListedHost>, StoreError>>>,
    object_reads: Arc<ReadCoalescer<Result<Option<StoredObject>, StoreError>>>,
}

/// A request to the store, kept so that it can be sent a second time on a new connection.
struct StoreCall<'a> {
    kind: StoreCallKind,
    path: &'a str,
    condition: Option<(header::HeaderName, Box<str>)>,
    body: Bytes,
    timeout: Duration,
}

#[derive(Deserialize)]
struct BatchAnswer {
    version: u64,
    objects: Vec<ObjectAnswer>,
}

#[derive(Deserialize)]
struct ObjectAnswer {
    key: Box<str>,
    version: u64,
    value: Option<Box<str>>,
}

#[derive(Deserialize)]
struct HostAnswer {
    host: HostId,
    failure_domain: Box<str>,
    region: Box<str>,
    mesh: SocketAddr,
    leaving: bool,
}

impl HttpStore {
    /// Creates a client that identifies itself to the store as `host`.
    pub fn new(host: HostId, settings: &StoreSettings) -> Self {
        Self {
            host,
            address: settings.address,
            timeout: settings.timeout(),
            pool: ConnectionPool::new(settings.address, TcpDialer::shared()),
            guard: Arc::new(StoreGuard::new(settings.calls_per_second)),
            list_reads: Arc::new(ReadCoalescer::new()),
            host_list_reads: Arc::new(ReadCoalescer::new()),
            object_reads: Arc::new(ReadCoalescer::new()),
        }
    }

    /// Replaces the dialer; the connection pool starts empty.
    pub fn with_dialer(self, dialer: Arc<dyn StreamDialer>) -> Self {
        Self { pool: ConnectionPool::new(self.address, dialer), ..self }
    }

    /// Guard of this client, which counts its calls and knows whether the store is reached.
    pub fn guard(&self) -> Arc<StoreGuard> {
        Arc::clone(&self.guard)
    }

    async fn call(&self, call: StoreCall<'_>) -> Result<Response<Bytes>, StoreError> {
        let kind = call.kind;
        self.guard.admit(kind, self.timeout).await?;
        let result = match self.exchange(&call, false).await {
            Ok(Err(StaleConnection)) => match self.exchange(&call, true).await {
                Ok(Err(StaleConnection)) => Err(unavailable("the store closed the connection")),
                Ok(Ok(response)) => Ok(response),
                Err(error) => Err(error),
            },
            Ok(Ok(response)) => Ok(response),
            Err(error) => Err(error),
        };
        match result {
            Ok(response) if response.status() == StatusCode::SERVICE_UNAVAILABLE => {
                self.guard.record_failure(kind);
                Err(unavailable("the store answered 503"))
            }
            Ok(response) => {
                self.guard.record_success();
                Ok(response)
            }
            Err(error) => {
                self.guard.record_failure(kind);
                Err(error)
            }
        }
    }

    /// Sends one call on one connection. A kept connection that the store had already closed gives `StaleConnection`
    /// rather than an error: no byte of the call was sent, so that it is safe to send it again.
    async fn exchange(
        &self,
        call: &StoreCall<'_>,
        must_be_new: bool,
    ) -> Result<Result<Response<Bytes>, StaleConnection>, StoreError> {
        let request = self.build_request(call)?;
        let acquired = self.pool.acquire(must_be_new, self.timeout).await;
        let mut connection = acquired.map_err(|reason| unavailable(&reason))?;
        let exchange = async {
            if connection.sender.ready().await.is_err() {
                return Ok(Err(StaleConnection));
            }
            let response = match connection.sender.send_request(request).await {
                Ok(response) => response,
                Err(error) if error.is_canceled() && connection.is_reused => {
                    return Ok(Err(StaleConnection));
                }
                Err(error) => return Err(answer_lost(&error.to_string())),
            };
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| answer_lost(&error.to_string()))?;
            Ok(Ok(Response::from_parts(parts, body.to_bytes())))
        };
        let answer = tokio::time::timeout(call.timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(answer_lost("the store did not answer in time")))?;
        if answer.is_ok() {
            self.pool.release(connection);
        }
        Ok(answer)
    }

    fn build_request(&self, call: &StoreCall<'_>) -> Result<Request<Full<Bytes>>, StoreError> {
        let method = match call.kind {
            StoreCallKind::Put => Method::PUT,
            StoreCallKind::Delete => Method::DELETE,
            _ => Method::GET,
        };
        let mut builder = Request::builder()
            .method(method)
            .uri(call.path)
            .header(header::HOST, self.address.to_string())
            .header("store-client", &*self.host);
        if let Some((name, value)) = &call.condition {
            builder = builder.header(name, &**value);
        }
        builder.body(Full::new(call.body.clone())).map_err(|error| unavailable(&error.to_string()))
    }

    async fn read(
        &self,
        kind: StoreCallKind,
        path: &str,
        timeout: Duration,
    ) -> Result<Response<Bytes>, StoreError> {
        let body = Bytes::new();
        self.call(StoreCall { kind, path, condition: None, body, timeout }).await
    }

    async fn read_batch(
        &self,
        kind: StoreCallKind,
        path: &str,
        timeout: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let response = self.read(kind, path, timeout).await?;
        if response.status() != StatusCode::OK {
            return Err(refused(path, &response));
        }
        let answer: BatchAnswer = serde_json::from_slice(response.body())
            .map_err(|error| answer_lost(&format!("unreadable answer: {error}")))?;
        let objects = answer.objects.into_iter().map(decode_object).collect::<Result<_, _>>()?;
        Ok(WatchBatch { version: answer.version, objects })
    }

    async fn get_object(self, key: Box<str>) -> Result<Option<StoredObject>, StoreError> {
        let path = format!("/objects/{key}");
        let response = self.read(StoreCallKind::Get, &path, self.timeout).await?;
        match response.status() {
            StatusCode::OK => Ok(Some(StoredObject {
                key,
                version: etag_version(&response)?,
                value: Some(response.into_body()),
            })),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(refused(&key, &response)),
        }
    }

    async fn get_hosts(self) -> Result<Vec<ListedHost>, StoreError> {
        let response = self.read(StoreCallKind::Hosts, "/hosts", self.timeout).await?;
        if response.status() != StatusCode::OK {
            return Err(refused("hosts", &response));
        }
        let answer: Vec<HostAnswer> = serde_json::from_slice(response.body())
            .map_err(|error| answer_lost(&format!("unreadable answer: {error}")))?;
        Ok(answer.into_iter().map(listed_host).collect())
    }

    async fn write(
        &self,
        kind: StoreCallKind,
        key: &str,
        body: Bytes,
        expected: Option<u64>,
    ) -> Result<Response<Bytes>, StoreError> {
        let condition = match expected {
            Some(version) => (header::IF_MATCH, format!("\"{version}\"").into()),
            None => (header::IF_NONE_MATCH, "*".into()),
        };
        let path = format!("/objects/{key}");
        let condition = Some(condition);
        let call = StoreCall { kind, path: &path, condition, body, timeout: self.timeout };
        let response = self.call(call).await?;
        if response.status() == StatusCode::PRECONDITION_FAILED {
            let current = etag_version(&response).unwrap_or_default();
            return Err(StoreError::Conflict { key: key.into(), current });
        }
        Ok(response)
    }
}

/// The store had closed the kept connection before any byte of the call was sent.
struct StaleConnection;

impl ObjectStore for HttpStore {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredObject>, StoreError>> {
        self.object_reads.read(key, self.clone().get_object(key.into())).boxed()
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        expected: Option<u64>,
    ) -> BoxFuture<'a, Result<u64, StoreError>> {
        async move {
            let response = self.write(StoreCallKind::Put, key, value, expected).await?;
            match response.status() {
                StatusCode::OK | StatusCode::CREATED => etag_version(&response),
                _ => Err(refused(key, &response)),
            }
        }
        .boxed()
    }

    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> BoxFuture<'a, Result<(), StoreError>> {
        async move {
            let write = self.write(StoreCallKind::Delete, key, Bytes::new(), Some(expected));
            let response = write.await?;
            match response.status() {
                StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
                _ => Err(refused(key, &response)),
            }
        }
        .boxed()
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreError>> {
        let path = format!("/list?prefix={prefix}&after={after}&limit={limit}");
        let store = self.clone();
        let key = path.clone();
        let read = async move { store.read_batch(StoreCallKind::List, &path, store.timeout).await };
        async move { self.list_reads.read(&key, read).await }.boxed()
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchBatch, StoreError>> {
        async move {
            let wait_ms = wait.as_millis();
            let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
            self.read_batch(StoreCallKind::Watch, &path, self.timeout + wait).await
        }
        .boxed()
    }

    fn hosts(&self) -> BoxFuture<'_, Result<Vec<ListedHost>, StoreError>> {
        self.host_list_reads.read("hosts", self.clone().get_hosts()).boxed()
    }
}

fn listed_host(answer: HostAnswer) -> ListedHost {
    ListedHost {
        host: answer.host,
        failure_domain: answer.failure_domain,
        region: answer.region,
        mesh: answer.mesh,
        leaving: answer.leaving,
    }
}

fn decode_object(answer: ObjectAnswer) -> Result<StoredObject, StoreError> {
    let value = match answer.value {
        Some(text) => {
            let bytes = STANDARD
                .decode(text.as_bytes())
                .map_err(|error| answer_lost(&format!("unreadable value: {error}")))?;
            Some(Bytes::from(bytes))
        }
        None => None,
    };
    Ok(StoredObject { key: answer.key, value, version: answer.version })
}

fn etag_version(response: &Response<Bytes>) -> Result<u64, StoreError> {
    response
        .headers()
        .get(header::ETAG)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim_matches('"').parse().ok())
        .ok_or_else(|| answer_lost("the ETag header has no version"))
}

fn refused(key: &str, response: &Response<Bytes>) -> StoreError {
    let text = String::from_utf8_lossy(response.body());
    let reason = format!("{}: {}", response.status(), text.chars().take(200).collect::<String>());
    StoreError::Refused { key: key.into(), reason: reason.into() }
}

fn unavailable(reason: &str) -> StoreError {
    StoreError::Unavailable { reason: reason.into() }
}

fn answer_lost(reason: &str) -> StoreError {
    StoreError::AnswerLost { reason: reason.into() }
}
