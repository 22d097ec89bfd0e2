//! Which entry hosts a caller is told to use.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::HostNews;
use coordination::fleet::HostPhase;

use crate::entry::EntryState;
use crate::entry::HostPlace;
use crate::interface::LookUpAsk;

/// Most hosts in an answer; callers read no more than 64.
const MAX_HOSTS: usize = 64;
/// Hosts from which on callers are kept to their own failure domain.
const ENOUGH_HOSTS: usize = 2;

/// The entry hosts for a caller: those of its failure domain if there are enough, else of its region, else all.
pub fn hosts_for(state: &EntryState, ask: &LookUpAsk) -> Vec<SocketAddr> {
    let core = state.lock();
    let itself = (!core.is_leaving()).then(|| state.own().place());
    let live = core.roster.live(Instant::now()).filter(|news| news.phase == HostPhase::Serving);
    let hosts: Vec<HostPlace<'_>> = itself.into_iter().chain(live.map(place_of)).collect();
    let near = addresses(&hosts, |host| *host.failure_domain == *ask.failure_domain);
    let regional = addresses(&hosts, |host| *host.region == *ask.region);
    let mut chosen = match (near.len(), regional.len()) {
        (count, _) if count >= ENOUGH_HOSTS => near,
        (_, count) if count > 0 => regional,
        _ => addresses(&hosts, |_| true),
    };
    chosen.truncate(MAX_HOSTS);
    chosen
}

fn addresses(hosts: &[HostPlace<'_>], fits: impl Fn(&HostPlace<'_>) -> bool) -> Vec<SocketAddr> {
    hosts.iter().filter(|host| fits(host)).map(|host| host.callers).collect()
}

fn place_of(news: &HostNews) -> HostPlace<'_> {
    HostPlace { failure_domain: &news.failure_domain, region: &news.region, callers: news.callers }
}

/// Time for which an answer holds, within what the platform allows.
pub fn look_up_life(state: &EntryState) -> Duration {
    /// Life of an answer while all is well: short enough for callers to hear of a host that ends within its grace period.
    const LIFE: Duration = Duration::from_secs(2);
    let longest = Duration::from_secs_f64(state.bounds().look_up_life_seconds.max(0.1));
    LIFE.min(longest)
}
