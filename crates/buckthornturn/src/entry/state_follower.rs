//! Keeps one part of the state up to date from the store or a relay, and from other hosts while the store is unreachable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::StateRoute;
use coordination::fleet::StateVersion;
use coordination::retry_budget::full_jitter;
use futures::FutureExt;
use indexmap::IndexMap;
use spdlog::info;
use spdlog::warn;

use crate::entry::EntryState;
use crate::entry::PeerReader;
use crate::interface::SourceError;
use crate::interface::StateBatch;
use crate::interface::StatePart;
use crate::interface::StateSource;

/// Wait of a watch: most of what the store allows, since each call is billed.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Wait of a watch on the host that polls for its region. A watch can miss changes whose history the store dropped,
/// which shows only when the watch ends; the other hosts learn of the change from this host's heartbeats.
const SHORT_WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// Pause between a change and the next watch, which coalesces changes in quick succession into one call.
const COALESCE_TIME: Duration = Duration::from_millis(300);
/// First and longest backoff after a failed call.
const BACKOFF_BOUNDS: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(1));
/// Time for which another host may be ahead before this host's watch counts as stalled.
const MAX_LAG: Duration = Duration::from_millis(500);
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a relay is avoided after it failed or lagged behind.
const RELAY_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Wait for other hosts' heartbeats before the first read, since in a large fleet the part is read from one of them.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(350);

/// Task that keeps one part of the state up to date.
pub struct StateFollower {
    state: Arc<EntryState>,
    source: Arc<dyn StateSource>,
    peers: PeerReader,
    part: StatePart,
    after: Option<StateVersion>,
    failures: u32,
    avoided_relays: IndexMap<SocketAddr, Instant>,
}

enum FollowStep {
    Batch(Result<StateBatch, SourceError>),
    /// Another host has been ahead for too long of what came over this route.
    Lagging(StateRoute),
    /// This host became the one that polls for its region, so the watch starts again with a short wait.
    BecameRegionPoller,
    /// The part is now followed through another source, so the call starts again there.
    Restart,
    /// The store came back from an older copy, as this host or another one has read.
    EraBegan,
    /// The relay does not answer, does not follow the store itself, or is behind this host.
    RelayFailed,
}

