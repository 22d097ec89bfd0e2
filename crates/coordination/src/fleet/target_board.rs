//! The targets known to a host, and the choice among them. Answers days on which more work is offered than targets can do:
//! a request goes where it is expected to be answered first, warm objects and near targets counted, and is refused at once
//! where its wait would be too long everywhere.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::fleet::AttemptEnd;
use crate::fleet::PlacementAsk;
use crate::fleet::PlacementChoice;
use crate::fleet::PlacementRefusal;
use crate::fleet::ServiceTimes;
use crate::fleet::TargetEntry;
use crate::fleet::TargetLoad;
use crate::fleet::TargetState;
use crate::fleet::TargetTrack;
use crate::ids::DomainId;
use crate::ids::HostId;
use crate::ids::RegionId;
use crate::ids::RouteId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::rendezvous::rendezvous_score;
use crate::token_bucket::MICRO_TOKENS;

/// Likelihood that an object is warm on the target that all hosts of the failure domain send it to.
const HOME_WARMTH: f64 = 0.7;
/// Likelihood that an object is warm on a target that this host sent it to lately.
const KNOWN_WARMTH: f64 = 0.95;
/// Likelihood that an object is warm on any other target.
const OTHER_WARMTH: f64 = 0.1;
/// What a target in another failure domain of the region costs: the round trip and the bytes between domains.
const OTHER_DOMAIN_COST: f64 = 0.010;
/// What a target in another region costs: the round trip of 24 to 40 ms and the bytes between regions.
const OTHER_REGION_COST: f64 = 0.070;
/// Longest wait at a target for a request of the highest rank, as a part of its latency objective.
const MAX_WAIT_PART: f64 = 0.9;
/// What each rank below the highest takes off that.
const WAIT_PART_PER_RANK: f64 = 0.15;
const MIN_WAIT_PART: f64 = 0.3;
/// Part of the time left that an answer may be expected to take; the rest covers what the estimate misses.
const USABLE_TIME: f64 = 0.9;
/// Hosts that may send to a cold target. Two that disagree with two others still stay within the rate that the platform
/// tolerates: each sends its half of the rate and one request beyond it.
const COLD_SENDERS: usize = 2;
/// Weight of the latest service time in the mean of a target's slots.
const LATEST_BUSY: f64 = 0.05;

/// A host as placement sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct BoardHost {
    /// Host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: DomainId,
}

/// What is known of one service's requests.
#[derive(Clone, Debug, Default)]
struct ServiceRecord {
    targets: Vec<TargetId>,
    cold_rate: f64,
    cold_time: Duration,
    busy_seconds: Option<f64>,
}

#[derive(Clone, Debug)]
struct TargetRecord {
    entry: TargetEntry,
    salt: u64,
    may_send_cold: bool,
    track: TargetTrack,
}

/// One target as a request sees it.
struct Candidate<'a> {
    record: &'a TargetRecord,
    wait: f64,
    expected: f64,
    cost: f64,
    is_warm: bool,
}

/// The targets known to a host, and the choice among them.
#[derive(Clone, Debug)]
pub struct TargetBoard {
    own: BoardHost,
    own_region: RegionId,
    targets: IndexMap<TargetId, TargetRecord>,
    services: IndexMap<ServiceId, ServiceRecord>,
    times: IndexMap<RouteId, ServiceTimes>,
    closed: IndexSet<DomainId>,
    hosts: Vec<BoardHost>,
}

impl TargetBoard {
    /// A board of a host that knows no targets.
    pub fn new(own: BoardHost, own_region: RegionId) -> Self {
        Self {
            hosts: vec![own.clone()],
            own,
            own_region,
            targets: IndexMap::new(),
            services: IndexMap::new(),
            times: IndexMap::new(),
            closed: IndexSet::new(),
        }
    }

    /// Takes the requests a second that a cold target of each service takes from all hosts together, and how long a
    /// target stays cold after its start.
    pub fn set_services(&mut self, services: impl Iterator<Item = (ServiceId, f64, Duration)>) {
        for (service, cold_rate, cold_time) in services {
            let record = self.services.entry(service).or_default();
            record.cold_rate = cold_rate;
            record.cold_time = cold_time;
        }
        self.spread_cold_passes();
    }

    /// Takes the hosts that share cold targets with this one.
    pub fn set_hosts(&mut self, hosts: Vec<BoardHost>) {
        if hosts != self.hosts {
            self.hosts = hosts;
            self.spread_cold_passes();
        }
    }

    /// Takes the failure domains that get no requests. Targets of a domain that is taken back may have become cold
    /// meanwhile, and count so for the cold time of their service.
    pub fn set_closed(&mut self, closed: IndexSet<DomainId>, now: Instant) {
        for domain in self.closed.iter().filter(|domain| !closed.contains(*domain)) {
            for record in self.targets.values_mut() {
                let cold_time = self
                    .services
                    .get(&record.entry.service)
                    .map_or(Duration::ZERO, |s| s.cold_time);
                if record.entry.failure_domain == *domain {
                    record.track.cold_until = Some(now + cold_time);
                    record.track.warm_keys.clear();
                }
            }
        }
        self.closed = closed;
    }

