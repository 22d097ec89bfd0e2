//! Claims of idempotency keys in the object store.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use coordination::ids::HostId;
use coordination::outcome_table::KnownOutcome;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use spdlog::info;
use spdlog::warn;

use crate::callers::Refusal;
use crate::callers::StoredAnswer;
use crate::callers::StoredOutcome;
use crate::callers::key_hash;
use crate::interface::ObjectStore;
use crate::interface::StoreError;
use crate::interface::StoredObject;

const CLAIM_PREFIX: &str = "claim/";
const CLAIM_LIFETIME: Duration = Duration::from_secs(24 * 3_600);
const STORE_RETRY_AFTER: Duration = Duration::from_secs(1);
const WRITE_ATTEMPTS: u32 = 4;
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
const SWEEP_PAGE_OBJECTS: usize = 100;

/// Claims idempotency keys in the object store, so that only one request with the same key is sent, whichever host
/// receives it.
#[derive(Clone)]
pub struct ClaimLedger {
    store: Arc<dyn ObjectStore>,
    host: HostId,
}

/// Stored form of a claim. The `nonce` recognizes the host's own claim when the response to the write was lost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct ClaimRecord {
    host: HostId,
    nonce: Box<str>,
    expires_unix_ms: u64,
    outcome: Option<StoredOutcome>,
}

/// Result of claiming an idempotency key.
pub enum ClaimResult {
    /// The key was free and is now claimed; the request may be sent.
    Granted(ClaimGuard),
    /// The key was claimed before. The outcome is unknown while the first request runs, or if it was not recorded.
    Taken(KnownOutcome<StoredAnswer>),
}

/// Permission to send the request of a claimed key. If it is dropped without `release` or `settle`, the claim stays
/// without an outcome until it expires.
pub struct ClaimGuard {
    ledger: ClaimLedger,
    key: Box<str>,
    version: u64,
    record: ClaimRecord,
}

impl ClaimLedger {
    /// Creates a ledger in `store`; `host` is written into each claim.
    pub fn new(store: Arc<dyn ObjectStore>, host: HostId) -> Self {
        Self { store, host }
    }

    /// Claims an idempotency key in the scope of one customer and one service.
    ///
    /// # Errors
    ///
    /// Fails if it is not certain that the claim was stored; the request has not run.
    pub async fn claim(
        &self,
        customer: &str,
        service: &str,
        idempotency_key: &str,
    ) -> Result<ClaimResult, Refusal> {
        let key = format!("{CLAIM_PREFIX}{customer}/{service}/{}", key_hash(idempotency_key));
        let record = ClaimRecord {
            host: self.host.clone(),
            nonce: format!("{:032x}", rand::random::<u128>()).into(),
            expires_unix_ms: unix_time_ms() + CLAIM_LIFETIME.as_millis() as u64,
            outcome: None,
        };
        let new_guard = |version| ClaimGuard {
            ledger: self.clone(),
            key: key.as_str().into(),
            version,
            record: record.clone(),
        };
        match self.store.put(&key, encode(&record), None).await {
            Ok(version) => Ok(ClaimResult::Granted(new_guard(version))),
            Err(StoreError::Conflict { .. } | StoreError::AnswerLost { .. }) => {
                match self.read_claim(&key).await? {
                    (version, found) if found.nonce == record.nonce => {
                        Ok(ClaimResult::Granted(new_guard(version)))
                    }
                    (_, found) => Ok(ClaimResult::Taken(
                        found.outcome.map_or(KnownOutcome::Unknown, KnownOutcome::from),
                    )),
                }
            }
            Err(error) => Err(not_claimed(&error.to_string())),
        }
    }

    async fn read_claim(&self, key: &str) -> Result<(u64, ClaimRecord), Refusal> {
        let object = match self.store.get(key).await {
            Ok(Some(object)) => object,
            Ok(None) => return Err(not_claimed("the claim cannot be read back")),
            Err(error) => return Err(not_claimed(&error.to_string())),
        };
        let record =
            decode(&object).ok_or_else(|| not_claimed("the stored claim cannot be decoded"))?;
        Ok((object.version, record))
    }

    /// Deletes expired claims, one page of the store's list at a time. Runs until it is dropped.
    pub async fn sweep_expired(self) {
        let mut last_key: Box<str> = "".into();
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            last_key = match self.store.list(CLAIM_PREFIX, &last_key, SWEEP_PAGE_OBJECTS).await {
                Ok(batch) if batch.objects.is_empty() => "".into(),
                Ok(batch) => self.sweep_page(batch.objects).await,
                Err(_) => continue,
            };
        }
    }

    async fn sweep_page(&self, objects: Vec<StoredObject>) -> Box<str> {
        let now = unix_time_ms();
        let mut last: Box<str> = "".into();
        for object in objects {
            let is_expired = decode(&object).is_some_and(|record| record.expires_unix_ms < now);
            if is_expired {
                let _ = self.store.delete(&object.key, object.version).await;
            }
            last = object.key;
        }
        last
    }
}

impl ClaimGuard {
    /// Deletes the claim, because no byte of the request was sent, so that the key can be used again. Runs in the
    /// background with a few retries.
    pub fn release(self) {
        tokio::spawn(async move {
            for _ in 0..WRITE_ATTEMPTS {
                match self.ledger.store.delete(&self.key, self.version).await {
                    Ok(()) | Err(StoreError::Conflict { .. }) => return,
                    Err(_) => tokio::time::sleep(WRITE_RETRY_DELAY).await,
                }
            }
            warn!("claim not released", kv: { key: = self.key });
        });
    }

    /// Records the outcome of the request in the claim. Runs in the background with a few retries.
    pub fn settle(self, outcome: KnownOutcome<StoredAnswer>) {
        let mut record = self.record;
        record.outcome = Some(outcome.into());
        let (ledger, key, version) = (self.ledger, self.key, self.version);
        tokio::spawn(async move {
            let value = encode(&record);
            for _ in 0..WRITE_ATTEMPTS {
                match ledger.store.put(&key, value.clone(), Some(version)).await {
                    Ok(_) | Err(StoreError::Conflict { .. }) => return,
                    Err(_) => tokio::time::sleep(WRITE_RETRY_DELAY).await,
                }
            }
            warn!("outcome of a claim not recorded", kv: { key: });
        });
    }
}

fn encode(record: &ClaimRecord) -> Bytes {
    serde_json::to_vec(record).unwrap_or_default().into()
}

fn decode(object: &StoredObject) -> Option<ClaimRecord> {
    serde_json::from_slice(object.value.as_ref()?).ok()
}

fn not_claimed(reason: &str) -> Refusal {
    info!("idempotency key not claimed", kv: { reason: });
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "claim-unavailable")
        .retry_after(STORE_RETRY_AFTER)
}

fn unix_time_ms() -> u64 {
    let age = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    age.as_millis() as u64
}
