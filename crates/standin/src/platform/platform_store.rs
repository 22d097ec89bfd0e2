//! Object store of the platform: paged lists, watches, a history that can be compacted, and faults.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use indexmap::IndexMap;
use percent_encoding::percent_decode_str;
use serde_json::Value;
use tokio::sync::watch;

use crate::http_server::AnswerWithheld;
use crate::http_server::HttpServer;
use crate::http_server::ServerBody;
use crate::http_server::ServerResult;
use crate::http_server::plain_answer;
use crate::http_server::query_number;
use crate::http_server::query_value;
use crate::http_server::whole_body;

/// Number of objects in one page of a list.
const PAGE_SIZE: usize = 3;
/// Number of changes kept for watches; a watch from before them gets 410.
const MAX_EVENTS: usize = 10_000;

/// Fault of the store; one at a time is in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// The store answers all calls normally.
    #[default]
    None,
    /// The store answers each call with 503.
    Busy,
    /// The store closes connections without an answer.
    Reset,
    /// Watches report no change until their wait ends; lists work.
    StalledWatches,
}

#[derive(Default)]
struct StoreTable {
    contents: StoreCopy,
    era: u64,
    fault: StoreFault,
    calls: u64,
}

/// Objects of a store with their history, as of some moment.
#[derive(Clone, Default)]
pub struct StoreCopy {
    revision: u64,
    objects: IndexMap<(Box<str>, Box<str>), RawObject>,
    events: VecDeque<(u64, Box<str>, Bytes)>,
    history_start: u64,
}

/// An object as the store sends it. Each field is sent byte for byte, so that it may hold what a JSON decoder rejects.
#[derive(Clone, Debug)]
pub struct RawObject {
    /// JSON text of the name.
    pub name: Bytes,
    /// JSON text of the revision.
    pub revision: Bytes,
    /// JSON text of the body.
    pub spec: Bytes,
}

/// Running stand-in for the platform's object store; dropping it stops the server.
pub struct PlatformStore {
    table: Arc<Mutex<StoreTable>>,
    changed: watch::Sender<u64>,
    server: HttpServer,
}

impl PlatformStore {
    /// Starts an empty store on a loopback address.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start() -> io::Result<Self> {
        let table = Arc::<Mutex<StoreTable>>::default();
        let changed = watch::Sender::new(0);
        let (shared_table, changes) = (Arc::clone(&table), changed.subscribe());
        let handler = move |request: Request<Incoming>| {
            serve(Arc::clone(&shared_table), changes.clone(), request)
        };
        let server = HttpServer::start(([127, 0, 0, 1], 0).into(), handler).await?;
        Ok(Self { table, changed, server })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Writes an object with this `spec` and returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let name_text = Value::from(name).to_string();
        let spec = spec.to_string();
        self.write(kind, name, |revision| RawObject::new(name_text, revision, spec))
    }

    /// Writes an object with this body, which is sent byte for byte, and returns its revision.
    pub fn put_raw(&self, kind: &str, name: &str, spec: impl Into<Bytes>) -> u64 {
        let (name_text, spec) = (Value::from(name).to_string(), spec.into());
        self.write(kind, name, |revision| RawObject::new(name_text, revision, spec))
    }

    /// Writes an object that is sent byte for byte. `name` is its place in the lists.
    pub fn put_object(&self, kind: &str, name: &str, object: RawObject) -> u64 {
        self.write(kind, name, |_| object)
    }

    fn write(&self, kind: &str, name: &str, object: impl FnOnce(u64) -> RawObject) -> u64 {
        let mut table = lock_table(&self.table);
        let contents = &mut table.contents;
        contents.revision += 1;
        let revision = contents.revision;
        let object = object(revision);
        contents.record_event(kind, object.event(false));
        contents.objects.insert((kind.into(), name.into()), object);
        drop(table);
        self.changed.send_replace(revision);
        revision
    }

    /// Removes an object and reports the removal to watches; does nothing if it does not exist.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut table = lock_table(&self.table);
        let contents = &mut table.contents;
        let Some(object) = contents.objects.shift_remove(&(kind.into(), name.into())) else {
            return;
        };
        contents.revision += 1;
        let revision = contents.revision;
        let object = RawObject { revision: revision.to_string().into(), ..object };
        contents.record_event(kind, object.event(true));
        drop(table);
        self.changed.send_replace(revision);
    }

    /// Drops the history of changes; watches from an earlier revision get 410.
    pub fn compact(&self) {
        let contents = &mut lock_table(&self.table).contents;
        contents.events.clear();
        contents.history_start = contents.revision + 1;
    }

    /// Copies all objects and their history, from which the store may come back later.
    pub fn copy(&self) -> StoreCopy {
        lock_table(&self.table).contents.clone()
    }

    /// Replaces all contents by a copy, as if nothing had been written since it was taken, and begins a new era.
    pub fn restore(&self, copy: StoreCopy) {
        let mut table = lock_table(&self.table);
        table.contents = copy;
        table.era += 1;
        let era = table.era;
        drop(table);
        self.changed.send_replace(era);
    }

    /// Sets the fault in force; it applies at once to watches that are waiting.
    pub fn set_fault(&self, fault: StoreFault) {
        let mut table = lock_table(&self.table);
        table.fault = fault;
        let revision = table.contents.revision;
        drop(table);
        self.changed.send_replace(revision);
    }

    /// Names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<Box<str>> {
        let table = lock_table(&self.table);
        let keys = table.contents.objects.keys().filter(|key| &*key.0 == kind);
        keys.map(|key| key.1.clone()).collect()
    }

    /// Number of calls since the start, failed ones included.
    pub fn calls(&self) -> u64 {
        lock_table(&self.table).calls
    }
}

