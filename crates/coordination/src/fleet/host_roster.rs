//! Which hosts are there, learned from their heartbeats.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::HostHeartbeat;
use crate::fleet::HostPhase;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::RegionId;
use crate::rendezvous::rendezvous_score;

/// Time without a heartbeat after which a host is not named to callers; the platform allows 6 s.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a heartbeat for which a host's share of limits stays with it: it may be cut off and go on serving.
const EVICTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which a host that joined or changed its phase goes first among the news passed on.
const RECENT_CHANGE_TIME: Duration = Duration::from_secs(3);
/// Part of the fleet that each heartbeat says to be alive, and bounds of that number. With twelve heartbeats that come in each
/// second, a host is heard of three to four times a second, and is missed for 2.5 s once in thousands of times.
const DIGEST_SAMPLE_DIVISOR: usize = 3;
const DIGEST_SAMPLE_BOUNDS: (usize, usize) = (16, 64);
/// Most hosts remembered; bounds memory against forged heartbeats.
const MAX_HOSTS: usize = 4_096;

/// Short name of a process start, by which hosts tell each other that it lives.
pub type IncarnationDigest = u32;

/// What hosts tell each other of one that lives, in few bytes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(IncarnationDigest, u64, HostPhase)", into = "(IncarnationDigest, u64, HostPhase)")]
pub struct LivenessDigest {
    /// Process start.
    pub start: IncarnationDigest,
    /// Number of its latest heartbeat that was heard.
    pub beat: u64,
    /// Whether it takes new callers.
    pub phase: HostPhase,
}

/// Hosts by name, each with its latest heartbeat.
#[derive(Clone, Debug, Default)]
pub struct HostRoster {
    entries: IndexMap<HostId, RosterEntry>,
    digests: IndexMap<IncarnationDigest, HostId>,
}

#[derive(Clone, Debug)]
struct RosterEntry {
    heartbeat: HostHeartbeat,
    digest: IncarnationDigest,
    /// Latest heartbeat that some host heard; `heartbeat` may be older.
    latest_beat: u64,
    heard_at: Instant,
    changed_at: Instant,
    replaced_incarnation: Option<Incarnation>,
}