impl StateFollower {
    /// Creates a follower of one part, which reads from `source` or through `peers`.
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
            avoided_relays: IndexMap::new(),
        }
    }

    /// Follows the part until the future is dropped.
    pub async fn run(mut self) {
        if !self.state.settings().seeds.is_empty() {
            tokio::time::sleep(PEER_DISCOVERY_TIME).await;
        }
        loop {
            let is_whole = self.after.is_none();
            let step = match self.after {
                None => self.read().await,
                Some(after) => self.watch(after).await,
            };
            match step {
                FollowStep::Batch(Ok(batch)) => {
                    if is_whole {
                        info!("state read whole", kv: {
                            part: = self.part.name(), revision = batch.revision, latest = batch.latest
                        });
                    }
                    self.state.metrics().count_unreadable(self.part.name(), batch.unreadable);
                    let has_changes = !batch.changes.is_empty();
                    let after = batch.version();
                    self.state.apply_batch(self.part, batch, is_whole);
                    self.after = Some(after);
                    if has_changes {
                        tokio::time::sleep(COALESCE_TIME).await;
                    }
                }
                FollowStep::Batch(Err(SourceError::HistoryGone)) => {
                    info!("history gone, reading again", kv: { part: = self.part.name() });
                    self.after = None;
                }
                FollowStep::Batch(Err(error)) => self.handle_failure(&error).await,
                FollowStep::Lagging(route) => self.handle_lag(route).await,
                FollowStep::Restart => {}
                FollowStep::EraBegan => {
                    info!("store has a later era, reading again", kv: { part: = self.part.name() });
                    self.after = None;
                }
                FollowStep::RelayFailed => {
                    self.read_peer().await;
                    self.pause(self.avoided_relays.len()).await;
                }
                FollowStep::BecameRegionPoller => {
                    info!("host looks out for its region", kv: { part: = self.part.name() });
                }
            }
        }
    }

    /// Where to follow the part now; relays that failed or lagged recently are avoided.
    fn route(&self) -> StateRoute {
        self.state.state_route(|relay| {
            self.avoided_relays.get(&relay).is_some_and(|at| at.elapsed() < RELAY_RETRY_DELAY)
        })
    }

    async fn read(&mut self) -> FollowStep {
        let route = self.route();
        let batch = match route {
            StateRoute::Relay(relay) => self.peers.read(relay, self.part).await,
            StateRoute::Store => {
                self.state.record_store_call(self.part);
                self.source.read(self.part).await
            }
        };
        match (route, &batch) {
            (StateRoute::Relay(relay), Ok(snapshot))
                if snapshot.era < self.state.store_era()
                    || self.state.is_outdated(self.part, snapshot) =>
            {
                info!("relay is behind this host", kv: { part: = self.part.name(), relay: });
                self.avoid_relay(relay);
                FollowStep::RelayFailed
            }
            _ => self.check_result(route, batch),
        }
    }

    async fn watch(&mut self, after: StateVersion) -> FollowStep {
        let route = self.route();
        let is_region_poller = self.state.is_region_poller();
        let wait = match is_region_poller {
            // Whether the store came back from an older copy, or a relay follows it, shows only in the next answer.
            _ if self.failures > 0 => Duration::ZERO,
            true => SHORT_WATCH_WAIT,
            false => WATCH_WAIT,
        };
        let watch = match route {
            StateRoute::Relay(relay) => self.peers.watch(relay, self.part, after, wait).boxed(),
            StateRoute::Store => {
                self.state.record_store_call(self.part);
                self.source.watch(self.part, after, wait)
            }
        };
        let batch = tokio::select! {
            batch = watch => batch,
            step = self.wait_for_interruption(is_region_poller, route, after) => return step,
        };
        self.check_result(route, batch)
    }

    /// Records the result of a call. A failed call to a relay becomes a restart over another route.
    fn check_result(
        &mut self,
        route: StateRoute,
        batch: Result<StateBatch, SourceError>,
    ) -> FollowStep {
        match (route, &batch) {
            (StateRoute::Relay(relay), Err(error)) if *error != SourceError::HistoryGone => {
                info!("relay not reached", kv: { part: = self.part.name(), relay:, reason: = error });
                self.avoid_relay(relay);
                return FollowStep::RelayFailed;
            }
            (_, Ok(_) | Err(SourceError::HistoryGone)) => self.record_answer(route),
            (_, Err(_)) => {}
        }
        FollowStep::Batch(batch)
    }

    fn avoid_relay(&mut self, relay: SocketAddr) {
        self.avoided_relays.retain(|_, at| at.elapsed() < RELAY_RETRY_DELAY);
        self.avoided_relays.insert(relay, Instant::now());
        self.state.record_relay_failure(self.part);
    }

    fn record_answer(&mut self, route: StateRoute) {
        self.state.record_answer(self.part, route);
        if route == StateRoute::Store {
            self.state.metrics().count_store_call(self.part.name(), true);
        }
        if self.failures > 0 {
            info!("store regained", kv: { part: = self.part.name(), failures = self.failures });
            self.failures = 0;
        }
    }

    async fn handle_failure(&mut self, error: &SourceError) {
        self.state.metrics().count_store_call(self.part.name(), false);
        if self.failures == 0 {
            warn!("store lost", kv: { part: = self.part.name(), reason: = error });
        }
        self.failures = self.failures.saturating_add(1);
        self.state.record_store_failure(self.part);
        if self.read_peer().await {
            self.after = None;
        }
        self.pause(self.failures as usize).await;
    }

    /// Waits before the next call, the longer the more calls or relays have failed.
    async fn pause(&self, failures: usize) {
        let attempt = u32::try_from(failures).unwrap_or(u32::MAX);
        let pause = full_jitter(attempt, BACKOFF_BOUNDS.0, BACKOFF_BOUNDS.1, &mut rand::rng());
        tokio::time::sleep(pause.max(BACKOFF_BOUNDS.0)).await;
    }

    /// Catches up with the other hosts: the part is read from one that is ahead. A relay that lagged is left for another.
    async fn handle_lag(&mut self, route: StateRoute) {
        warn!("watch is behind other hosts", kv: {
            part: = self.part.name(), applied: = self.state.applied(self.part), route:? = route
        });
        self.read_peer().await;
        match route {
            StateRoute::Store => self.after = None,
            StateRoute::Relay(relay) => self.avoid_relay(relay),
        }
    }

    /// Reads the part from a host that is ahead, and returns whether a newer snapshot was applied.
    async fn read_peer(&mut self) -> bool {
        let Some(peer) = self.peer_ahead() else { return false };
        match self.peers.read(peer, self.part).await {
            Ok(snapshot) => {
                let latest = snapshot.latest_version();
                self.state.metrics().count_unreadable(self.part.name(), snapshot.unreadable);
                let is_applied = self.state.apply_snapshot(self.part, snapshot);
                info!("state read from another host", kv: {
                    part: = self.part.name(), peer:, latest:, is_applied:
                });
                is_applied
            }
            Err(error) => {
                warn!("failed to read the state from another host", kv: {
                    part: = self.part.name(), peer:, reason: = error
                });
                false
            }
        }
    }

    fn peer_ahead(&self) -> Option<SocketAddr> {
        self.state.lock().peer_ahead(self.part)
    }

    /// Waits until another host has been ahead for too long, this host has to poll for its region, or the part is to be
    /// followed through another source.
    async fn wait_for_interruption(
        &self,
        is_region_poller: bool,
        route: StateRoute,
        after: StateVersion,
    ) -> FollowStep {
        let mut since: Option<Instant> = None;
        loop {
            tokio::time::sleep(LAG_CHECK_INTERVAL).await;
            since = match (self.peer_ahead(), since) {
                _ if !is_region_poller && self.state.is_region_poller() => {
                    return FollowStep::BecameRegionPoller;
                }
                _ if self.route() != route => return FollowStep::Restart,
                _ if self.state.store_era() > after.era => return FollowStep::EraBegan,
                (None, _) => None,
                (Some(_), None) => Some(Instant::now()),
                (Some(_), Some(at)) if at.elapsed() >= MAX_LAG => {
                    return FollowStep::Lagging(route);
                }
                (Some(_), since) => since,
            };
        }
    }
}