impl RawObject {
    fn new(name: String, revision: u64, spec: impl Into<Bytes>) -> Self {
        Self { name: name.into(), revision: revision.to_string().into(), spec: spec.into() }
    }

    fn text(&self) -> Vec<u8> {
        let Self { name, revision, spec } = self;
        let parts: [&[u8]; 7] = [
            b"{\"metadata\":{\"name\":",
            name,
            b",\"revision\":",
            revision,
            b",\"finalizers\":[],\"deleting\":false},\"spec\":",
            spec,
            b",\"status\":null}",
        ];
        parts.concat()
    }

    fn event(&self, is_deleted: bool) -> Bytes {
        let head = format!("{{\"deleted\":{is_deleted},\"object\":");
        [head.as_bytes(), &self.text(), b"}"].concat().into()
    }
}

impl StoreCopy {
    fn record_event(&mut self, kind: &str, event: Bytes) {
        self.events.push_back((self.revision, kind.into(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
            self.history_start = self.events.front().map_or(self.revision, |event| event.0);
        }
    }

    fn list(&self, kind: &str, after: &str) -> Vec<u8> {
        let mut names: Vec<_> = self.objects.keys().filter(|key| &*key.0 == kind).collect();
        names.sort();
        let mut rest = names.into_iter().filter(|key| &*key.1 > after);
        let items: Vec<_> =
            rest.by_ref().take(PAGE_SIZE).map(|key| self.objects[key].text()).collect();
        let (more, revision) = (rest.next().is_some(), self.revision);
        let tail = format!("],\"more\":{more},\"current_rev\":{revision}}}");
        [b"{\"items\":[", items.join(&b',').as_slice(), tail.as_bytes()].concat()
    }

    /// Events of a kind after a revision; `None` if some of them have been dropped or the revision was never reached.
    fn events_after(&self, kind: &str, after: u64) -> Option<Vec<Bytes>> {
        if after + 1 < self.history_start || after > self.revision {
            return None;
        }
        let events = self.events.iter().filter(|event| event.0 > after && &*event.1 == kind);
        Some(events.map(|event| event.2.clone()).collect())
    }

    fn watch_text(&self, events: &[Bytes]) -> Vec<u8> {
        let tail = format!("],\"current_rev\":{}}}", self.revision);
        [b"{\"events\":[", events.join(&b',').as_slice(), tail.as_bytes()].concat()
    }
}

/// Answers a call and states the era in the answer.
async fn serve(
    table: Arc<Mutex<StoreTable>>,
    changes: watch::Receiver<u64>,
    request: Request<Incoming>,
) -> ServerResult {
    let mut answer = answer_call(Arc::clone(&table), changes, request).await?;
    let era = lock_table(&table).era;
    answer.headers_mut().insert("store-era", HeaderValue::from(era));
    Ok(answer)
}

async fn answer_call(
    table: Arc<Mutex<StoreTable>>,
    mut changes: watch::Receiver<u64>,
    request: Request<Incoming>,
) -> ServerResult {
    lock_table(&table).calls += 1;
    if request.method() != Method::GET {
        return write_object(&table, request).await;
    }
    let kind: Box<str> = match request.uri().path().strip_prefix("/objects/") {
        Some(kind) => kind.into(),
        None => return Ok(plain_answer(StatusCode::NOT_FOUND, "no such path")),
    };
    let Some(after) = query_number(&request, "watch") else {
        let table = lock_table(&table);
        let after = query_value(&request, "after").unwrap_or_default();
        let spaced = after.replace('+', " ");
        let after = percent_decode_str(&spaced).decode_utf8_lossy();
        return apply_fault(table.fault, list_answer(table.contents.list(&kind, &after)));
    };
    let wait = Duration::from_millis(query_number(&request, "wait_ms").unwrap_or(0));
    let end = tokio::time::Instant::now() + wait;
    loop {
        changes.mark_unchanged();
        {
            let table = lock_table(&table);
            let contents = &table.contents;
            let watch_reply = contents
                .events_after(&kind, after)
                .map(|events| (!events.is_empty()).then(|| contents.watch_text(&events)));
            match watch_reply {
                _ if table.fault == StoreFault::StalledWatches => {}
                _ if table.fault != StoreFault::None => {
                    return apply_fault(table.fault, plain_answer(StatusCode::OK, ""));
                }
                None => return Ok(plain_answer(StatusCode::GONE, "the history is gone")),
                Some(Some(watch_reply)) => return Ok(list_answer(watch_reply)),
                Some(None) => {}
            }
        }
        if tokio::time::timeout_at(end, changes.changed()).await.is_err() {
            let contents = &lock_table(&table).contents;
            return Ok(match contents.events_after(&kind, after) {
                None => plain_answer(StatusCode::GONE, "the history is gone"),
                Some(_) => list_answer(contents.watch_text(&[])),
            });
        }
    }
}

/// Creates, replaces or deletes an object of a caller. Watches are not told, as no part of the state is written so.
async fn write_object(table: &Mutex<StoreTable>, request: Request<Incoming>) -> ServerResult {
    let fault = lock_table(table).fault;
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| AnswerWithheld)?.to_bytes();
    let object: Value = serde_json::from_slice(&body).unwrap_or_default();
    let path = parts.uri.path().strip_prefix("/objects/").unwrap_or_default();
    let named = object["metadata"]["name"].as_str().unwrap_or_default();
    let (kind, name) = path.split_once('/').unwrap_or((path, named));
    let key = (Box::<str>::from(kind), Box::<str>::from(name));
    if fault != StoreFault::None {
        return apply_fault(fault, plain_answer(StatusCode::OK, ""));
    }
    let contents = &mut lock_table(table).contents;
    let is_known = contents.objects.contains_key(&key);
    let status = match parts.method {
        Method::POST if is_known => StatusCode::CONFLICT,
        Method::PUT | Method::DELETE if !is_known => StatusCode::NOT_FOUND,
        Method::DELETE => {
            contents.objects.shift_remove(&key);
            StatusCode::OK
        }
        _ => {
            contents.revision += 1;
            let name = Value::from(&*key.1).to_string();
            let object = RawObject::new(name, contents.revision, object["spec"].to_string());
            contents.objects.insert(key, object);
            StatusCode::OK
        }
    };
    Ok(plain_answer(status, "{}"))
}

fn list_answer(text: Vec<u8>) -> Response<ServerBody> {
    Response::new(whole_body(text))
}

fn apply_fault(fault: StoreFault, response: Response<ServerBody>) -> ServerResult {
    match fault {
        StoreFault::None | StoreFault::StalledWatches => Ok(response),
        StoreFault::Busy => Ok(plain_answer(StatusCode::SERVICE_UNAVAILABLE, "busy")),
        StoreFault::Reset => Err(AnswerWithheld),
    }
}

fn lock_table(table: &Mutex<StoreTable>) -> MutexGuard<'_, StoreTable> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}
