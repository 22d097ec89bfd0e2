//! Model of the hosts of one region that follow a part of the state, with their gossip, in steps of ten milliseconds.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::HostHeartbeat;
use coordination::fleet::HostRoster;
use coordination::fleet::RouteHost;
use coordination::fleet::StateRoute;
use coordination::fleet::StoreContact;
use coordination::fleet::choose_state_route;
use coordination::fleet::other_candidates;
use coordination::retry_budget::full_jitter;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::heartbeats::heartbeat;

const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const ROUTE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
const BACKOFF_BOUNDS: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(1));
const RELAY_RETRY_DELAY: Duration = Duration::from_secs(5);
const FORWARDED_HEARTBEATS: usize = 3;
const SETTLE_TIME: Duration = Duration::from_secs(8);
const FIRST_PORT: u16 = 1_000;

/// Calls of all hosts since the loss of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    /// Watches that relays refused.
    pub refusals: usize,
    /// Calls to the store that failed.
    pub failed_calls: usize,
    /// Watches that were broken off for another route.
    pub restarts: usize,
}

struct ModelHost {
    own: HostHeartbeat,
    roster: HostRoster,
    contact: StoreContact,
    avoided: IndexMap<usize, Instant>,
    failures: u32,
    loses_store: bool,
    change: u64,
    applied_at: Instant,
    watched: Option<StateRoute>,
    acts_at: Instant,
    checks_at: Instant,
    beats_at: Instant,
}

/// Hosts of one region, their store, and the calls between them.
pub struct RelayModel {
    hosts: Vec<ModelHost>,
    change: u64,
    changed_at: Instant,
    counts: CallCounts,
    now: Instant,
    rng: StdRng,
}

impl RelayModel {
    /// Hosts that have started and follow the store through two relays.
    pub fn settled(count: usize, seed: u64) -> Self {
        let (now, mut rng) = (Instant::now(), StdRng::seed_from_u64(seed));
        let heartbeats: Vec<HostHeartbeat> = (0..count)
            .map(|number| HostHeartbeat {
                mesh: ([127, 0, 0, 1], FIRST_PORT + number as u16).into(),
                follows_store: number < 2,
                failure_domain: format!("d{}", number % 3).into(),
                ..heartbeat(&format!("host-{number:04}"), rng.random(), 1)
            })
            .collect();
        let hosts = heartbeats.iter().map(|own| {
            let mut roster = HostRoster::default();
            for known in heartbeats.iter().filter(|known| known.host != own.host) {
                roster.record_heartbeat(known.clone(), true, now);
            }
            ModelHost {
                own: own.clone(),
                roster,
                contact: StoreContact::default(),
                avoided: IndexMap::new(),
                failures: 0,
                loses_store: false,
                change: 0,
                applied_at: now,
                watched: None,
                acts_at: now,
                checks_at: now,
                beats_at: now + HEARTBEAT_INTERVAL.mul_f64(rng.random()),
            }
        });
        let hosts = hosts.collect();
        let counts = CallCounts::default();
        let mut model = Self { hosts, change: 1, changed_at: now, counts, now, rng };
        model.run(SETTLE_TIME);
        model.counts = CallCounts::default();
        model
    }

    /// Ends the link of some hosts to the store.
    pub fn lose_store(&mut self, hosts: Range<usize>) {
        for host in &mut self.hosts[hosts] {
            host.loses_store = true;
            if host.watched == Some(StateRoute::Store) {
                host.watched = None;
                host.acts_at = self.now;
            }
        }
    }

    /// Lets all hosts reach the store again, which has a change: its later era.
    pub fn return_store(&mut self) {
        self.hosts.iter_mut().for_each(|host| host.loses_store = false);
        self.write();
    }

    /// Changes the part in the store.
    pub fn write(&mut self) {
        self.change += 1;
        self.changed_at = self.now;
    }

    /// Time from the latest change until the first and the last host had it; `None` if one lacks it.
    pub fn apply_times(&self) -> Option<(Duration, Duration)> {
        let is_applied = self.hosts.iter().all(|host| host.change == self.change);
        let times = self.hosts.iter().map(|host| host.applied_at - self.changed_at);
        let (first, last) = (times.clone().min()?, times.max()?);
        is_applied.then_some((first, last))
    }

