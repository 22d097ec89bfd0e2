//! HTTP interface of the store and of its control paths.

use std::future::pending;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use buckthornturn::store::StoreCallKind;
use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::http_server::AnswerWithheld;
use crate::http_server::ServerBody;
use crate::http_server::ServerResult;
use crate::http_server::json_answer;
use crate::http_server::plain_answer;
use crate::http_server::query_number;
use crate::http_server::query_value;
use crate::http_server::whole_body;
use crate::store::CallCounters;
use crate::store::FaultPlan;
use crate::store::HostList;
use crate::store::ObjectTable;
use crate::store::TableError;
use crate::store::WriteCondition;
use crate::store::fault_plan::CallDecision;
use crate::store::fault_plan::FaultInjector;
use crate::store::object_table::ObjectBatch;

const MAX_VALUE_BYTES: usize = 1_000_000;
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
const DEFAULT_LIST_LIMIT: u64 = 100;
const CLIENT_HEADER: &str = "store-client";
const UNNAMED_CLIENT: &str = "unnamed";
const OBJECTS_PATH: &str = "/objects/";
const HOSTS_PATH: &str = "/hosts/";

/// Serves calls to the store, and control paths that set faults and read counters.
#[derive(Default)]
pub struct StoreService {
    table: Mutex<ObjectTable>,
    host_list: HostList,
    counters: CallCounters,
    faults: Mutex<FaultInjector>,
    version: watch::Sender<u64>,
}

impl StoreService {
    /// Host list that `GET /hosts` returns.
    pub fn host_list(&self) -> &HostList {
        &self.host_list
    }

