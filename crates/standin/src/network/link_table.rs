//! Failure domains of addresses, and the state of the links between failure domains.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::watch;

/// One-way latencies between failure domains; inside one there is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkLatency {
    /// Latency between failure domains of one region.
    pub between_domains: Duration,
    /// Latency between failure domains of different regions.
    pub between_regions: Duration,
}

/// How a link that is cut behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkCut {
    /// Bytes wait, and new connections get no answer.
    Silent,
    /// New connections are refused; open ones go on.
    Refusing,
    /// New connections are refused, and open ones are reset.
    Resetting,
}

/// State of the network: regions of failure domains, failure domains of addresses, and the links that are cut.
#[derive(Default)]
pub struct LinkTable {
    latency: LinkLatency,
    state: Mutex<TableState>,
    changes: watch::Sender<u64>,
}

#[derive(Default)]
struct TableState {
    regions_by_domain: IndexMap<Box<str>, Box<str>>,
    domains_by_address: IndexMap<SocketAddr, Box<str>>,
    cut_links: IndexMap<(Box<str>, Box<str>), LinkCut>,
    dial_delay: Duration,
}

impl LinkTable {
    /// Creates a network without failure domains and without cuts.
    pub fn new(latency: LinkLatency) -> Self {
        Self { latency, ..Self::default() }
    }

    /// Adds a failure domain, or moves it to another region.
    pub fn add_domain(&self, domain: &str, region: &str) {
        self.state().regions_by_domain.insert(domain.into(), region.into());
    }

    /// Sets the failure domain of an address.
    pub fn add_address(&self, address: SocketAddr, domain: &str) {
        self.state().domains_by_address.insert(address, domain.into());
    }

    /// Delays each new connection by a time from now on; open ones keep their pace.
    pub fn set_dial_delay(&self, delay: Duration) {
        self.state().dial_delay = delay;
    }

    /// Time by which new connections are delayed.
    pub fn dial_delay(&self) -> Duration {
        self.state().dial_delay
    }

    /// Cuts the links between a failure domain and all others, in both directions.
    pub fn cut_domain(&self, domain: &str) {
        let mut state = self.state();
        let others: Vec<_> =
            state.regions_by_domain.keys().filter(|name| ***name != *domain).cloned().collect();
        for other in others {
            state.cut_links.insert((domain.into(), other.clone()), LinkCut::Silent);
            state.cut_links.insert((other, domain.into()), LinkCut::Silent);
        }
        drop(state);
        self.notify_change();
    }

    /// Cuts the links between a region and all others, in both directions; links inside the region stay.
    pub fn cut_region(&self, region: &str) {
        let mut state = self.state();
        let (inside_domains, outside_domains): (Vec<_>, Vec<_>) =
            state.regions_by_domain.clone().into_iter().partition(|(_, name)| **name == *region);
        for (domain, _) in inside_domains {
            for (other, _) in &outside_domains {
                state.cut_links.insert((domain.clone(), other.clone()), LinkCut::Silent);
                state.cut_links.insert((other.clone(), domain.clone()), LinkCut::Silent);
            }
        }
        drop(state);
        self.notify_change();
    }

    /// Cuts the link between two failure domains in both directions.
    pub fn cut_link(&self, domain: &str, other: &str, cut: LinkCut) {
        let mut state = self.state();
        state.cut_links.insert((domain.into(), other.into()), cut);
        state.cut_links.insert((other.into(), domain.into()), cut);
        drop(state);
        self.notify_change();
    }

    /// How the link from one failure domain to another is cut; `None` if it is not.
    pub fn cut_of(&self, from: &str, to: &str) -> Option<LinkCut> {
        self.state().cut_links.get(&(from.into(), to.into())).copied()
    }

    /// Restores all links that are cut.
    pub fn heal(&self) {
        self.state().cut_links.clear();
        self.notify_change();
    }

    /// Failure domain of an address; `None` if none was set.
    pub fn domain_of(&self, address: SocketAddr) -> Option<Box<str>> {
        self.state().domains_by_address.get(&address).cloned()
    }

    /// Region of a failure domain; `None` if the failure domain was not added.
    pub fn region_of(&self, domain: &str) -> Option<Box<str>> {
        self.state().regions_by_domain.get(domain).cloned()
    }

    /// Failure domains in the order in which they were added.
    pub fn domains(&self) -> Vec<Box<str>> {
        self.state().regions_by_domain.keys().cloned().collect()
    }

    /// Regions in the order in which their first failure domains were added.
    pub fn regions(&self) -> IndexSet<Box<str>> {
        self.state().regions_by_domain.values().cloned().collect()
    }

    /// One-way latency between two failure domains; unknown ones count as in one region.
    pub fn latency(&self, from: &str, to: &str) -> Duration {
        let state = self.state();
        match (state.regions_by_domain.get(from), state.regions_by_domain.get(to)) {
            _ if from == to => Duration::ZERO,
            (Some(one), Some(other)) if one != other => self.latency.between_regions,
            _ => self.latency.between_domains,
        }
    }

    /// Waits until the link from one failure domain to another is not silent.
    pub async fn wait_connected(&self, from: &str, to: &str) {
        self.wait_until(from, to, |cut| cut != Some(LinkCut::Silent)).await;
    }

    /// Waits until the link from one failure domain to another resets its connections.
    pub async fn wait_reset(&self, from: &str, to: &str) {
        self.wait_until(from, to, |cut| cut == Some(LinkCut::Resetting)).await;
    }

    async fn wait_until(&self, from: &str, to: &str, check: impl Fn(Option<LinkCut>) -> bool) {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if check(self.cut_of(from, to)) {
                return;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn notify_change(&self) {
        self.changes.send_modify(|version| *version += 1);
    }

    fn state(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
