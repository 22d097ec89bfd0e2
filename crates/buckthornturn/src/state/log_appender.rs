//! Appends changes to the log with conditional creates.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coordination::append_attempt::AppendAttempt;
use coordination::append_attempt::AppendStep;
use coordination::append_attempt::AppendVerdict;
use coordination::append_attempt::CreateOutcome;
use coordination::append_attempt::ReadOutcome;
use coordination::ids::ChangeId;
use coordination::ids::Revision;
use futures::FutureExt;
use futures::future::BoxFuture;
use spdlog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::configuration::ConfigurationState;
use crate::interface::AppendError;
use crate::interface::AppendReceipt;
use crate::interface::ChangeAppender;
use crate::interface::ConfigChange;
use crate::interface::ObjectStore;
use crate::interface::StoreError;
use crate::interface::WireChange;
use crate::state::ConfigurationReplica;
use crate::state::LogRecord;
use crate::state::SnapshotStore;
use crate::state::StoreReader;
use crate::state::log_record::SCHEMA_VERSION;
use crate::state::log_record::apply_operations;

/// Largest number of attempts of one append; another attempt is made whenever another change came first.
const MAX_APPEND_ATTEMPTS: usize = 16;
/// Time limit of one append over all of its attempts.
const APPEND_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before a record is read back, because a write may still be on its way to the store.
const READ_BACK_DELAY: Duration = Duration::from_millis(200);
/// Largest number of requests in the queue; further ones are refused.
const MAX_QUEUED_REQUESTS: usize = 256;
/// Largest number of requests that are combined in one record.
const MAX_BATCHED_REQUESTS: usize = 64;
/// Size limit of an encoded record, in bytes.
const MAX_RECORD_BYTES: usize = 900_000;

/// Checks the state that a change would lead to; the error lists every problem found.
pub type StateCheck = Box<dyn Fn(&ConfigurationState) -> Result<(), Box<str>> + Send + Sync>;

/// Queues changes to be appended to the log. Requests that arrive while an append is in progress are combined in the
/// next record, unless they expect a certain revision.
pub struct LogAppender {
    requests: mpsc::Sender<AppendRequest>,
}

struct AppendRequest {
    changes: Vec<ConfigChange>,
    expected: Option<Revision>,
    reply: oneshot::Sender<Result<AppendReceipt, AppendError>>,
}

/// Task that appends the requests queued by a `LogAppender`.
pub struct AppendTask {
    store: Arc<dyn ObjectStore>,
    reader: StoreReader,
    snapshots: SnapshotStore,
    replica: Arc<ConfigurationReplica>,
    check: StateCheck,
    requests: mpsc::Receiver<AppendRequest>,
}

impl LogAppender {
    /// Creates an appender and its task, which the caller spawns. A change is appended only if `check` accepts the
    /// state that it leads to.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        reader: StoreReader,
        replica: Arc<ConfigurationReplica>,
        check: StateCheck,
    ) -> (Self, AppendTask) {
        let (sender, requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let snapshots = SnapshotStore::new(Arc::clone(&store));
        let task = AppendTask { store, reader, snapshots, replica, check, requests };
        (Self { requests: sender }, task)
    }
}

impl ChangeAppender for LogAppender {
    fn append(
        &self,
        changes: Vec<ConfigChange>,
        expected: Option<Revision>,
    ) -> BoxFuture<'_, Result<AppendReceipt, AppendError>> {
        async move {
            let (reply, receiver) = oneshot::channel();
            self.requests
                .try_send(AppendRequest { changes, expected, reply })
                .map_err(|_| not_accepted("too many changes are queued"))?;
            receiver.await.unwrap_or_else(|_| Err(not_accepted("this host is shutting down")))
        }
        .boxed()
    }
}

impl AppendTask {
    /// Appends queued requests until the `LogAppender` is dropped.
    pub async fn run(mut self) {
        let mut next_request: Option<AppendRequest> = None;
        loop {
            let first_request = match next_request.take() {
                Some(request) => request,
                None => match self.requests.recv().await {
                    Some(request) => request,
                    None => return,
                },
            };
            let mut batch = vec![first_request];
            while batch[0].expected.is_none()
                && batch.len() < MAX_BATCHED_REQUESTS
                && next_request.is_none()
            {
                match self.requests.try_recv() {
                    Ok(request) if request.expected.is_none() => batch.push(request),
                    Ok(request) => next_request = Some(request),
                    Err(_) => break,
                }
            }
            self.append_batch(batch).await;
        }
    }

