//! Membership of the fleet, learned from gossiped heartbeats.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::ConfigurationPosition;
use crate::fleet::HostHeartbeat;
use crate::fleet::HostPhase;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::RegionId;
use crate::rendezvous::rendezvous_score;

/// Time without a heartbeat after which a host is no longer live and is not named to callers, although some heartbeats may be lost.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a heartbeat after which a host is forgotten. Until then its share of limits stays reserved, as it may
/// be cut off and still serve callers.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Most hosts in the roster; bounds memory against forged heartbeats.
const MAX_HOSTS: usize = 4_096;

/// Hash of a host's name and incarnation that identifies a process in four bytes.
pub type IncarnationDigest = u32;

/// Compact gossip entry saying that a host's process is alive.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(IncarnationDigest, u64, HostPhase)", into = "(IncarnationDigest, u64, HostPhase)")]
pub struct LivenessDigest {
    /// Digest of the process that is alive.
    pub start: IncarnationDigest,
    /// Sequence number of the latest heartbeat received from the process.
    pub beat: u64,
    /// Phase of the host as of that heartbeat.
    pub phase: HostPhase,
}

/// Known hosts by name, each with its latest heartbeat. The host that owns the roster is included only if it is
/// recorded.
#[derive(Clone, Debug, Default)]
pub struct HostRoster {
    pub(super) entries: IndexMap<HostId, RosterEntry>,
    digests: IndexMap<IncarnationDigest, HostId>,
}

#[derive(Clone, Debug)]
pub(super) struct RosterEntry {
    pub(super) heartbeat: HostHeartbeat,
    digest: IncarnationDigest,
    /// Sequence number of the latest heartbeat that any host received; `heartbeat` may be older.
    latest_beat: u64,
    heard_at: Instant,
    pub(super) changed_at: Instant,
    /// When the host itself sent `heartbeat`; `None` if it was forwarded.
    sent_at: Option<Instant>,
    replaced_incarnation: Option<Incarnation>,
}

impl HostRoster {
    /// Records a heartbeat and returns whether it was new. `is_direct` means that the host itself sent it: only then
    /// may it replace another incarnation that is live, and only then does its demand count.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: HostHeartbeat,
        is_direct: bool,
        now: Instant,
    ) -> bool {
        let is_full = self.entries.len() >= MAX_HOSTS;
        match self.entries.get_mut(&heartbeat.host) {
            None if is_full => false,
            None => {
                self.insert(heartbeat, None, is_direct, now);
                true
            }
            Some(known) if known.heartbeat.incarnation == heartbeat.incarnation => {
                known.record_beat(heartbeat.beat, now);
                let is_later = heartbeat.beat > known.heartbeat.beat;
                if is_later {
                    known.replace_heartbeat(heartbeat, is_direct, now);
                }
                is_later
            }
            Some(known) => {
                let is_old = known.replaced_incarnation == Some(heartbeat.incarnation);
                let is_silent = now.saturating_duration_since(known.heard_at) > LIVENESS_TIMEOUT;
                if !is_direct && (is_old || !is_silent) {
                    return false;
                }
                let (digest, replaced_incarnation) = (known.digest, known.heartbeat.incarnation);
                self.digests.swap_remove(&digest);
                self.insert(heartbeat, Some(replaced_incarnation), is_direct, now);
                true
            }
        }
    }

    /// Records that another host received a heartbeat of a process; unknown processes are ignored.
    pub fn record_liveness(&mut self, liveness: LivenessDigest, now: Instant) {
        let known = self.digests.get(&liveness.start).and_then(|host| self.entries.get_mut(host));
        let Some(known) = known else { return };
        if known.record_beat(liveness.beat, now) {
            known.set_phase(liveness.phase, now);
        }
    }

    /// Records that a host said that it reaches no target, until its next heartbeat.
    pub fn record_lost_reach(&mut self, host: &str, now: Instant) {
        if let Some(known) = self.entries.get_mut(host) {
            known.set_reach(false, now);
        }
    }

    /// Records that a host serves by a configuration, which may be later than its latest heartbeat says.
    pub fn record_position(&mut self, host: &str, position: ConfigurationPosition) {
        match self.entries.get_mut(host).map(|known| &mut known.heartbeat) {
            Some(known) if position.supersedes(&known.configuration_position()) => {
                known.set_configuration_position(position);
            }
            _ => {}
        }
    }

    fn insert(
        &mut self,
        heartbeat: HostHeartbeat,
        replaced_incarnation: Option<Incarnation>,
        is_direct: bool,
        now: Instant,
    ) {
        let digest = digest_incarnation(&heartbeat);
        self.digests.insert(digest, heartbeat.host.clone());
        let (host, latest_beat) = (heartbeat.host.clone(), heartbeat.beat);
        let entry = RosterEntry {
            heartbeat,
            digest,
            latest_beat,
            heard_at: now,
            changed_at: now,
            sent_at: is_direct.then_some(now),
            replaced_incarnation,
        };
        self.entries.insert(host, entry);
    }

    /// Removes hosts that were silent for too long, and hosts that shut down.
    pub fn prune(&mut self, now: Instant) {
        let digests = &mut self.digests;
        self.entries.retain(|_, entry| {
            let silent = now.saturating_duration_since(entry.heard_at);
            let is_kept = match entry.heartbeat.phase {
                HostPhase::Leaving => silent < LIVENESS_TIMEOUT,
                _ => silent < EVICTION_TIMEOUT,
            };
            if !is_kept {
                digests.swap_remove(&entry.digest);
            }
            is_kept
        });
    }

    /// Returns whether a host is known with this incarnation, live or not.
    pub fn knows_incarnation(&self, host: &str, incarnation: Incarnation) -> bool {
        self.entries.get(host).is_some_and(|entry| entry.heartbeat.incarnation == incarnation)
    }

    /// Returns the hosts heard of within `LIVENESS_TIMEOUT`.
    pub fn live_hosts(&self, now: Instant) -> impl Iterator<Item = &HostHeartbeat> {
        self.entries.values().filter(move |entry| entry.is_live(now)).map(|entry| &entry.heartbeat)
    }

    /// Returns the hosts that sent this one a heartbeat within `max_age`.
    pub fn recent_senders(
        &self,
        max_age: Duration,
        now: Instant,
    ) -> impl Iterator<Item = &HostHeartbeat> {
        let is_recent = move |entry: &&RosterEntry| {
            entry.sent_at.is_some_and(|at| now.saturating_duration_since(at) <= max_age)
        };
        self.entries.values().filter(is_recent).map(|entry| &entry.heartbeat)
    }

    /// Returns all hosts that may still serve, live or not.
    pub fn known_hosts(&self) -> impl Iterator<Item = &HostHeartbeat> {
        self.entries.values().map(|entry| &entry.heartbeat)
    }

    /// Returns all hosts that may still serve, each with whether it is live.
    pub fn hosts_with_liveness(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&HostHeartbeat, bool)> {
        self.entries.values().map(move |entry| (&entry.heartbeat, entry.is_live(now)))
    }

    /// Returns the requests a second of a customer in a region as last published by its keeper; `None` if no host of
    /// the region is known. After a change of keeper the higher figure counts.
    pub fn demand_in_region(&self, region: &RegionId, customer: &str) -> Option<f64> {
        let hosts = self.known_hosts().filter(|heartbeat| heartbeat.region == *region);
        let demands = hosts
            .map(|heartbeat| f64::from(heartbeat.demand.get(customer).copied().unwrap_or(0.0)));
        demands.reduce(f64::max)
    }
}

