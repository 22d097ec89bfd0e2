//! Which hosts are there, learned from their heartbeats.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::HostNews;
use crate::fleet::HostPhase;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::RegionId;
use crate::rendezvous::rendezvous_score;

/// Time without a heartbeat after which a host is not named to callers; the platform allows 6 s.
pub const LISTED_FOR: Duration = Duration::from_millis(2_500);
/// Time without a heartbeat for which a host's share of limits stays with it: it may be cut off and go on serving.
const COUNTED_FOR: Duration = Duration::from_secs(60);
/// Time for which a host that joined or changed its phase goes first among the news passed on.
const FRESH_FOR: Duration = Duration::from_secs(3);
/// Part of the fleet that each heartbeat says to be alive, and bounds of that number. With twelve heartbeats that come in each
/// second, a host is heard of three to four times a second, and is missed for 2.5 s once in thousands of times.
const SEEN_DIVISOR: usize = 3;
const SEEN_BOUNDS: (usize, usize) = (16, 64);
/// Most hosts remembered; bounds memory against forged heartbeats.
const MAX_HOSTS: usize = 4_096;

/// Short name of a process start, by which hosts tell each other that it lives.
pub type StartDigest = u32;

/// What hosts tell each other of one that lives, in few bytes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(StartDigest, u64, HostPhase)", into = "(StartDigest, u64, HostPhase)")]
pub struct LifeSign {
    /// Process start.
    pub start: StartDigest,
    /// Number of its latest heartbeat that was heard.
    pub beat: u64,
    /// Whether it takes new callers.
    pub phase: HostPhase,
}

/// Hosts by name, each with its latest heartbeat.
#[derive(Clone, Debug, Default)]
pub struct HostRoster {
    entries: IndexMap<HostId, RosterEntry>,
    digests: IndexMap<StartDigest, HostId>,
}

#[derive(Clone, Debug)]
struct RosterEntry {
    news: HostNews,
    digest: StartDigest,
    /// Latest heartbeat that some host heard; `news` may be older.
    seen_beat: u64,
    heard_at: Instant,
    changed_at: Instant,
    replaced: Option<Incarnation>,
}

impl HostRoster {
    /// Takes news of a host; returns whether they were new. `is_direct` says that the host itself sent them: only then
    /// may another incarnation replace one that was heard lately, and only then do they tell of demand.
    pub fn hear(&mut self, news: HostNews, is_direct: bool, now: Instant) -> bool {
        let is_full = self.entries.len() >= MAX_HOSTS;
        match self.entries.get_mut(&news.host) {
            None if is_full => false,
            None => {
                self.insert(news, None, now);
                true
            }
            Some(known) if known.news.incarnation == news.incarnation => {
                known.seen(news.beat, now);
                let is_later = news.beat > known.news.beat;
                if is_later {
                    known.replace(news, is_direct, now);
                }
                is_later
            }
            Some(known) => {
                let is_old = known.replaced == Some(news.incarnation);
                let is_silent = now.saturating_duration_since(known.heard_at) > LISTED_FOR;
                if !is_direct && (is_old || !is_silent) {
                    return false;
                }
                let (digest, replaced) = (known.digest, known.news.incarnation);
                self.digests.swap_remove(&digest);
                self.insert(news, Some(replaced), now);
                true
            }
        }
    }

    /// Takes note that a process start was heard by another host.
    pub fn hear_sign(&mut self, sign: LifeSign, now: Instant) {
        let known = self.digests.get(&sign.start).and_then(|host| self.entries.get_mut(host));
        let Some(known) = known else { return };
        if known.seen(sign.beat, now) {
            known.set_phase(sign.phase, now);
        }
    }

    fn insert(&mut self, news: HostNews, replaced: Option<Incarnation>, now: Instant) {
        let digest = digest_of(&news);
        self.digests.insert(digest, news.host.clone());
        let (host, seen_beat) = (news.host.clone(), news.beat);
        let entry =
            RosterEntry { news, digest, seen_beat, heard_at: now, changed_at: now, replaced };
        self.entries.insert(host, entry);
    }

    /// Forgets hosts that were silent for too long, and those that left.
    pub fn prune(&mut self, now: Instant) {
        let digests = &mut self.digests;
        self.entries.retain(|_, entry| {
            let silent = now.saturating_duration_since(entry.heard_at);
            let is_kept = match entry.news.phase {
                HostPhase::Leaving => silent < LISTED_FOR,
                _ => silent < COUNTED_FOR,
            };
            if !is_kept {
                digests.swap_remove(&entry.digest);
            }
            is_kept
        });
    }

