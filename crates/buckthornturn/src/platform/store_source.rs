//! Reads and watches the configuration, the targets and the closed failure domains in the platform's store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coordination::fleet::StateVersion;
use coordination::ids::DomainId;
use coordination::ids::Era;
use coordination::ids::RegionId;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use indexmap::IndexMap;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use spdlog::info;
use spdlog::warn;

use super::decode_configuration;
use super::decode_target;
use super::store_answer::ListAnswer;
use super::store_answer::StoreObject;
use super::store_answer::WatchAnswer;
use super::store_answer::WatchEvent;
use super::unreadable_entries::UnreadableEntries;
use crate::interface::SourceError;
use crate::interface::StateBatch;
use crate::interface::StateChange;
use crate::interface::StatePart;
use crate::interface::StateSource;
use crate::interface::StreamDialer;
use crate::interface::UnavailableSnafu;
use crate::interface::UnreadableSnafu;
use crate::store::HttpReader;

/// Timeout of a store call, on top of the requested wait of a watch. The store usually answers within milliseconds, but takes
/// seconds when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of pages read for one list. At 500 objects a page, no platform holds that many objects of one kind.
const MAX_LIST_PAGES: usize = 200;
/// Names the era of the store, which rises each time that it comes back from an older copy.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");
/// Name of the only object of the kind `config` that takes effect; others are ignored.
const CONFIGURATION_NAME: &str = "main";

/// State source that reads the platform's store over HTTP.
pub struct StoreSource {
    reader: HttpReader,
    regions: IndexMap<DomainId, RegionId>,
    /// Era of the latest answer that named one; it holds for answers that do not.
    era: AtomicU64,
    has_warned: AtomicBool,
    unreadable: UnreadableEntries,
}

impl StoreSource {
    /// Creates a source for the store at `address`. `regions` maps each failure domain to its region; targets of other failure
    /// domains are rejected.
    pub fn new(
        address: SocketAddr,
        regions: IndexMap<DomainId, RegionId>,
        dialer: Arc<dyn StreamDialer>,
    ) -> Self {
        Self {
            reader: HttpReader::new(address, dialer),
            regions,
            era: AtomicU64::new(0),
            has_warned: AtomicBool::new(false),
            unreadable: UnreadableEntries::default(),
        }
    }

    /// Reads all pages of a part. The batch has the revision of the first page, so that a watch from there sees every change
    /// made while later pages were read. Pages of two eras of the store are not joined.
    async fn read_part(&self, part: StatePart) -> Result<StateBatch, SourceError> {
        let kind = object_kind(part);
        let mut batch = StateBatch::default();
        let mut after: Box<str> = "".into();
        for page in 0..MAX_LIST_PAGES {
            let path = match page {
                0 => format!("/objects/{kind}"),
                _ => {
                    let after = utf8_percent_encode(&after, NON_ALPHANUMERIC);
                    format!("/objects/{kind}?after={after}")
                }
            };
            let (era, answer) =
                self.get_json(&path, &path, CALL_TIMEOUT, ListAnswer::decode).await?;
            if page == 0 {
                batch.revision = answer.current_rev;
                (batch.era, batch.latest_era) = (era, era);
            }
            if era != batch.era {
                return Err(SourceError::HistoryGone);
            }
            for item in &answer.items {
                match item {
                    Ok(object) => self.add_object(part, object, &mut batch),
                    Err(entry) => {
                        let is_new = self.unreadable.report_unnamed(kind, era, entry);
                        batch.unreadable += u64::from(is_new);
                    }
                }
            }
            // The next page begins again with the entries without a name behind the last one that has a name.
            match answer.items.into_iter().rev().find_map(Result::ok) {
                _ if !answer.more => return Ok(batch),
                Some(last) => after = last.name,
                None => {
                    let reason = format!("a page of {kind} without a readable name");
                    return UnreadableSnafu { reason }.fail();
                }
            }
        }
        UnreadableSnafu { reason: format!("more than {MAX_LIST_PAGES} pages of {kind}") }.fail()
    }

    async fn watch_part(
        &self,
        part: StatePart,
        after: StateVersion,
        wait: Duration,
    ) -> Result<StateBatch, SourceError> {
        let kind = object_kind(part);
        let path = |wait: Duration| {
            let (revision, wait_ms) = (after.revision, wait.as_millis());
            format!("/objects/{kind}?watch={revision}&wait_ms={wait_ms}")
        };
        // The store may have come back from a copy since the connection broke, which its next answer tells.
        let repeat_path = path(Duration::ZERO);
        let timeout = wait + CALL_TIMEOUT;
        let (era, answer) =
            self.get_json(&path(wait), &repeat_path, timeout, WatchAnswer::decode).await?;
        if era != after.era {
            return Err(SourceError::HistoryGone);
        }
        let mut batch = StateBatch {
            revision: answer.current_rev,
            era,
            latest_era: era,
            ..StateBatch::default()
        };
        for event in &answer.events {
            match event {
                Ok(event) => self.add_event(part, event, &mut batch),
                Err(entry) => {
                    let is_new = self.unreadable.report_unnamed(kind, era, entry);
                    batch.unreadable += u64::from(is_new);
                }
            }
        }
        Ok(batch)
    }

