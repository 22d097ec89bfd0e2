//! Keeps one part of the state up to date from the store, and from other hosts while the store is not reached.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::Revision;
use coordination::retry_budget::full_jitter;
use futures::FutureExt;
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
/// Time for which the store is followed after a relay failed or was behind.
const RELAY_PAUSE: Duration = Duration::from_secs(5);
/// Longest wait for news of other hosts before the first read: in a large fleet the part is read from one of them.
const ACQUAINTANCE_TIME: Duration = Duration::from_millis(400);
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
    shunned_at: Option<Instant>,
}

enum FollowStep {
    Batch(Result<StateBatch, SourceError>),
    /// Other hosts are ahead.
    Lagging,
    /// This host begins to look out for its region.
    Promoted,
    /// The part is followed elsewhere.
    Again,
}

impl StateFollower {
    /// A follower of one part.
    pub fn new(
        state: Arc<EntryState>,
        source: Arc<dyn StateSource>,
        peers: PeerReader,
        part: StatePart,
    ) -> Self {
        Self {
            state,
            source,
            peers,
            part,
            after: None,
            failures: 0,
            failed_at: None,
            shunned_at: None,
        }
    }

    /// Follows until dropped.
    pub async fn run(mut self) {
        if !self.state.settings().seeds.is_empty() {
            tokio::time::sleep(ACQUAINTANCE_TIME).await;
        }
        loop {
            let is_whole = self.after.is_none();
            let step = match self.after {
                None => self.read().await,
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
                    self.shunned_at = Some(Instant::now());
                }
                FollowStep::Again => {}
                FollowStep::Promoted => {
                    info!("host looks out for its region", kv: { part: = self.part.name() });
                }
            }
        }
    }

    /// Where the part is followed now: through a relay, unless that failed lately.
    fn relay(&self) -> Option<SocketAddr> {
        let is_shunned = self.shunned_at.is_some_and(|at| at.elapsed() < RELAY_PAUSE);
        if is_shunned { None } else { self.state.relay() }
    }

    async fn read(&mut self) -> FollowStep {
        let relay = self.relay();
        let batch = match relay {
            Some(relay) => self.peers.read(relay, self.part).await,
            None => self.source.read(self.part).await,
        };
        self.judge(relay, batch)
    }

    async fn watch(&mut self, after: Revision) -> FollowStep {
        let relay = self.relay();
        let is_sentinel = self.state.is_sentinel();
        let wait = if is_sentinel { SENTINEL_WAIT } else { WATCH_WAIT };
        let watch = match relay {
            Some(relay) => self.peers.watch(relay, self.part, after, wait).boxed(),
            None => self.source.watch(self.part, after, wait),
        };
        let batch = tokio::select! {
            batch = watch => batch,
            step = self.interruption(is_sentinel, relay) => return step,
        };
        self.judge(relay, batch)
    }

    /// A relay that fails is left alone for a while.
    fn judge(
        &mut self,
        relay: Option<SocketAddr>,
        batch: Result<StateBatch, SourceError>,
    ) -> FollowStep {
        match (relay, batch) {
            (Some(relay), Err(error)) if error != SourceError::HistoryGone => {
                info!("relay not reached, following the store", kv: {
                    part: = self.part.name(), relay:, reason: = error
                });
                self.shunned_at = Some(Instant::now());
                FollowStep::Again
            }
            (_, batch) => FollowStep::Batch(batch),
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
    async fn read_peer(&mut self) -> bool {
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
            Err(error) => {
                warn!("another host did not answer", kv: {
                    part: = self.part.name(), peer:, reason: = error
                });
                false
            }
        }
    }

    /// Mesh address of the live host that is furthest ahead of this one.
    fn ahead(&self) -> Option<SocketAddr> {
        let core = self.state.lock();
        let own = core.applied(self.part);
        let part = self.part as usize;
        let live = core.roster.live_hosts(Instant::now());
        let furthest = live.max_by_key(|news| news.applied[part])?;
        (furthest.applied[part] > own).then_some(furthest.mesh)
    }

    /// Waits until another host has been ahead for too long, this host has to look out for its region, or the part is
    /// to be followed elsewhere.
    async fn interruption(&self, is_sentinel: bool, relay: Option<SocketAddr>) -> FollowStep {
        let mut since: Option<Instant> = None;
        loop {
            tokio::time::sleep(LAG_CHECK).await;
            since = match (self.ahead(), since) {
                _ if !is_sentinel && self.state.is_sentinel() => return FollowStep::Promoted,
                _ if self.relay() != relay => return FollowStep::Again,
                (None, _) => None,
                (Some(_), None) => Some(Instant::now()),
                (Some(_), Some(at)) if at.elapsed() >= LAG_ALLOWED => return FollowStep::Lagging,
                (Some(_), since) => since,
            };
        }
    }
}