impl HostRoster {
    /// Takes news of a host; returns whether they were new. `is_direct` says that the host itself sent them: only then
    /// may another incarnation replace one that was heard lately, and only then do they tell of demand.
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
                self.insert(heartbeat, None, now);
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
                self.insert(heartbeat, Some(replaced_incarnation), now);
                true
            }
        }
    }

    /// Takes note that a process start was heard by another host.
    pub fn record_liveness(&mut self, liveness: LivenessDigest, now: Instant) {
        let known = self.digests.get(&liveness.start).and_then(|host| self.entries.get_mut(host));
        let Some(known) = known else { return };
        if known.record_beat(liveness.beat, now) {
            known.set_phase(liveness.phase, now);
        }
    }

    fn insert(
        &mut self,
        heartbeat: HostHeartbeat,
        replaced_incarnation: Option<Incarnation>,
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
            replaced_incarnation,
        };
        self.entries.insert(host, entry);
    }

    /// Forgets hosts that were silent for too long, and those that left.
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

    /// Whether a host is known.
    pub fn knows_incarnation(&self, host: &str, incarnation: Incarnation) -> bool {
        self.entries.get(host).is_some_and(|entry| entry.heartbeat.incarnation == incarnation)
    }

    /// Hosts heard lately.
    pub fn live_hosts(&self, now: Instant) -> impl Iterator<Item = &HostHeartbeat> {
        self.entries
            .values()
            .filter(move |entry| now.saturating_duration_since(entry.heard_at) <= LIVENESS_TIMEOUT)
            .map(|entry| &entry.heartbeat)
    }

    /// Hosts that may still serve, whether heard lately or not.
    pub fn known_hosts(&self) -> impl Iterator<Item = &HostHeartbeat> {
        self.entries.values().map(|entry| &entry.heartbeat)
    }

    /// Hosts that may still serve, each with whether it was heard lately.
    pub fn hosts_with_liveness(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&HostHeartbeat, bool)> {
        let is_live = move |entry: &RosterEntry| {
            now.saturating_duration_since(entry.heard_at) <= LIVENESS_TIMEOUT
        };
        self.entries.values().map(move |entry| (&entry.heartbeat, is_live(entry)))
    }

    /// Requests a second of a customer in a region as its keeper last told; `None` if no host of the region is known. Where
    /// the keeper changed, the higher figure counts.
    pub fn demand_in_region(&self, region: &RegionId, customer: &str) -> Option<f64> {
        let hosts = self.known_hosts().filter(|heartbeat| heartbeat.region == *region);
        let demands = hosts
            .map(|heartbeat| f64::from(heartbeat.demand.get(customer).copied().unwrap_or(0.0)));
        demands.reduce(f64::max)
    }

    /// Up to `count` hosts that may still serve: those that joined or changed their phase lately, then others at random.
    pub fn sample_heartbeats<R: Rng>(
        &self,
        count: usize,
        now: Instant,
        rng: &mut R,
    ) -> Vec<HostHeartbeat> {
        let is_fresh = |entry: &&RosterEntry| {
            now.saturating_duration_since(entry.changed_at) < RECENT_CHANGE_TIME
        };
        let (fresh, usual): (Vec<_>, Vec<_>) = self.entries.values().partition(is_fresh);
        let mut chosen: Vec<&RosterEntry> = fresh.sample(rng, count).copied().collect();
        chosen.extend(usual.sample(rng, count - chosen.len()).copied());
        chosen.into_iter().map(|entry| entry.heartbeat.clone()).collect()
    }

    /// Process starts at random that were heard lately, each with its latest heartbeat. They say in few bytes
    /// who lives: in a large fleet a host hears most others through these only.
    pub fn sample_liveness<R: Rng>(&self, now: Instant, rng: &mut R) -> Vec<LivenessDigest> {
        let live = |entry: &&RosterEntry| {
            now.saturating_duration_since(entry.heard_at) <= LIVENESS_TIMEOUT
        };
        let live: Vec<&RosterEntry> = self.entries.values().filter(live).collect();
        let count = (live.len() / DIGEST_SAMPLE_DIVISOR)
            .clamp(DIGEST_SAMPLE_BOUNDS.0, DIGEST_SAMPLE_BOUNDS.1);
        live.sample(rng, count).map(|entry| entry.liveness()).collect()
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
    /// Takes note of a heartbeat; returns whether it is later than those heard of before.
    fn record_beat(&mut self, beat: u64, now: Instant) -> bool {
        let is_later = beat > self.latest_beat;
        if is_later {
            self.latest_beat = beat;
            self.heard_at = now;
        }
        is_later
    }

    fn liveness(&self) -> LivenessDigest {
        LivenessDigest { start: self.digest, beat: self.latest_beat, phase: self.heartbeat.phase }
    }

    fn set_phase(&mut self, phase: HostPhase, now: Instant) {
        if phase != self.heartbeat.phase {
            self.heartbeat.phase = phase;
            self.changed_at = now;
        }
    }

    /// Takes later news. Those of another host do not tell of demand.
    fn replace_heartbeat(&mut self, heartbeat: HostHeartbeat, is_direct: bool, now: Instant) {
        // A sign may have told of a later phase than these news.
        let phase =
            if heartbeat.beat >= self.latest_beat { heartbeat.phase } else { self.heartbeat.phase };
        self.set_phase(phase, now);
        let known = std::mem::replace(&mut self.heartbeat, HostHeartbeat { phase, ..heartbeat });
        if !is_direct {
            self.heartbeat.demand = known.demand;
        }
    }
}

fn digest_incarnation(heartbeat: &HostHeartbeat) -> IncarnationDigest {
    let score = rendezvous_score(&[&heartbeat.host, &heartbeat.incarnation.to_string()]);
    (score >> 32) as IncarnationDigest
}