    /// Takes a target's entry; returns whether the target is new or started again.
    pub fn put(&mut self, entry: TargetEntry, now: Instant) -> bool {
        let cold_until = (!entry.cold_for.is_zero()).then(|| now + entry.cold_for);
        if let Some(record) = self.targets.get_mut(&entry.target) {
            let is_same = record.entry.started_at == entry.started_at
                && record.entry.address == entry.address
                && record.entry.service == entry.service;
            if is_same {
                record.track.cold_until = cold_until.max(record.track.cold_until);
                record.entry = entry;
                return false;
            }
        }
        let name = entry.target.clone();
        self.remove(&name);
        self.services.entry(entry.service.clone()).or_default().targets.push(name.clone());
        let mut track = TargetTrack::new(now);
        track.cold_until = cold_until;
        let salt = rendezvous_score(&[&name]);
        self.targets.insert(name, TargetRecord { entry, salt, may_send_cold: false, track });
        self.spread_cold_passes();
        true
    }

    /// Forgets a target; returns whether it was known.
    pub fn remove(&mut self, target: &str) -> bool {
        let Some(record) = self.targets.swap_remove(target) else { return false };
        if let Some(service) = self.services.get_mut(&record.entry.service) {
            service.targets.retain(|name| &**name != target);
        }
        true
    }

    /// Names of the targets known.
    pub fn names(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.keys()
    }