    /// Whether a host is known.
    pub fn knows(&self, host: &str, incarnation: Incarnation) -> bool {
        self.entries.get(host).is_some_and(|entry| entry.news.incarnation == incarnation)
    }

    /// Hosts heard lately.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &HostNews> {
        self.entries
            .values()
            .filter(move |entry| now.saturating_duration_since(entry.heard_at) <= LISTED_FOR)
            .map(|entry| &entry.news)
    }

    /// Hosts that may still serve, whether heard lately or not.
    pub fn counted(&self) -> impl Iterator<Item = &HostNews> {
        self.entries.values().map(|entry| &entry.news)
    }

    /// Hosts that may still serve, each with whether it was heard lately.
    pub fn with_life(&self, now: Instant) -> impl Iterator<Item = (&HostNews, bool)> {
        let is_live =
            move |entry: &RosterEntry| now.saturating_duration_since(entry.heard_at) <= LISTED_FOR;
        self.entries.values().map(move |entry| (&entry.news, is_live(entry)))
    }

    /// Requests a second of a customer in a region as its keeper last told; `None` if no host of the region is known. Where
    /// the keeper changed, the higher figure counts.
    pub fn demand_of(&self, region: &RegionId, customer: &str) -> Option<f64> {
        let hosts = self.counted().filter(|news| news.region == *region);
        let demands =
            hosts.map(|news| f64::from(news.demand.get(customer).copied().unwrap_or(0.0)));
        demands.reduce(f64::max)
    }

    /// Up to `count` hosts that may still serve: those that joined or changed their phase lately, then others at random.
    pub fn sample<R: Rng>(&self, count: usize, now: Instant, rng: &mut R) -> Vec<HostNews> {
        let is_fresh =
            |entry: &&RosterEntry| now.saturating_duration_since(entry.changed_at) < FRESH_FOR;
        let (fresh, usual): (Vec<_>, Vec<_>) = self.entries.values().partition(is_fresh);
        let mut chosen: Vec<&RosterEntry> = fresh.sample(rng, count).copied().collect();
        chosen.extend(usual.sample(rng, count - chosen.len()).copied());
        chosen.into_iter().map(|entry| entry.news.clone()).collect()
    }

    /// Process starts at random that were heard lately, each with its latest heartbeat. They say in few bytes
    /// who lives: in a large fleet a host hears most others through these only.
    pub fn seen<R: Rng>(&self, now: Instant, rng: &mut R) -> Vec<LifeSign> {
        let live =
            |entry: &&RosterEntry| now.saturating_duration_since(entry.heard_at) <= LISTED_FOR;
        let live: Vec<&RosterEntry> = self.entries.values().filter(live).collect();
        let count = (live.len() / SEEN_DIVISOR).clamp(SEEN_BOUNDS.0, SEEN_BOUNDS.1);
        live.sample(rng, count).map(|entry| entry.sign()).collect()
    }
}

impl From<(StartDigest, u64, HostPhase)> for LifeSign {
    fn from((start, beat, phase): (StartDigest, u64, HostPhase)) -> Self {
        Self { start, beat, phase }
    }
}

impl From<LifeSign> for (StartDigest, u64, HostPhase) {
    fn from(sign: LifeSign) -> Self {
        (sign.start, sign.beat, sign.phase)
    }
}

impl RosterEntry {
    /// Takes note of a heartbeat; returns whether it is later than those heard of before.
    fn seen(&mut self, beat: u64, now: Instant) -> bool {
        let is_later = beat > self.seen_beat;
        if is_later {
            self.seen_beat = beat;
            self.heard_at = now;
        }
        is_later
    }

    fn sign(&self) -> LifeSign {
        LifeSign { start: self.digest, beat: self.seen_beat, phase: self.news.phase }
    }

    fn set_phase(&mut self, phase: HostPhase, now: Instant) {
        if phase != self.news.phase {
            self.news.phase = phase;
            self.changed_at = now;
        }
    }

    /// Takes later news. Those of another host do not tell of demand.
    fn replace(&mut self, news: HostNews, is_direct: bool, now: Instant) {
        // A sign may have told of a later phase than these news.
        let phase = if news.beat >= self.seen_beat { news.phase } else { self.news.phase };
        self.set_phase(phase, now);
        let known = std::mem::replace(&mut self.news, HostNews { phase, ..news });
        if !is_direct {
            self.news.demand = known.demand;
        }
    }
}

fn digest_of(news: &HostNews) -> StartDigest {
    let score = rendezvous_score(&[&news.host, &news.incarnation.to_string()]);
    (score >> 32) as StartDigest
}
