//! The platform's store as a source of state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coordination::ids::DomainId;
use coordination::ids::RegionId;
use coordination::ids::Revision;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde_json::Value;
use spdlog::warn;

use super::decode_configuration;
use super::decode_target;
use super::store_answer::ListAnswer;
use super::store_answer::StoreObject;
use super::store_answer::WatchAnswer;
use super::store_answer::WatchEvent;
use crate::interface::SourceError;
use crate::interface::StateBatch;
use crate::interface::StateChange;
use crate::interface::StatePart;
use crate::interface::StateSource;
use crate::interface::StreamDialer;
use crate::interface::UnavailableSnafu;
use crate::interface::UnreadableSnafu;
use crate::store::ConnectionPool;

/// Longest wait for an answer; the store answers in milliseconds, and seconds when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest answer that is read, in bytes; a page is about a megabyte.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Most pages of one list; with 500 objects a page more than any platform holds of a kind.
const MAX_PAGES: usize = 200;
/// The one object of the kind `config` that is in force.
const CONFIGURATION_NAME: &str = "main";

/// The platform's store as a source of state.
pub struct StoreSource {
    address: SocketAddr,
    pool: Arc<ConnectionPool>,
    regions: IndexMap<DomainId, RegionId>,
}

impl StoreSource {
    /// A source at the store's address. `regions` has the region of each failure domain.
    pub fn new(
        address: SocketAddr,
        regions: IndexMap<DomainId, RegionId>,
        dialer: Arc<dyn StreamDialer>,
    ) -> Self {
        Self { address, pool: ConnectionPool::new(address, dialer), regions }
    }

    async fn read_part(&self, part: StatePart) -> Result<StateBatch, SourceError> {
        let kind = kind_of(part);
        let mut batch = StateBatch::default();
        let mut after: Box<str> = "".into();
        for page in 0..MAX_PAGES {
            let path = match page {
                0 => format!("/objects/{kind}"),
                _ => format!("/objects/{kind}?after={after}"),
            };
            let answer: ListAnswer = self.call(&path, CALL_TIMEOUT).await?;
            if page == 0 {
                batch.revision = answer.current_rev;
            }
            for object in &answer.items {
                batch.latest = batch.latest.max(object.metadata.revision);
                batch.changes.extend(self.present(part, object));
            }
            match answer.items.last() {
                Some(last) if answer.more => after = last.metadata.name.clone(),
                _ => return Ok(batch),
            }
        }
        UnreadableSnafu { reason: format!("more than {MAX_PAGES} pages of {kind}") }.fail()
    }

    async fn watch_part(
        &self,
        part: StatePart,
        after: Revision,
        wait: Duration,
    ) -> Result<StateBatch, SourceError> {
        let (kind, wait_ms) = (kind_of(part), wait.as_millis());
        let path = format!("/objects/{kind}?watch={after}&wait_ms={wait_ms}");
        let answer: WatchAnswer = self.call(&path, wait + CALL_TIMEOUT).await?;
        let mut batch = StateBatch { revision: answer.current_rev, ..StateBatch::default() };
        for event in &answer.events {
            batch.latest = batch.latest.max(event.object.metadata.revision);
            batch.changes.extend(self.change(part, event));
        }
        Ok(batch)
    }

    fn change(&self, part: StatePart, event: &WatchEvent) -> Option<StateChange> {
        let name = &event.object.metadata.name;
        match part {
            _ if !event.deleted => self.present(part, &event.object),
            StatePart::Configuration => {
                warn!("the configuration was removed, the one in force stays", kv: { name: });
                None
            }
            StatePart::Targets => Some(StateChange::TargetGone(name.clone())),
            StatePart::ClosedDomains => Some(StateChange::DomainOpened(name.clone())),
        }
    }

    fn present(&self, part: StatePart, object: &StoreObject) -> Option<StateChange> {
        let name = &object.metadata.name;
        match part {
            StatePart::Configuration if &**name != CONFIGURATION_NAME => None,
            StatePart::Configuration => match decode_configuration(&object.spec) {
                Ok(configuration) => Some(StateChange::Configuration(configuration)),
                Err(reason) => {
                    let revision = object.metadata.revision;
                    warn!("configuration not understood, the one in force stays", kv: { revision:, reason: });
                    None
                }
            },
            StatePart::Targets if object.metadata.deleting => {
                Some(StateChange::TargetGone(name.clone()))
            }
            StatePart::Targets => match decode_target(name, &object.spec, &self.regions) {
                Ok(entry) => Some(StateChange::Target(entry)),
                Err(reason) => {
                    warn!("target entry not understood, left out", kv: { name:, reason: });
                    Some(StateChange::TargetGone(name.clone()))
                }
            },
            StatePart::ClosedDomains => Some(StateChange::DomainClosed(name.clone())),
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, SourceError> {
        let answer = tokio::time::timeout(timeout, self.exchange(path)).await;
        let body = answer.unwrap_or_else(|_| unavailable("no answer in time"))?;
        let value: Value =
            serde_json::from_slice(&body).map_err(|error| unreadable(&error.to_string()))?;
        serde_path_to_error::deserialize(value)
            .map_err(|error| unreadable(&format!("{}: {}", error.path(), error.inner())))
    }

    async fn exchange(&self, path: &str) -> Result<Bytes, SourceError> {
        match self.exchange_once(path, false).await {
            Err(SourceError::Unavailable { .. }) => self.exchange_once(path, true).await,
            result => result,
        }
    }

    /// Sends one call; all calls are reads, so that one on a kept connection that broke may be sent again on a fresh one.
    async fn exchange_once(&self, path: &str, fresh: bool) -> Result<Bytes, SourceError> {
        let lent = self.pool.lend(fresh, CALL_TIMEOUT).await;
        let mut connection = lent.or_else(|reason| unavailable(&reason))?;
        let request = Request::get(path)
            .header(header::HOST, self.address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| unreadable(&error.to_string()))?;
        let sent = connection.sender.send_request(request).await;
        let response = sent.or_else(|error| unavailable(&error.to_string()))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.or_else(|error| unavailable(&error.to_string()))?;
        self.pool.give_back(connection);
        match parts.status {
            StatusCode::OK => Ok(body.to_bytes()),
            StatusCode::GONE => Err(SourceError::HistoryGone),
            status => Err(SourceError::Refused { status: status.as_u16() }),
        }
    }
}

impl StateSource for StoreSource {
    fn read(&self, part: StatePart) -> BoxFuture<'_, Result<StateBatch, SourceError>> {
        self.read_part(part).boxed()
    }

    fn watch(
        &self,
        part: StatePart,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<StateBatch, SourceError>> {
        self.watch_part(part, after, wait).boxed()
    }
}

fn kind_of(part: StatePart) -> &'static str {
    match part {
        StatePart::Configuration => "config",
        StatePart::Targets => "servers",
        StatePart::ClosedDomains => "evacuations",
    }
}

fn unavailable<T>(reason: &str) -> Result<T, SourceError> {
    UnavailableSnafu { reason }.fail()
}

fn unreadable(reason: &str) -> SourceError {
    UnreadableSnafu { reason }.build()
}