    /// Counters of calls, those that met a fault included; control paths are not counted.
    pub fn counters(&self) -> &CallCounters {
        &self.counters
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, plan: FaultPlan) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = FaultInjector::new(plan);
    }

    /// Serves one request. Faults apply to calls but not to control paths.
    ///
    /// # Errors
    ///
    /// Fails if a fault withholds the answer; the connection is then closed.
    pub async fn serve(&self, request: Request<Incoming>) -> ServerResult {
        let kind = match (request.method(), request.uri().path()) {
            (&Method::GET, "/list") => StoreCallKind::List,
            (&Method::GET, "/watch") => StoreCallKind::Watch,
            (&Method::GET, "/hosts") => StoreCallKind::Hosts,
            (&Method::GET, path) if path.starts_with(OBJECTS_PATH) => StoreCallKind::Get,
            (&Method::PUT, path) if path.starts_with(OBJECTS_PATH) => StoreCallKind::Put,
            (&Method::DELETE, path) if path.starts_with(OBJECTS_PATH) => StoreCallKind::Delete,
            _ => return Ok(self.handle_control(request).await),
        };
        let client = client_name(&request);
        self.counters.record_call(kind, &client);
        let decision =
            self.faults.lock().unwrap_or_else(PoisonError::into_inner).decide_call(kind, &client);
        let is_answer_lost = match decision {
            CallDecision::Refused => {
                return Ok(plain_answer(StatusCode::SERVICE_UNAVAILABLE, "the store is down"));
            }
            CallDecision::Closed => return Err(AnswerWithheld),
            CallDecision::Unanswered => return pending().await,
            CallDecision::Accepted { delay, is_answer_lost } => {
                tokio::time::sleep(delay).await;
                is_answer_lost
            }
        };
        let response = self.execute_call(kind, request).await;
        match is_answer_lost {
            true => Err(AnswerWithheld),
            false => Ok(response),
        }
    }

    async fn execute_call(
        &self,
        kind: StoreCallKind,
        request: Request<Incoming>,
    ) -> Response<ServerBody> {
        match kind {
            StoreCallKind::Get => self.get(&request),
            StoreCallKind::Put => self.put(request).await,
            StoreCallKind::Delete => {
                let condition = WriteCondition::from_headers(request.headers());
                self.write(object_key(&request), None, condition)
            }
            StoreCallKind::List => self.list(&request),
            StoreCallKind::Watch => self.watch(&request).await,
            StoreCallKind::Hosts => json_answer(&Value::Array(self.host_list.rows(Instant::now()))),
        }
    }

    fn get(&self, request: &Request<Incoming>) -> Response<ServerBody> {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        match table.get(object_key(request)) {
            Some((version, value)) => with_etag(Response::new(whole_body(value)), version),
            None => plain_answer(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    async fn put(&self, request: Request<Incoming>) -> Response<ServerBody> {
        let (parts, body) = request.into_parts();
        let key = &parts.uri.path()[OBJECTS_PATH.len()..];
        match Limited::new(body, MAX_VALUE_BYTES).collect().await {
            Ok(value) => self.write(
                key,
                Some(value.to_bytes()),
                WriteCondition::from_headers(&parts.headers),
            ),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                plain_answer(StatusCode::PAYLOAD_TOO_LARGE, "the value is over 1 MB")
            }
            Err(_) => plain_answer(StatusCode::BAD_REQUEST, "the body was cut off"),
        }
    }

    fn write(
        &self,
        key: &str,
        value: Option<Bytes>,
        condition: WriteCondition,
    ) -> Response<ServerBody> {
        let status = if value.is_some() { StatusCode::OK } else { StatusCode::NO_CONTENT };
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        match table.write(key, value, condition) {
            Ok(version) => {
                self.version.send_replace(table.version());
                with_etag(plain_answer(status, ""), version)
            }
            Err(TableError::ConditionFailed { current }) => {
                let status = StatusCode::PRECONDITION_FAILED;
                with_etag(plain_answer(status, "the condition does not hold"), current)
            }
            Err(TableError::Compacted { .. }) => plain_answer(StatusCode::GONE, "compacted"),
        }
    }

    fn list(&self, request: &Request<Incoming>) -> Response<ServerBody> {
        let prefix = query_value(request, "prefix").unwrap_or_default();
        let after = query_value(request, "after").unwrap_or_default();
        let limit = query_number(request, "limit").unwrap_or(DEFAULT_LIST_LIMIT);
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let batch = table.list(prefix, after, limit as usize);
        drop(table);
        batch_answer(&batch)
    }

    async fn watch(&self, request: &Request<Incoming>) -> Response<ServerBody> {
        let prefix = query_value(request, "prefix").unwrap_or_default();
        let mut after = query_number(request, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_number(request, "wait_ms").unwrap_or(0));
        let end = tokio::time::Instant::now() + wait.min(MAX_WATCH_WAIT);
        let mut receiver = self.version.subscribe();
        loop {
            receiver.borrow_and_update();
            let changes = self
                .table
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .changes_after(prefix, after);
            match changes {
                Err(_) => {
                    let text = "the changes asked for are gone; list again";
                    return plain_answer(StatusCode::GONE, text);
                }
                Ok(batch) if !batch.objects.is_empty() => return batch_answer(&batch),
                Ok(batch) if tokio::time::Instant::now() >= end => return batch_answer(&batch),
                Ok(batch) => after = batch.version,
            }
            let _ = tokio::time::timeout_at(end, receiver.changed()).await;
        }
    }

    async fn handle_control(&self, request: Request<Incoming>) -> Response<ServerBody> {
        let method = request.method().clone();
        let path: Box<str> = request.uri().path().into();
        match (method, &*path) {
            (Method::GET, "/counters") => json_answer(&self.counters.report()),
            (Method::DELETE, "/counters") => {
                self.counters.reset();
                plain_answer(StatusCode::NO_CONTENT, "")
            }
            (Method::GET, "/faults") => {
                let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
                json_answer(&serde_json::to_value(faults.plan()).unwrap_or_default())
            }
            (Method::PUT, "/faults") => match read_json(request).await {
                Ok(plan) => {
                    self.set_faults(plan);
                    plain_answer(StatusCode::OK, "")
                }
                Err(response) => response,
            },
            (Method::PUT, "/hosts-lag") => match read_json::<Value>(request).await {
                Ok(body) => {
                    let lag = body["lag_ms"].as_u64().unwrap_or(0);
                    self.host_list.set_lag(Duration::from_millis(lag));
                    plain_answer(StatusCode::OK, "")
                }
                Err(response) => response,
            },
            (Method::PUT, path) if path.starts_with(HOSTS_PATH) => match read_json(request).await {
                Ok(row) => {
                    self.host_list.put_row(&path[HOSTS_PATH.len()..], row, Instant::now());
                    plain_answer(StatusCode::OK, "")
                }
                Err(response) => response,
            },
            (Method::DELETE, path) if path.starts_with(HOSTS_PATH) => {
                self.host_list.remove_row(&path[HOSTS_PATH.len()..], Instant::now());
                plain_answer(StatusCode::NO_CONTENT, "")
            }
            _ => plain_answer(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<ServerBody>> {
    let bad_request = |text: &str| {
        let mut response = Response::new(whole_body(text.to_owned()));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        response
    };
    let body = Limited::new(request.into_body(), MAX_VALUE_BYTES)
        .collect()
        .await
        .map_err(|error| bad_request(&error.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| bad_request(&error.to_string()))
}

fn client_name(request: &Request<Incoming>) -> Box<str> {
    request
        .headers()
        .get(CLIENT_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or(UNNAMED_CLIENT)
        .into()
}

fn object_key(request: &Request<Incoming>) -> &str {
    &request.uri().path()[OBJECTS_PATH.len()..]
}

fn batch_answer(batch: &ObjectBatch) -> Response<ServerBody> {
    let objects: Vec<Value> = batch
        .objects
        .iter()
        .map(|object| {
            let value = object.value.as_ref().map(|bytes| STANDARD.encode(bytes));
            json!({ "key": object.key, "version": object.version, "value": value })
        })
        .collect();
    json_answer(&json!({
        "version": batch.version, "objects": objects, "truncated": batch.is_truncated,
    }))
}

fn with_etag(mut response: Response<ServerBody>, version: u64) -> Response<ServerBody> {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(header::ETAG, value);
    }
    response
}