    /// Entries of the targets known.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values().map(|record| &record.entry)
    }

    /// Whether a target may get a request now.
    pub fn is_open(&self, target: &str) -> bool {
        self.targets.get(target).is_some_and(|record| self.takes_requests(record))
    }

    /// Chooses a target and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Says that no target may run it, or that all are too busy.
    pub fn choose(
        &mut self,
        ask: &PlacementAsk<'_>,
        now: Instant,
    ) -> Result<PlacementChoice, PlacementRefusal> {
        let home = ask.key.and_then(|key| self.home_of(ask, key));
        let Some(service) = self.services.get(ask.service) else {
            return Err(PlacementRefusal::NoTarget);
        };
        let candidates = service
            .targets
            .iter()
            .filter(|name| !ask.excluded.contains(name))
            .filter_map(|name| self.targets.get(name))
            .filter(|record| self.takes_requests(record) && is_allowed(record, ask))
            .filter(|record| may_send(record, now))
            .map(|record| self.candidate(service, record, ask, home.as_deref(), now));
        let best = candidates.min_by(|a, b| a.cost.total_cmp(&b.cost));
        let Some(best) = best else { return Err(PlacementRefusal::NoTarget) };
        let objective = ask.objective.as_secs_f64();
        let is_late = best.expected > ask.time_left.as_secs_f64() * USABLE_TIME;
        if is_late || best.wait > objective * wait_part(ask.priority) {
            return Err(PlacementRefusal::Busy { wait: Duration::from_secs_f64(best.wait) });
        }
        let choice = PlacementChoice {
            target: best.record.entry.target.clone(),
            address: best.record.entry.address,
            failure_domain: best.record.entry.failure_domain.clone(),
            is_warm: best.is_warm,
            load: best.record.track.load(best.record.entry.slots, now),
            wait: Duration::from_secs_f64(best.wait),
            expected: Duration::from_secs_f64(best.expected),
        };
        self.start(&choice.target, ask.key, now);
        Ok(choice)
    }

    /// Takes note of how an attempt ended.
    pub fn finished(
        &mut self,
        choice: &PlacementChoice,
        route: &RouteId,
        end: AttemptEnd,
        load: Option<TargetLoad>,
        now: Instant,
    ) {
        let Some(record) = self.targets.get_mut(&choice.target) else { return };
        let in_flight = record.track.in_flight;
        record.track.in_flight = in_flight.saturating_sub(1);
        if let Some(load) = load {
            record.track.reported(load, in_flight, now);
        }
        match end {
            AttemptEnd::Answered { time } => {
                record.track.faults.succeeded(now);
                let times = self.times.entry(route.clone()).or_default();
                times.measured(time, choice.is_warm, record.track.speed);
                record.track.measured(time, choice.expected.as_secs_f64());
                if let Some(service) = self.services.get_mut(&record.entry.service) {
                    service.add_busy(time);
                }
            }
            AttemptEnd::Failed => record.track.faults.failed(now),
            AttemptEnd::Shed => {
                record.track.shed(now);
                record.track.faults.failed(now);
            }
            AttemptEnd::Unreachable => record.track.faults.unreachable(now),
            AttemptEnd::Replaced => record.track.faults.unreachable(now),
            AttemptEnd::Abandoned => {}
        }
    }

    /// A target said how long it stays cold.
    pub fn reported_cold(&mut self, target: &str, cold_for: Duration, now: Instant) {
        if let Some(record) = self.targets.get_mut(target) {
            record.track.cold_until = Some(now + cold_for);
        }
    }

    fn start(&mut self, target: &str, key: Option<u64>, now: Instant) {
        let Some(record) = self.targets.get_mut(target) else { return };
        record.track.in_flight += 1;
        if record.track.is_cold(now) {
            record.track.cold_pass.fill(now);
            record.track.cold_pass.take(MICRO_TOKENS);
        }
        if let Some(key) = key {
            record.track.warm_keys.insert(key, now);
        }
    }

    fn takes_requests(&self, record: &TargetRecord) -> bool {
        record.entry.state == TargetState::Ready
            && !self.closed.contains(&record.entry.failure_domain)
    }

    /// The target that hosts of this failure domain send an object to: the one with the highest score among the nearest.
    fn home_of(&self, ask: &PlacementAsk<'_>, key: u64) -> Option<TargetId> {
        let service = self.services.get(ask.service)?;
        service
            .targets
            .iter()
            .filter_map(|name| self.targets.get(name))
            .filter(|record| self.takes_requests(record) && is_allowed(record, ask))
            .max_by_key(|record| (self.nearness(record), mix(record.salt, key)))
            .map(|record| record.entry.target.clone())
    }

    fn nearness(&self, record: &TargetRecord) -> u8 {
        match &record.entry {
            entry if entry.failure_domain == self.own.failure_domain => 2,
            entry if entry.region == self.own_region => 1,
            _ => 0,
        }
    }

    fn candidate<'a>(
        &self,
        service: &ServiceRecord,
        record: &'a TargetRecord,
        ask: &PlacementAsk<'_>,
        home: Option<&str>,
        now: Instant,
    ) -> Candidate<'a> {
        let track = &record.track;
        let is_warm = ask.key.is_some_and(|key| track.warm_keys.contains(key, now));
        let warmth = match is_warm {
            true => KNOWN_WARMTH,
            false if home == Some(&*record.entry.target) => HOME_WARMTH,
            false => OTHER_WARMTH,
        };
        let times = self.times.get(ask.route).copied().unwrap_or_default();
        let work = times.expected(warmth, ask.objective) * track.speed;
        let slots = record.entry.slots.max(1);
        let excess = (track.load(slots, now) + 1.0 - f64::from(slots)).max(0.0);
        let busy = service.busy_seconds.unwrap_or(work) * track.speed;
        let wait = excess / f64::from(slots) * busy;
        let distance = match self.nearness(record) {
            2 => 0.0,
            1 => OTHER_DOMAIN_COST,
            _ => OTHER_REGION_COST,
        };
        let expected = work + wait;
        let faults = track.faults.share(now);
        let cost = expected + distance + faults * ask.objective.as_secs_f64() * 2.0;
        Candidate { record, wait, expected, cost, is_warm }
    }

    /// Gives the hosts nearest to each target, the same on all hosts, their parts of its cold rate.
    fn spread_cold_passes(&mut self) {
        for record in self.targets.values_mut() {
            let rank = |host: &BoardHost| {
                let is_near = host.failure_domain == record.entry.failure_domain;
                (is_near, mix(record.salt, rendezvous_score(&[&host.host])))
            };
            let own = rank(&self.own);
            let ahead = self.hosts.iter().filter(|host| **host != self.own && rank(host) > own);
            record.may_send_cold = ahead.count() < COLD_SENDERS;
            let rate = self.services.get(&record.entry.service).map_or(0.0, |s| s.cold_rate);
            let part = match record.may_send_cold {
                true => (rate / COLD_SENDERS as f64 * MICRO_TOKENS as f64) as u64,
                false => 0,
            };
            let is_first = record.track.cold_pass.rate() == 0;
            record.track.cold_pass.reshape(part, MICRO_TOKENS);
            if is_first && part > 0 {
                record.track.cold_pass.add(MICRO_TOKENS);
            }
        }
    }
}

impl ServiceRecord {
    fn add_busy(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let known = self.busy_seconds.unwrap_or(seconds);
        self.busy_seconds = Some(known + LATEST_BUSY * (seconds - known));
    }
}

fn is_allowed(record: &TargetRecord, ask: &PlacementAsk<'_>) -> bool {
    ask.regions.is_empty() || ask.regions.contains(&record.entry.region)
}

/// Whether a target is warm, or this host may send it one more request while it is cold.
fn may_send(record: &TargetRecord, now: Instant) -> bool {
    if !record.track.is_cold(now) {
        return true;
    }
    let mut pass = record.track.cold_pass.clone();
    pass.fill(now);
    record.may_send_cold && pass.level() >= MICRO_TOKENS
}

fn wait_part(priority: u32) -> f64 {
    (MAX_WAIT_PART - WAIT_PART_PER_RANK * f64::from(priority)).max(MIN_WAIT_PART)
}

/// Mixes two hashes into one (the finalizer of SplitMix64).
fn mix(a: u64, b: u64) -> u64 {
    let mut mixed = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
