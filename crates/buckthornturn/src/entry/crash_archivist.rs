//! Keeps refused requests outside the hosts, and reads them when this host starts.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use coordination::fleet::CrashVerdict;
use coordination::fleet::RequestFingerprint;
use coordination::ids::Era;
use indexmap::IndexSet;
use spdlog::info;
use spdlog::warn;
use tokio::sync::mpsc;

use crate::entry::EntryState;
use crate::interface::ArchivedCrashes;
use crate::interface::CrashArchive;

/// Value of the metrics' label `part` for refused requests.
const CRASHES_LABEL: &str = "crashing-requests";
/// Most requests that wait to be written; further ones are kept by the hosts alone.
const MAX_WAITING: usize = 64;
/// Time after which a request is written. A trial clears requests within it that only ran where targets ended.
const WRITE_DELAY: Duration = Duration::from_millis(300);
/// Pause before a call that failed is repeated, and times that it is made.
const REPEAT_PAUSE: Duration = Duration::from_secs(1);
const MAX_CALLS: usize = 5;
/// Most requests whose writes are repeated, and how often it is checked whether the store came back from an older copy.
const MAX_REPEATED: usize = 256;
const ERA_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Age from which a request that was kept is tried again like any other.
const MAX_AGE: Duration = Duration::from_secs(3_600);

/// Writes to the archive and reads it, one call at a time.
pub struct CrashArchivist {
    state: Arc<EntryState>,
    archive: Arc<dyn CrashArchive>,
    changed: mpsc::Receiver<RequestFingerprint>,
    archived: IndexSet<RequestFingerprint>,
    /// Requests that this host wrote or removed, which an older copy of the store may have lost or brought back.
    changed_here: IndexSet<RequestFingerprint>,
    era: Era,
}

impl CrashArchivist {
    /// Creates an archivist, and the sender through which it hears of requests that this host keeps.
    pub fn new(
        state: Arc<EntryState>,
        archive: Arc<dyn CrashArchive>,
    ) -> (Self, mpsc::Sender<RequestFingerprint>) {
        let (sender, changed) = mpsc::channel(MAX_WAITING);
        let era = state.store_era();
        let (archived, changed_here) = (IndexSet::new(), IndexSet::new());
        (Self { state, archive, changed, archived, changed_here, era }, sender)
    }

    /// Runs until the future is dropped.
    pub async fn run(mut self) {
        self.load().await;
        loop {
            tokio::select! {
                changed = self.changed.recv() => match changed {
                    Some(fingerprint) => {
                        tokio::time::sleep(WRITE_DELAY).await;
                        self.write(fingerprint).await;
                    }
                    None => return,
                },
                () = tokio::time::sleep(ERA_CHECK_INTERVAL) => {}
            }
            self.repeat_after_drill().await;
        }
    }

    /// Repeats the writes of this host if the store came back from an older copy.
    async fn repeat_after_drill(&mut self) {
        let era = self.state.store_era();
        if era > std::mem::replace(&mut self.era, era) {
            self.archived.extend(&self.changed_here);
            for fingerprint in self.changed_here.clone() {
                self.write(fingerprint).await;
            }
        }
    }

    async fn load(&mut self) {
        for _ in 0..MAX_CALLS {
            match self.archive.load().await {
                Ok(loaded) => {
                    let count = loaded.unreadable;
                    self.state.metrics().count_unreadable(CRASHES_LABEL, count);
                    return self.merge(loaded.archived).await;
                }
                Err(reason) => warn!("cannot read refused requests", kv: { reason: }),
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }

    async fn merge(&mut self, all: Vec<ArchivedCrashes>) {
        let count = all.len() as u64;
        for ArchivedCrashes { report, recorded_at } in all {
            let age = recorded_at.elapsed().unwrap_or_default();
            if age > MAX_AGE {
                self.remove(report.fingerprint).await;
                continue;
            }
            self.archived.insert(report.fingerprint);
            self.state.lock().crashes.merge_report(&report.aged(age), Instant::now());
        }
        if count > 0 {
            info!("refused requests read", kv: { count });
        }
    }

    /// Writes or removes a request by what is known of it now.
    async fn write(&mut self, fingerprint: RequestFingerprint) {
        let now = Instant::now();
        if self.changed_here.len() >= MAX_REPEATED {
            self.changed_here.shift_remove_index(0);
        }
        self.changed_here.insert(fingerprint);
        let (verdict, report) = {
            let core = self.state.lock();
            (core.crashes.verdict(fingerprint, now), core.crashes.report(fingerprint, now))
        };
        match verdict {
            CrashVerdict::NeedsTrial | CrashVerdict::Refused { .. } => {
                let archived = ArchivedCrashes { report, recorded_at: SystemTime::now() };
                for _ in 0..MAX_CALLS {
                    match self.archive.save(archived.clone()).await {
                        Ok(()) => {
                            self.archived.insert(fingerprint);
                            return;
                        }
                        Err(reason) => {
                            warn!("cannot write a refused request", kv: { fingerprint:, reason: })
                        }
                    }
                    tokio::time::sleep(REPEAT_PAUSE).await;
                }
            }
            _ if self.archived.contains(&fingerprint) => self.remove(fingerprint).await,
            _ => {}
        }
    }

    async fn remove(&mut self, fingerprint: RequestFingerprint) {
        match self.archive.remove(fingerprint).await {
            Ok(()) => drop(self.archived.swap_remove(&fingerprint)),
            Err(reason) => {
                warn!("cannot remove a request that is no longer refused", kv: { fingerprint:, reason: })
            }
        }
    }
}