    /// Calls since the hosts had settled.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Numbers of the hosts that follow the store themselves.
    pub fn following(&self) -> Vec<usize> {
        let numbers = 0..self.hosts.len();
        numbers.filter(|host| self.hosts[*host].watched == Some(StateRoute::Store)).collect()
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for host in 0..self.hosts.len() {
                let known = &self.hosts[host];
                let is_changed = known.own.follows_store != known.contact.follows_store();
                if self.now >= known.beats_at || is_changed && self.now >= known.ticks_at() {
                    self.send_heartbeat(host);
                }
                if self.now >= self.hosts[host].acts_at {
                    self.follow(host);
                }
            }
        }
    }

    fn send_heartbeat(&mut self, host: usize) {
        let (now, rng) = (self.now, &mut self.rng);
        let sender = &mut self.hosts[host];
        sender.beats_at = now + HEARTBEAT_INTERVAL;
        sender.own.beat += 1;
        let is_changed = sender.own.follows_store != sender.contact.follows_store();
        sender.own.reaches_store = sender.contact.reaches_store();
        sender.own.follows_store = sender.contact.follows_store();
        let own = sender.own.clone();
        let mut receivers: IndexSet<SocketAddr> = IndexSet::new();
        receivers.extend(sender.roster.draw_receivers(&own.failure_domain, &own.region, rng));
        if is_changed {
            let route_host = RouteHost {
                host: &own.host,
                region: &own.region,
                capacity: own.capacity,
                incarnation: own.incarnation,
                reaches_store: own.reaches_store,
            };
            receivers.extend(other_candidates(&route_host, sender.roster.live_hosts(now)));
        }
        let others = sender.roster.sample_heartbeats(FORWARDED_HEARTBEATS, now, rng);
        let seen = sender.roster.sample_liveness(&own.region, now, rng);
        for receiver in receivers {
            let receiver = &mut self.hosts[usize::from(receiver.port() - FIRST_PORT)];
            receiver.roster.record_heartbeat(own.clone(), true, now);
            for news in others.iter().filter(|news| news.host != receiver.own.host) {
                receiver.roster.record_heartbeat(news.clone(), false, now);
            }
            seen.iter().for_each(|sign| receiver.roster.record_liveness(*sign, now));
        }
    }

    fn route(&self, host: usize) -> StateRoute {
        let (now, host) = (self.now, &self.hosts[host]);
        let own = RouteHost {
            host: &host.own.host,
            region: &host.own.region,
            capacity: host.own.capacity,
            incarnation: host.own.incarnation,
            reaches_store: host.contact.may_try(now),
        };
        choose_state_route(&own, host.roster.live_hosts(now), |relay| {
            let number = usize::from(relay.port() - FIRST_PORT);
            host.avoided.get(&number).is_some_and(|at| now - *at < RELAY_RETRY_DELAY)
        })
    }

    fn follow(&mut self, host: usize) {
        let (now, watched) = (self.now, self.hosts[host].watched);
        let is_check_due = now >= self.hosts[host].checks_at;
        let route = match watched {
            Some(route) if !is_check_due => route,
            _ => self.route(host),
        };
        if watched != Some(route) {
            self.counts.restarts += usize::from(watched.is_some());
            if route == StateRoute::Store {
                self.hosts[host].contact.record_call();
            }
        }
        if is_check_due {
            self.hosts[host].checks_at = now + ROUTE_CHECK_INTERVAL;
        }
        self.hosts[host].watched = Some(route);
        match route {
            StateRoute::Store if self.hosts[host].loses_store => self.fail_call(host),
            StateRoute::Store => {
                self.hosts[host].contact.record_answer();
                self.hosts[host].failures = 0;
                self.apply(host, self.change);
            }
            StateRoute::Relay(relay) => {
                let relay = usize::from(relay.port() - FIRST_PORT);
                let change = self.hosts[relay].change;
                let contact = self.hosts[relay].contact;
                let is_served = match self.hosts[host].contact.must_probe() {
                    true => contact.follows_store(),
                    false => contact.serves_watches(),
                };
                if change > self.hosts[host].change || is_served {
                    self.hosts[host].contact.record_relayed();
                    self.hosts[host].failures = 0;
                    self.apply(host, change);
                } else {
                    self.leave_relay(host, relay);
                }
            }
        }
    }

    fn fail_call(&mut self, host: usize) {
        self.counts.failed_calls += 1;
        self.hosts[host].contact.record_failure(self.now);
        let host = &mut self.hosts[host];
        host.failures += 1;
        host.watched = None;
        host.acts_at = self.now + pause(host.failures, &mut self.rng);
    }

    fn leave_relay(&mut self, host: usize, relay: usize) {
        self.counts.refusals += 1;
        let (now, host) = (self.now, &mut self.hosts[host]);
        host.avoided.retain(|_, at| now - *at < RELAY_RETRY_DELAY);
        host.avoided.insert(relay, now);
        host.contact.record_relay_failure();
        host.watched = None;
        host.acts_at = now + pause(host.avoided.len() as u32, &mut self.rng);
    }

    fn apply(&mut self, host: usize, change: u64) {
        let host = &mut self.hosts[host];
        if host.change < change {
            host.change = change;
            host.applied_at = self.now;
        }
    }
}

impl ModelHost {
    /// Next check whether a heartbeat is due.
    fn ticks_at(&self) -> Instant {
        self.beats_at - HEARTBEAT_INTERVAL / 2
    }
}

fn pause(failures: u32, rng: &mut StdRng) -> Duration {
    full_jitter(failures, BACKOFF_BOUNDS.0, BACKOFF_BOUNDS.1, rng).max(BACKOFF_BOUNDS.0)
}
