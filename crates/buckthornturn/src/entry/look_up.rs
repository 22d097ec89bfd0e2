//! Which entry hosts a caller is told to use.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::HostNews;
use coordination::fleet::HostPhase;
use rand::seq::IndexedRandom;

use crate::entry::EntryState;
use crate::interface::LookUpAsk;

/// Most hosts in an answer; callers read no more than 64.
const MAX_HOSTS: usize = 64;
/// Most hosts drawn for one answer where hosts differ in size.
const MAX_SAMPLED_HOSTS: usize = 8;
/// Capacity that a host counts for at least, in cores.
const MIN_CAPACITY: f64 = 0.01;
/// Hosts from which on callers are kept to their own failure domain.
const MIN_HOSTS: usize = 2;

/// Where an entry host stands, and where callers reach it.
#[derive(Clone, Copy, Debug)]
struct HostCandidate<'a> {
    /// Failure domain.
    failure_domain: &'a str,
    /// Region.
    region: &'a str,
    /// Address for callers.
    callers: SocketAddr,
    /// Processor share, in cores.
    capacity: f64,
}

/// The entry hosts for a caller: those of its failure domain if there are enough, else of its region, else all.
pub fn select_hosts(state: &EntryState, ask: &LookUpAsk) -> Vec<SocketAddr> {
    let core = state.lock();
    let identity = state.identity();
    let own_host = (!core.is_leaving()).then(|| HostCandidate {
        failure_domain: &identity.failure_domain,
        region: &identity.region,
        callers: identity.callers,
        capacity: state.settings().capacity_cores,
    });
    let live = core.roster.live(Instant::now()).filter(|news| news.phase == HostPhase::Serving);
    let hosts: Vec<HostCandidate<'_>> =
        own_host.into_iter().chain(live.map(candidate_of)).collect();
    let hosts_where = |fits: &dyn Fn(&HostCandidate<'_>) -> bool| -> Vec<HostCandidate<'_>> {
        hosts.iter().filter(|host| fits(host)).copied().collect()
    };
    let near = hosts_where(&|host| *host.failure_domain == *ask.failure_domain);
    let regional = hosts_where(&|host| *host.region == *ask.region);
    match (near.len(), regional.len()) {
        (count, _) if count >= MIN_HOSTS => sample_hosts(&near),
        (_, count) if count > 0 => sample_hosts(&regional),
        _ => sample_hosts(&hosts),
    }
}

/// Hosts for one caller. Callers take one of them at random, so hosts that differ in size are drawn by their size.
fn sample_hosts(hosts: &[HostCandidate<'_>]) -> Vec<SocketAddr> {
    let is_uniform = hosts.windows(2).all(|pair| pair[0].capacity == pair[1].capacity);
    let count = match is_uniform {
        true => MAX_HOSTS,
        false => (hosts.len() / 2).clamp(MIN_HOSTS, MAX_SAMPLED_HOSTS),
    };
    let weight = |host: &HostCandidate<'_>| host.capacity.max(MIN_CAPACITY);
    match hosts.sample_weighted(&mut rand::rng(), count, weight) {
        Ok(sampled) => sampled.map(|host| host.callers).collect(),
        Err(_) => hosts.iter().take(count).map(|host| host.callers).collect(),
    }
}

fn candidate_of(news: &HostNews) -> HostCandidate<'_> {
    HostCandidate {
        failure_domain: &news.failure_domain,
        region: &news.region,
        callers: news.callers,
        capacity: news.capacity,
    }
}

/// Time for which an answer holds, within what the platform allows.
pub fn look_up_ttl(state: &EntryState) -> Duration {
    /// Life of an answer while all is well: short enough for callers to hear of a host that ends within its grace period.
    const DEFAULT_TTL: Duration = Duration::from_secs(2);
    let longest = Duration::from_secs_f64(state.bounds().look_up_life_seconds.max(0.1));
    DEFAULT_TTL.min(longest)
}
