//! Selects the entry hosts that a caller's look-up returns.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::HostHeartbeat;
use coordination::fleet::HostPhase;
use rand::seq::IndexedRandom;

use crate::entry::EntryState;
use crate::interface::LookUpRequest;

/// Largest number of hosts in an answer; callers read no more than 64.
const MAX_HOSTS: usize = 64;
/// Largest number of hosts in an answer where hosts differ in capacity.
const MAX_SAMPLED_HOSTS: usize = 8;
/// Smallest capacity that a host is weighted by, in cores.
const MIN_CAPACITY: f64 = 0.01;
/// Number of hosts in a failure domain from which its callers are given no others, and fewest hosts of a sampled answer.
const MIN_HOSTS: usize = 2;

/// An entry host that an answer may contain.
#[derive(Clone, Copy, Debug)]
struct HostCandidate<'a> {
    failure_domain: &'a str,
    region: &'a str,
    /// Address that callers connect to.
    callers: SocketAddr,
    /// Processor share, in cores.
    capacity: f64,
    /// Whether the host can open connections to targets.
    reaches_targets: bool,
}

/// Selects the entry hosts for a caller: those of its failure domain if there are at least two, else those of its
/// region, else all. Hosts that reach no target are left out unless none reaches any. The result is empty if no host serves.
pub fn select_hosts(state: &EntryState, ask: &LookUpRequest) -> Vec<SocketAddr> {
    let core = state.lock();
    let identity = state.identity();
    let own_host = (!core.is_leaving()).then(|| HostCandidate {
        failure_domain: &identity.failure_domain,
        region: &identity.region,
        callers: identity.caller_address,
        capacity: state.settings().capacity_cores,
        reaches_targets: !core.reach.is_lost(),
    });
    let live =
        core.roster.live_hosts(Instant::now()).filter(|news| news.phase == HostPhase::Serving);
    let mut hosts: Vec<HostCandidate<'_>> =
        own_host.into_iter().chain(live.map(candidate_of)).collect();
    if hosts.iter().any(|host| host.reaches_targets) {
        hosts.retain(|host| host.reaches_targets);
    }
    let hosts_where = |fits: &dyn Fn(&HostCandidate<'_>) -> bool| -> Vec<HostCandidate<'_>> {
        hosts.iter().filter(|host| fits(host)).copied().collect()
    };
    let in_domain = hosts_where(&|host| *host.failure_domain == *ask.failure_domain);
    let regional = hosts_where(&|host| *host.region == *ask.region);
    match (in_domain.len(), regional.len()) {
        (count, _) if count >= MIN_HOSTS => sample_hosts(&in_domain),
        (_, count) if count > 0 => sample_hosts(&regional),
        _ => sample_hosts(&hosts),
    }
}

/// Samples the hosts of one answer. Callers use one of them at random, so hosts of different capacity are sampled by
/// capacity.
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

fn candidate_of(news: &HostHeartbeat) -> HostCandidate<'_> {
    HostCandidate {
        failure_domain: &news.failure_domain,
        region: &news.region,
        callers: news.callers,
        capacity: news.capacity,
        reaches_targets: news.reaches_targets,
    }
}

/// Time for which callers may cache an answer, within the limit that the platform sets.
pub fn look_up_ttl(state: &EntryState) -> Duration {
    /// Default lifetime, short enough for callers to learn of a host's shutdown within its grace period.
    const DEFAULT_TTL: Duration = Duration::from_secs(2);
    let longest = Duration::from_secs_f64(state.bounds().look_up_life_seconds.max(0.1));
    DEFAULT_TTL.min(longest)
}
