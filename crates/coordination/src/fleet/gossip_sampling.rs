//! What a host gossips and to whom. Most datagrams stay in the region of the host: relays, keepers and look-ups need fresh
//! news of its own region, and bytes between regions are billed the most.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::fleet::HostHeartbeat;
use crate::fleet::HostRoster;
use crate::fleet::LivenessDigest;
use crate::fleet::host_roster::RosterEntry;
use crate::ids::DomainId;
use crate::ids::RegionId;

/// Heartbeats of others in the answer to a host that has just started and knows few others; about 8 KB.
pub const INTRODUCED_HOSTS: usize = 32;

/// Number of known hosts from which receivers and digests are chosen by region. In a smaller fleet every host sends to
/// `SMALL_FANOUT` others, wherever they are.
const LARGE_FLEET_HOSTS: usize = 16;
const SMALL_FANOUT: usize = 6;
/// Hosts of the own failure domain, of the rest of the region and of other regions that receive each heartbeat in a large
/// fleet. Bytes within a failure domain are not billed.
const DOMAIN_FANOUT: usize = 2;
const REGION_FANOUT: usize = 2;
const FAR_FANOUT: usize = 1;
/// Time for which a host that joined, or changed its phase or whether it reaches targets, is preferred among the forwarded
/// heartbeats.
const RECENT_CHANGE_TIME: Duration = Duration::from_secs(3);
/// Each heartbeat carries liveness digests of one in `DIGEST_SAMPLE_DIVISOR` live hosts of the region, within these
/// bounds.
const DIGEST_SAMPLE_DIVISOR: usize = 2;
const DIGEST_SAMPLE_BOUNDS: (usize, usize) = (32, 48);
/// Digests of hosts of other regions in each heartbeat.
const FAR_DIGESTS: usize = 16;

impl HostRoster {
    /// Draws the mesh addresses of the hosts that receive the next heartbeat of a host in `own_domain` of `own_region`.
    /// Where a part of the fleet has too few hosts, the rest comes from the next larger one.
    pub fn draw_receivers<R: Rng>(
        &self,
        own_domain: &DomainId,
        own_region: &RegionId,
        rng: &mut R,
    ) -> Vec<SocketAddr> {
        let mut drawn: Vec<&RosterEntry> = Vec::new();
        if self.entries.len() < LARGE_FLEET_HOSTS {
            let all: Vec<_> = self.entries.values().collect();
            drawn.extend(all.sample(rng, SMALL_FANOUT));
        } else {
            let (near, far) = self.by_region(own_region);
            let (domain, region): (Vec<_>, Vec<_>) =
                near.into_iter().partition(|entry| entry.heartbeat.failure_domain == *own_domain);
            drawn.extend(domain.sample(rng, DOMAIN_FANOUT));
            drawn.extend(region.sample(rng, DOMAIN_FANOUT + REGION_FANOUT - drawn.len()));
            let rest = DOMAIN_FANOUT + REGION_FANOUT + FAR_FANOUT - drawn.len();
            drawn.extend(far.sample(rng, rest));
        }
        drawn.into_iter().map(|entry| entry.heartbeat.mesh).collect()
    }

    /// Returns the heartbeats of up to `count` known hosts to forward, without measurements: first of hosts that joined or
    /// changed their phase recently, then of others at random.
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
        chosen.into_iter().map(|entry| entry.heartbeat.without_measurements()).collect()
    }

    /// Returns liveness digests of random live hosts, most of them in `own_region`. In a large fleet a host learns of
    /// most others only through these digests.
    pub fn sample_liveness<R: Rng>(
        &self,
        own_region: &RegionId,
        now: Instant,
        rng: &mut R,
    ) -> Vec<LivenessDigest> {
        let (near, far) = self.by_region(own_region);
        let near: Vec<_> = near.into_iter().filter(|entry| entry.is_live(now)).collect();
        let far: Vec<_> = far.into_iter().filter(|entry| entry.is_live(now)).collect();
        let near_count = (near.len() / DIGEST_SAMPLE_DIVISOR)
            .clamp(DIGEST_SAMPLE_BOUNDS.0, DIGEST_SAMPLE_BOUNDS.1);
        let near = near.sample(rng, near_count).map(|entry| entry.liveness()).collect::<Vec<_>>();
        let far = far.sample(rng, FAR_DIGESTS).map(|entry| entry.liveness());
        near.into_iter().chain(far.collect::<Vec<_>>()).collect()
    }

    /// Splits the known hosts into those of the own region and those of other regions.
    fn by_region(&self, own_region: &RegionId) -> (Vec<&RosterEntry>, Vec<&RosterEntry>) {
        self.entries.values().partition(|entry| entry.heartbeat.region == *own_region)
    }
}
