//! Objects of the platform's store that keep refused requests, one for each.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use coordination::fleet::CrashReport;
use coordination::fleet::RequestFingerprint;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::StoreSource;
use super::store_answer::ListAnswer;
use super::store_answer::StoreObject;
use super::whole_number::whole_number;
use crate::interface::ArchivedCrashes;
use crate::interface::CrashArchive;
use crate::interface::LoadedCrashes;
use crate::interface::SourceError;
use crate::interface::UnavailableSnafu;

/// Kind of the objects.
const KIND: &str = "crashing-requests";
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Body of an object, under `spec`.
#[derive(Deserialize)]
struct CrashDocument {
    report: CrashReport,
    #[serde(deserialize_with = "whole_number")]
    recorded_at_ms: u64,
}

impl StoreSource {
    /// Sends a call that changes the object of a request, and returns the status of the answer.
    async fn change_object(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<StatusCode, SourceError> {
        let bytes = match body {
            Value::Null => Bytes::new(),
            object => Bytes::from(object.to_string()),
        };
        let status = self.reader().write(method, path, bytes, CALL_TIMEOUT).await;
        status.or_else(|reason| UnavailableSnafu { reason }.fail())
    }

    async fn load_crashes(&self) -> Result<LoadedCrashes, SourceError> {
        // A host that starts may take an answer that is seconds old: the others tell it of later changes.
        let path = format!("/objects/{KIND}?stale_ok=1");
        let (era, answer) = self.get_json(&path, &path, CALL_TIMEOUT, ListAnswer::decode).await?;
        let mut loaded = LoadedCrashes::default();
        for item in &answer.items {
            let is_new = match item {
                Ok(object) => match decode_object(object) {
                    Ok(archived) => {
                        loaded.archived.push(archived);
                        continue;
                    }
                    Err(reason) => self.unreadable().report(KIND, era, object, &reason),
                },
                Err(entry) => self.unreadable().report_unnamed(KIND, era, entry),
            };
            loaded.unreadable += u64::from(is_new);
        }
        Ok(loaded)
    }

    async fn save_crashes(&self, archived: ArchivedCrashes) -> Result<(), SourceError> {
        let name = archived.report.fingerprint.to_string();
        let object = encode_object(&name, &archived);
        let path = format!("/objects/{KIND}");
        match self.change_object(Method::POST, &path, &object).await? {
            StatusCode::CONFLICT => {
                let path = format!("{path}/{name}");
                check_status(self.change_object(Method::PUT, &path, &object).await?)
            }
            status => check_status(status),
        }
    }

    async fn remove_crashes(&self, fingerprint: RequestFingerprint) -> Result<(), SourceError> {
        let path = format!("/objects/{KIND}/{fingerprint}");
        match self.change_object(Method::DELETE, &path, &Value::Null).await? {
            StatusCode::NOT_FOUND => Ok(()),
            status => check_status(status),
        }
    }
}

impl CrashArchive for StoreSource {
    fn load(&self) -> BoxFuture<'_, Result<LoadedCrashes, SourceError>> {
        self.load_crashes().boxed()
    }

    fn save(&self, archived: ArchivedCrashes) -> BoxFuture<'_, Result<(), SourceError>> {
        self.save_crashes(archived).boxed()
    }

    fn remove(&self, fingerprint: RequestFingerprint) -> BoxFuture<'_, Result<(), SourceError>> {
        self.remove_crashes(fingerprint).boxed()
    }
}

/// Decodes an object. The error has the path of the field and the reason.
fn decode_object(object: &StoreObject) -> Result<ArchivedCrashes, Box<str>> {
    let spec = object.spec.as_ref().map_err(Clone::clone)?;
    let document: CrashDocument = serde_path_to_error::deserialize(spec)
        .map_err(|error| Box::from(format!("{}: {}", error.path(), error.inner())))?;
    let since_epoch = Duration::from_millis(document.recorded_at_ms);
    let recorded_at = UNIX_EPOCH.checked_add(since_epoch).ok_or("recorded_at_ms: out of range")?;
    Ok(ArchivedCrashes { report: document.report, recorded_at })
}

fn encode_object(name: &str, archived: &ArchivedCrashes) -> Value {
    let since_epoch = archived.recorded_at.duration_since(SystemTime::UNIX_EPOCH);
    let recorded_at_ms = since_epoch.unwrap_or_default().as_millis() as u64;
    json!({
        "metadata": { "name": name, "finalizers": [], "deleting": false },
        "spec": { "report": archived.report, "recorded_at_ms": recorded_at_ms },
    })
}

fn check_status(status: StatusCode) -> Result<(), SourceError> {
    match status.is_success() {
        true => Ok(()),
        false => Err(SourceError::Refused { status: status.as_u16() }),
    }
}
