//! Which hosts are there, learned from their heartbeats.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::fleet::HostNews;
use crate::fleet::HostPhase;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::RegionId;

/// Time without a heartbeat after which a host is not named to callers; the platform allows 6 s.
pub const LISTED_FOR: Duration = Duration::from_millis(2_500);
/// Time without a heartbeat for which a host's share of limits stays with it: it may be cut off and go on serving.
const COUNTED_FOR: Duration = Duration::from_secs(60);
/// Most hosts remembered; bounds memory against forged heartbeats.
const MAX_HOSTS: usize = 4_096;

/// Hosts by name, each with its latest heartbeat.
#[derive(Clone, Debug, Default)]
pub struct HostRoster {
    entries: IndexMap<HostId, RosterEntry>,
}

#[derive(Clone, Debug)]
struct RosterEntry {
    news: HostNews,
    heard_at: Instant,
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
                let entry = RosterEntry { heard_at: now, replaced: None, news };
                self.entries.insert(entry.news.host.clone(), entry);
                true
            }
            Some(known) if known.news.incarnation == news.incarnation => {
                let is_later = news.beat > known.news.beat;
                if is_later {
                    let demand = std::mem::take(&mut known.news.demand);
                    known.news = news;
                    if !is_direct {
                        known.news.demand = demand;
                    }
                    known.heard_at = now;
                }
                is_later
            }
            Some(known) => {
                let is_old = known.replaced == Some(news.incarnation);
                let is_silent = now.saturating_duration_since(known.heard_at) > LISTED_FOR;
                if !is_direct && (is_old || !is_silent) {
                    return false;
                }
                known.replaced = Some(known.news.incarnation);
                known.news = news;
                known.heard_at = now;
                true
            }
        }
    }

    /// Forgets hosts that were silent for too long, and those that left.
    pub fn prune(&mut self, now: Instant) {
        self.entries.retain(|_, entry| {
            let silent = now.saturating_duration_since(entry.heard_at);
            match entry.news.phase {
                HostPhase::Leaving => silent < LISTED_FOR,
                _ => silent < COUNTED_FOR,
            }
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

    /// Up to `count` hosts at random that may still serve.
    pub fn sample<R: Rng>(&self, count: usize, rng: &mut R) -> Vec<HostNews> {
        let all: Vec<&HostNews> = self.counted().collect();
        all.sample(rng, count).map(|news| (*news).clone()).collect()
    }
}