impl From<(IncarnationDigest, u64, HostPhase)> for LivenessDigest {
    fn from((start, beat, phase): (IncarnationDigest, u64, HostPhase)) -> Self {
        Self { start, beat, phase }
    }
}

impl From<LivenessDigest> for (IncarnationDigest, u64, HostPhase) {
    fn from(liveness: LivenessDigest) -> Self {
        (liveness.start, liveness.beat, liveness.phase)
    }
}

impl RosterEntry {
    /// Records the sequence number of a heartbeat; returns whether it is later than all before.
    fn record_beat(&mut self, beat: u64, now: Instant) -> bool {
        let is_later = beat > self.latest_beat;
        if is_later {
            self.latest_beat = beat;
            self.heard_at = now;
        }
        is_later
    }

    pub(super) fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard_at) <= LIVENESS_TIMEOUT
    }

    pub(super) fn liveness(&self) -> LivenessDigest {
        LivenessDigest { start: self.digest, beat: self.latest_beat, phase: self.heartbeat.phase }
    }

    fn set_phase(&mut self, phase: HostPhase, now: Instant) {
        if phase != self.heartbeat.phase {
            self.heartbeat.phase = phase;
            self.changed_at = now;
        }
    }

    fn set_reach(&mut self, reaches_targets: bool, now: Instant) {
        if reaches_targets != self.heartbeat.reaches_targets {
            self.heartbeat.reaches_targets = reaches_targets;
            self.changed_at = now;
        }
    }

    /// Replaces the heartbeat by a later one. If another host forwarded it, the known measurements are kept.
    fn replace_heartbeat(&mut self, heartbeat: HostHeartbeat, is_direct: bool, now: Instant) {
        // A liveness digest may have carried a later phase than this heartbeat.
        let phase =
            if heartbeat.beat >= self.latest_beat { heartbeat.phase } else { self.heartbeat.phase };
        self.set_phase(phase, now);
        self.set_reach(heartbeat.reaches_targets, now);
        if heartbeat.follows_store != self.heartbeat.follows_store {
            self.changed_at = now;
        }
        self.sent_at = is_direct.then_some(now);
        let known = std::mem::replace(&mut self.heartbeat, HostHeartbeat { phase, ..heartbeat });
        if !is_direct {
            self.heartbeat.demand = known.demand;
            self.heartbeat.spill = known.spill;
            self.heartbeat.loads = known.loads;
        }
    }
}

fn digest_incarnation(heartbeat: &HostHeartbeat) -> IncarnationDigest {
    let score = rendezvous_score(&[&heartbeat.host, &heartbeat.incarnation.to_string()]);
    (score >> 32) as IncarnationDigest
}