    /// Adds what a watch event changes. The configuration in force outlives the removal of its object.
    fn add_event(&self, part: StatePart, event: &WatchEvent, batch: &mut StateBatch) {
        if !event.deleted {
            return self.add_object(part, &event.object, batch);
        }
        let name = &event.object.name;
        let change = match part {
            StatePart::Configuration => {
                return warn!("the configuration was removed from the store; keeping the one in force", kv: { name: });
            }
            StatePart::Targets => StateChange::TargetGone(name.clone()),
            StatePart::ClosedDomains => StateChange::DomainOpened(name.clone()),
        };
        batch.latest = batch.latest.max(event.object.revision);
        batch.changes.push(change);
    }

    /// Adds what an object that the store holds changes. An object that cannot be decoded leaves the configuration in force,
    /// but removes a target. That a failure domain is closed depends on the name of the object alone.
    fn add_object(&self, part: StatePart, object: &StoreObject, batch: &mut StateBatch) {
        let StoreObject { name, revision, deleting, spec } = object;
        let spec = spec.as_ref().map_err(Clone::clone);
        let change = match part {
            StatePart::Configuration if &**name != CONFIGURATION_NAME => return,
            StatePart::Configuration => spec.and_then(|spec| {
                let configuration = decode_configuration(spec)?;
                Ok(StateChange::Configuration(Box::new(configuration)))
            }),
            StatePart::Targets if *deleting => Ok(StateChange::TargetGone(name.clone())),
            StatePart::Targets => spec.and_then(|spec| {
                Ok(StateChange::Target(decode_target(name, spec, &self.regions)?))
            }),
            StatePart::ClosedDomains => Ok(StateChange::DomainClosed(name.clone())),
        };
        let change = change.or_else(|reason| {
            let is_new = self.unreadable.report(object_kind(part), batch.era, object, &reason);
            batch.unreadable += u64::from(is_new);
            match part {
                StatePart::Targets => Ok(StateChange::TargetGone(name.clone())),
                _ => Err(reason),
            }
        });
        // A configuration that is not applied must not count as the latest one, or hosts that start would not read the one
        // in force from others.
        if let Ok(change) = change {
            batch.latest = batch.latest.max(*revision);
            batch.changes.push(change);
        }
    }

    /// Era of the store as of an answer. One that cannot be read counts as absent.
    fn answer_era(&self, headers: &HeaderMap) -> Era {
        match parse_era(headers) {
            Some(Ok(era)) => {
                let known = self.era.fetch_max(era, Ordering::Relaxed);
                if known < era {
                    info!("store names an era", kv: { era:, known: });
                }
                era
            }
            Some(Err(value)) => {
                if !self.has_warned.swap(true, Ordering::Relaxed) {
                    warn!("the store names an era that is no number", kv: { value: });
                }
                self.era.load(Ordering::Relaxed)
            }
            None => self.era.load(Ordering::Relaxed),
        }
    }

    pub(super) fn reader(&self) -> &HttpReader {
        &self.reader
    }

    /// Unreadable entries that were logged.
    pub(super) fn unreadable(&self) -> &UnreadableEntries {
        &self.unreadable
    }

    /// Sends a GET request, if it fails one for `repeat_path`, and decodes the body of the answer. Returns the era of the store
    /// with it. The status `410 Gone` means that the store no longer has the history of a watch.
    pub(super) async fn get_json<T>(
        &self,
        path: &str,
        repeat_path: &str,
        timeout: Duration,
        decode: impl Fn(&[u8]) -> Result<T, Box<str>>,
    ) -> Result<(Era, T), SourceError> {
        let answer = self.reader.get(path, repeat_path, timeout).await;
        let answer = answer.or_else(|reason| UnavailableSnafu { reason }.fail())?;
        let era = self.answer_era(answer.headers());
        match answer.status() {
            StatusCode::OK => {
                let decoded = decode(answer.body());
                let decoded = decoded.or_else(|reason| UnreadableSnafu { reason }.fail())?;
                Ok((era, decoded))
            }
            StatusCode::GONE => Err(SourceError::HistoryGone),
            status => Err(SourceError::Refused { status: status.as_u16() }),
        }
    }
}

/// Reads the era that an answer names; `None` if there is none.
fn parse_era(headers: &HeaderMap) -> Option<Result<Era, Box<str>>> {
    let value = headers.get(ERA_HEADER)?;
    let text = String::from_utf8_lossy(value.as_bytes());
    Some(text.trim().parse().map_err(|_| text.into()))
}

impl StateSource for StoreSource {
    fn read(&self, part: StatePart) -> BoxFuture<'_, Result<StateBatch, SourceError>> {
        self.read_part(part).boxed()
    }

    fn watch(
        &self,
        part: StatePart,
        after: StateVersion,
        wait: Duration,
    ) -> BoxFuture<'_, Result<StateBatch, SourceError>> {
        self.watch_part(part, after, wait).boxed()
    }
}

/// Kind of the store objects that hold a part of the state.
fn object_kind(part: StatePart) -> &'static str {
    match part {
        StatePart::Configuration => "config",
        StatePart::Targets => "servers",
        StatePart::ClosedDomains => "evacuations",
    }
}
