//! Which entry hosts a caller is told to use.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::HostHeartbeat;
use coordination::fleet::HostPhase;
use rand::seq::IndexedRandom;

use crate::entry::EntryState;
use crate::interface::LookUpAsk;

/// Most hosts in an answer; callers read no more than 64.
const MAX_HOSTS: usize = 64;
/// Most hosts drawn for one answer where hosts differ in size.
const DRAWN_HOSTS: usize = 8;
/// Capacity that a host counts for at least, in cores.
const MIN_CAPACITY: f64 = 0.01;
/// Hosts from which on callers are kept to their own failure domain.
const ENOUGH_HOSTS: usize = 2;

/// Where an entry host stands, and where callers reach it.
#[derive(Clone, Copy, Debug)]
struct HostPlace<'a> {
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
pub fn hosts_for(state: &EntryState, ask: &LookUpAsk) -> Vec<SocketAddr> {
    let core = state.lock();
    let own = state.own();
    let itself = (!core.is_leaving()).then(|| HostPlace {
        failure_domain: &own.failure_domain,
        region: &own.region,
        callers: own.callers,
        capacity: state.settings().capacity_cores,
    });
    let live =
        core.roster.live_hosts(Instant::now()).filter(|news| news.phase == HostPhase::Serving);
    let hosts: Vec<HostPlace<'_>> = itself.into_iter().chain(live.map(place_of)).collect();
    let of = |fits: &dyn Fn(&HostPlace<'_>) -> bool| -> Vec<HostPlace<'_>> {
        hosts.iter().filter(|host| fits(host)).copied().collect()
    };
    let near = of(&|host| *host.failure_domain == *ask.failure_domain);
    let regional = of(&|host| *host.region == *ask.region);
    match (near.len(), regional.len()) {
        (count, _) if count >= ENOUGH_HOSTS => spread(&near),
        (_, count) if count > 0 => spread(&regional),
        _ => spread(&hosts),
    }
}

/// Hosts for one caller. Callers take one of them at random, so hosts that differ in size are drawn by their size.
fn spread(hosts: &[HostPlace<'_>]) -> Vec<SocketAddr> {
    let is_even = hosts.windows(2).all(|pair| pair[0].capacity == pair[1].capacity);
    let count = match is_even {
        true => MAX_HOSTS,
        false => (hosts.len() / 2).clamp(ENOUGH_HOSTS, DRAWN_HOSTS),
    };
    let weight = |host: &HostPlace<'_>| host.capacity.max(MIN_CAPACITY);
    match hosts.sample_weighted(&mut rand::rng(), count, weight) {
        Ok(drawn) => drawn.map(|host| host.callers).collect(),
        Err(_) => hosts.iter().take(count).map(|host| host.callers).collect(),
    }
}

fn place_of(news: &HostHeartbeat) -> HostPlace<'_> {
    HostPlace {
        failure_domain: &news.failure_domain,
        region: &news.region,
        callers: news.callers,
        capacity: news.capacity,
    }
}

/// Time for which an answer holds, within what the platform allows.
pub fn look_up_life(state: &EntryState) -> Duration {
    /// Life of an answer while all is well: short enough for callers to hear of a host that ends within its grace period.
    const LIFE: Duration = Duration::from_secs(2);
    let longest = Duration::from_secs_f64(state.bounds().look_up_life_seconds.max(0.1));
    LIFE.min(longest)
}