    async fn append_batch(&self, mut batch: Vec<AppendRequest>) {
        let change_id: ChangeId = format!("{:032x}", rand::random::<u128>()).into();
        let deadline = Instant::now() + APPEND_TIMEOUT;
        for _ in 0..MAX_APPEND_ATTEMPTS {
            let state = self.replica.cell().load();
            let revision = state.revision + 1;
            let record = match self.build_record(&state, &change_id, &mut batch) {
                Some(record) => record,
                None => return,
            };
            match self.append_record(&record, deadline).await {
                AppendVerdict::Accepted => {
                    info!("change accepted", kv: { revision, change_id: });
                    let receipt = AppendReceipt { revision, change_id };
                    return reply_to_batch(batch, &Ok(receipt));
                }
                AppendVerdict::Raced => {
                    let caught_up = self.reader.catch_up().await;
                    if let Err(error) = caught_up {
                        return reply_to_batch(batch, &Err(not_accepted(&error.to_string())));
                    }
                }
                AppendVerdict::NotAccepted => {
                    return reply_to_batch(
                        batch,
                        &Err(not_accepted("the store did not accept the change")),
                    );
                }
                AppendVerdict::Unknown => {
                    let reason = "the store did not answer".into();
                    return reply_to_batch(batch, &Err(AppendError::Unknown { change_id, reason }));
                }
            }
        }
        reply_to_batch(batch, &Err(not_accepted("other changes came first in every attempt")));
    }

    /// Builds the record that follows `state` from the requests of a batch. Requests that expect another revision or
    /// fail the check are answered and removed from the batch; `None` if no request is left.
    fn build_record(
        &self,
        state: &ConfigurationState,
        change_id: &str,
        batch: &mut Vec<AppendRequest>,
    ) -> Option<LogRecord> {
        let mut next_state = state.clone();
        let mut changes = Vec::new();
        let mut accepted = Vec::new();
        for request in std::mem::take(batch) {
            let mut candidate = next_state.clone();
            apply_operations(&request.changes, &mut candidate);
            let verdict = match request.expected {
                Some(expected) if expected != state.revision => {
                    Err(AppendError::Raced { current: state.revision })
                }
                _ => (self.check)(&candidate).map_err(|reason| AppendError::Invalid { reason }),
            };
            match verdict {
                Ok(()) => {
                    next_state = candidate;
                    changes.extend(request.changes.iter().cloned());
                    accepted.push(request);
                }
                Err(error) => drop(request.reply.send(Err(error))),
            }
        }
        *batch = accepted;
        let revision = state.revision + 1;
        let change_id = change_id.into();
        (!batch.is_empty()).then_some(LogRecord {
            schema: SCHEMA_VERSION,
            revision,
            change_id,
            changes,
        })
    }

    async fn append_record(&self, record: &LogRecord, deadline: Instant) -> AppendVerdict {
        let encoded = match record.encode() {
            Ok(encoded) if encoded.len() <= MAX_RECORD_BYTES => encoded,
            _ => return AppendVerdict::NotAccepted,
        };
        let key = LogRecord::key(record.revision);
        let mut attempt = AppendAttempt::new(record.revision);
        loop {
            if Instant::now() >= deadline {
                attempt.give_up();
            }
            match attempt.step() {
                AppendStep::Create => attempt.record_create(self.create(&key, &encoded).await),
                AppendStep::ReadBack => {
                    tokio::time::sleep(READ_BACK_DELAY).await;
                    attempt.record_read_back(self.read_back(&key, &record.change_id).await);
                }
                AppendStep::ReadTrimMark => {
                    attempt.record_trim_mark(
                        self.snapshots.revision_marks().await.ok().map(|marks| marks.1),
                    );
                }
                AppendStep::Done(AppendVerdict::Accepted) => {
                    let change = WireChange { revision: record.revision, encoded };
                    self.replica.apply_changes(vec![change], "own");
                    return AppendVerdict::Accepted;
                }
                AppendStep::Done(verdict) => return verdict,
            }
        }
    }

    async fn create(&self, key: &str, encoded: &Bytes) -> CreateOutcome {
        match self.store.put(key, encoded.clone(), None).await {
            Ok(_) => CreateOutcome::Created,
            Err(StoreError::Conflict { .. }) => CreateOutcome::Exists,
            Err(StoreError::AnswerLost { .. }) => CreateOutcome::Lost,
            Err(StoreError::Unavailable { .. } | StoreError::Refused { .. }) => {
                CreateOutcome::NotSent
            }
        }
    }

    async fn read_back(&self, key: &str, change_id: &str) -> ReadOutcome {
        match self.store.get(key).await {
            Ok(Some(object)) => {
                let record = object.value.and_then(|value| LogRecord::decode(&value).ok());
                match record.is_some_and(|record| *record.change_id == *change_id) {
                    true => ReadOutcome::Ours,
                    false => ReadOutcome::Other,
                }
            }
            Ok(None) => ReadOutcome::Absent,
            Err(_) => ReadOutcome::Failed,
        }
    }
}

fn reply_to_batch(batch: Vec<AppendRequest>, result: &Result<AppendReceipt, AppendError>) {
    for request in batch {
        let _ = request.reply.send(result.clone());
    }
}

fn not_accepted(reason: &str) -> AppendError {
    AppendError::NotAccepted { reason: reason.into() }
}
