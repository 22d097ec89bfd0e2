//! Keeps one part of the state up to date from the store, and from other hosts while the store is not reached.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::Revision;
use coordination::retry_budget::full_jitter;
use spdlog::info;
use spdlog::warn;

use crate::entry::EntryState;
use crate::entry::PeerReader;
use crate::interface::SourceError;
use crate::interface::StateBatch;
use crate::interface::StatePart;
use crate::interface::StateSource;

/// Wait of a watch; most of what the store allows, as each call is paid for.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Wait of a watch of the host that looks out for its region. A watch can stay silent over changes whose history the store
/// drops, and hears of it only at its end; the others learn of the change from this host's heartbeats.
const SENTINEL_WAIT: Duration = Duration::from_millis(1_200);
/// Pause between a change and the next watch, so that changes in quick succession cost one call.
const GATHER_TIME: Duration = Duration::from_millis(150);
/// First and longest pause after a failed call.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(1));
/// Time for which another host may be ahead before the own watch counts as dead.
const LAG_ALLOWED: Duration = Duration::from_millis(500);
const LAG_CHECK: Duration = Duration::from_millis(250);
/// Time after an outage of the store in which entries of living targets may be missing.
const OUTAGE_ECHO: Duration = Duration::from_millis(2_500);

/// Keeps one part of the state up to date.
pub struct StateFollower {
    state: Arc<EntryState>,
    source: Arc<dyn StateSource>,
    peers: PeerReader,
    part: StatePart,
    after: Option<Revision>,
    failures: u32,
    failed_at: Option<Instant>,
}

enum FollowStep {
    Batch(Result<StateBatch, SourceError>),
    /// Other hosts are ahead.
    Lagging,
    /// This host begins to look out for its region.
    Promoted,
}

impl StateFollower {
    /// A follower of one part.
    pub fn new(
        state: Arc<EntryState>,
        source: Arc<dyn StateSource>,
        peers: PeerReader,
        part: StatePart,
    ) -> Self {
        Self { state, source, peers, part, after: None, failures: 0, failed_at: None }
    }

    /// Follows until dropped.
    pub async fn run(mut self) {
        loop {
            let is_whole = self.after.is_none();
            let step = match self.after {
                None => FollowStep::Batch(self.source.read(self.part).await),
                Some(after) => self.watch(after).await,
            };
            match step {
                FollowStep::Batch(Ok(batch)) => {
                    let has_changes = !batch.changes.is_empty();
                    let after = batch.revision;
                    self.reached();
                    let is_outage = self.is_outage_near();
                    self.state.apply(self.part, batch, is_whole, is_outage);
                    self.after = Some(after);
                    if has_changes {
                        tokio::time::sleep(GATHER_TIME).await;
                    }
                }
                FollowStep::Batch(Err(SourceError::HistoryGone)) => {
                    info!("history gone, reading again", kv: { part: = self.part.name() });
                    self.after = None;
                }
                FollowStep::Batch(Err(error)) => self.failed(&error).await,
                FollowStep::Lagging => {
                    warn!("watch is behind other hosts, reading again", kv: {
                        part: = self.part.name(), applied = self.state.applied(self.part)
                    });
                    self.after = None;
                }
                FollowStep::Promoted => {
                    info!("host looks out for its region", kv: { part: = self.part.name() });
                }
            }
        }
    }

    async fn watch(&self, after: Revision) -> FollowStep {
        let is_sentinel = self.state.is_sentinel();
        let wait = if is_sentinel { SENTINEL_WAIT } else { WATCH_WAIT };
        tokio::select! {
            batch = self.source.watch(self.part, after, wait) => FollowStep::Batch(batch),
            step = self.interruption(is_sentinel) => step,
        }
    }

    fn is_outage_near(&self) -> bool {
        self.failed_at.is_some_and(|at| at.elapsed() < OUTAGE_ECHO)
    }

    fn reached(&mut self) {
        self.state.metrics().store_call(self.part.name(), true);
        self.state.set_reached(self.part, true);
        if self.failures > 0 {
            info!("store regained", kv: { part: = self.part.name(), failures = self.failures });
            self.failures = 0;
        }
    }

    async fn failed(&mut self, error: &SourceError) {
        self.state.metrics().store_call(self.part.name(), false);
        if self.failures == 0 {
            warn!("store lost", kv: { part: = self.part.name(), reason: = error });
        }
        self.failures = self.failures.saturating_add(1);
        self.state.set_reached(self.part, false);
        // Entries lapse while the store is away, not while this host alone is cut off from it.
        if !self.state.is_store_reached_elsewhere() {
            self.failed_at = Some(Instant::now());
        }
        if self.read_peer().await {
            self.after = None;
        }
        let pause = full_jitter(self.failures, BACKOFF.0, BACKOFF.1, &mut rand::rng());
        tokio::time::sleep(pause.max(BACKOFF.0)).await;
    }

    /// Reads the part from a host that is ahead, if one is.
    async fn read_peer(&self) -> bool {
        let Some(peer) = self.ahead() else { return false };
        match self.peers.read(peer, self.part).await {
            Ok(snapshot) => {
                let latest = snapshot.latest;
                let is_applied = self.state.apply_snapshot(self.part, snapshot);
                info!("state read from another host", kv: {
                    part: = self.part.name(), peer:, latest:, is_applied:
                });
                is_applied
            }
            Err(reason) => {
                warn!("another host did not answer", kv: { part: = self.part.name(), peer:, reason: });
                false
            }
        }
    }

    /// Mesh address of the live host that is furthest ahead of this one.
    fn ahead(&self) -> Option<std::net::SocketAddr> {
        let core = self.state.lock();
        let own = core.applied(self.part);
        let part = self.part as usize;
        let live = core.roster.live(Instant::now());
        let furthest = live.max_by_key(|news| news.applied[part])?;
        (furthest.applied[part] > own).then_some(furthest.mesh)
    }

    /// Waits until another host has been ahead for too long, or this host has to look out for its region.
    async fn interruption(&self, is_sentinel: bool) -> FollowStep {
        let mut since: Option<Instant> = None;
        loop {
            tokio::time::sleep(LAG_CHECK).await;
            since = match (self.ahead(), since) {
                _ if !is_sentinel && self.state.is_sentinel() => return FollowStep::Promoted,
                (None, _) => None,
                (Some(_), None) => Some(Instant::now()),
                (Some(_), Some(at)) if at.elapsed() >= LAG_ALLOWED => return FollowStep::Lagging,
                (Some(_), since) => since,
            };
        }
    }
}
