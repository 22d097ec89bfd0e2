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
use crate::fleet::SpillBand;
use crate::fleet::TargetEntry;
use crate::fleet::TargetLoad;
use crate::fleet::TargetState;
use crate::fleet::TargetTrack;
use crate::fleet::placement_candidate::Candidate;
use crate::fleet::placement_candidate::KeyRanks;
use crate::fleet::placement_candidate::RegionPressure;
use crate::fleet::placement_candidate::insert_rank;
use crate::fleet::placement_candidate::worthy;
use crate::fleet::service_record::ServiceRecord;
use crate::ids::DomainId;
use crate::ids::HostId;
use crate::ids::RegionId;
use crate::ids::RouteId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::rendezvous::rendezvous_score;
use crate::token_bucket::MICRO_TOKENS;

/// Likelihood that an object is warm on a target that this host sent it to lately.
const KNOWN_WARMTH: f64 = 0.95;
/// What a target in another failure domain of the region costs, in seconds: the round trip and the bytes between domains.
const OTHER_DOMAIN_COST: f64 = 0.004;
/// What a target in another region costs, in seconds: the round trip of 24 to 40 ms and the bytes between regions.
const OTHER_REGION_COST: f64 = 0.070;
/// Round trip to another region, in seconds, as part of the time until the answer.
const OTHER_REGION_TRIP: f64 = 0.035;
/// Hosts that may send to a cold target.
const COLD_SENDERS: usize = 2;
/// Part of a cold target's rate that the senders use together. Two that disagree with two others on who sends stay within
/// what the platform tolerates (half as much again and 5): each sends its part and one request beyond it.
const COLD_RATE_PART: f64 = 0.75;
/// What a certain failure costs, in latency objectives: the time lost and the attempt.
const FAULT_COST: f64 = 2.0;
/// Sets the places of objects apart from their ranks on targets.
const PLACE_SALT: u64 = 0x5a17;

/// A host as placement sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct BoardHost {
    /// Host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: DomainId,
}

/// What an entry changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryChange {
    /// Nothing.
    Same,
    /// What a known target says of itself.
    Updated,
    /// The target is new, or started again.
    Started,
}

/// One target with what is known of it.
#[derive(Clone, Debug)]
pub(super) struct TargetRecord {
    entry: TargetEntry,
    salt: u64,
    track: TargetTrack,
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
    hosts: Vec<(BoardHost, u64)>,
}

impl TargetBoard {
    /// A board of a host that knows no targets.
    pub fn new(own: BoardHost, own_region: RegionId) -> Self {
        Self {
            hosts: Vec::new(),
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
        for record in self.targets.values_mut() {
            let service = self.services.get(&record.entry.service);
            record.set_cold_rate(service.map_or(0.0, |service| service.cold_rate));
        }
    }

    /// Takes the hosts that share cold targets with this one.
    pub fn set_hosts(&mut self, hosts: Vec<BoardHost>) {
        if !hosts.iter().eq(self.hosts.iter().map(|(host, _)| host)) {
            let salted = hosts.into_iter().map(|host| {
                let salt = rendezvous_score(&[&host.host]);
                (host, salt)
            });
            self.hosts = salted.collect();
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

    /// Takes a target's entry; returns what it changed.
    pub fn put(&mut self, entry: TargetEntry, now: Instant) -> EntryChange {
        let cold_until = (!entry.cold_for.is_zero()).then(|| now + entry.cold_for);
        if let Some(record) = self.targets.get_mut(&entry.target) {
            let is_same = record.entry.started_at == entry.started_at
                && record.entry.address == entry.address
                && record.entry.service == entry.service;
            if is_same {
                record.track.cold_until = cold_until.max(record.track.cold_until);
                let known = std::mem::replace(&mut record.entry, entry);
                return match known == record.entry {
                    true => EntryChange::Same,
                    false => EntryChange::Updated,
                };
            }
        }
        let name = entry.target.clone();
        self.remove(&name, now);
        let service = self.services.entry(entry.service.clone()).or_default();
        service.targets.push(name.clone());
        let cold_rate = service.cold_rate;
        let mut track = TargetTrack::new(now);
        track.cold_until = cold_until;
        let salt = rendezvous_score(&[&name]);
        let mut record = TargetRecord { entry, salt, track };
        record.set_cold_rate(cold_rate);
        self.targets.insert(name, record);
        EntryChange::Started
    }

    /// Forgets a target; returns whether it was known.
    pub fn remove(&mut self, target: &str, now: Instant) -> bool {
        let Some(record) = self.targets.swap_remove(target) else { return false };
        if let Some(service) = self.services.get_mut(&record.entry.service) {
            if record.entry.region == self.own_region {
                service.band.get_or_insert_with(|| SpillBand::new(now)).target_lost(now);
            }
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
        let (candidates, pressure) = self.candidates(ask, now);
        let cheapest = |is_outside: bool| {
            let fits = candidates.iter().filter(|candidate| candidate.is_outside == is_outside);
            fits.min_by(|a, b| a.cost.total_cmp(&b.cost)).copied()
        };
        let (inside, outside) = (cheapest(false), cheapest(true));
        let best = inside.or(outside).ok_or(PlacementRefusal::NoTarget)?;
        let mut band = self.band_of(ask.service, now);
        band.observe(pressure.inside, pressure.outside, now);
        let may_spill = inside.is_none() || band.is_loss(now);
        let goes_outside = band.is_outside(place_of(ask.key));
        let chosen = match goes_outside {
            true => worthy(outside, ask).or(worthy(inside, ask)),
            false => worthy(inside, ask).or(worthy(outside, ask).filter(|_| may_spill)),
        };
        if !goes_outside {
            band.decided(chosen.is_none());
        }
        let Some(best) = chosen else {
            let wait = Duration::from_secs_f64(best.wait);
            self.set_band(ask.service, band);
            return Err(PlacementRefusal::Busy { wait });
        };
        let choice = PlacementChoice {
            target: best.record.entry.target.clone(),
            address: best.record.entry.address,
            failure_domain: best.record.entry.failure_domain.clone(),
            is_warm: best.is_warm,
            load: best.load,
            wait: Duration::from_secs_f64(best.wait),
            expected: Duration::from_secs_f64(best.expected),
        };
        self.set_band(ask.service, band);
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
        if let (Some(load), Some(service)) = (load, self.services.get_mut(&record.entry.service)) {
            let usual = &mut service.others[usize::from(record.entry.region != self.own_region)];
            let slots = f64::from(record.entry.slots.max(1));
            usual.add(load.others(in_flight) / slots, now);
            record.track.reported(load, in_flight, usual.per_slot(now) * slots, now);
        }
        match end {
            AttemptEnd::Answered { time } => {
                record.track.faults.succeeded(now);
                let times = self.times.entry(route.clone()).or_default();
                let work = time.saturating_sub(choice.wait);
                times.measured(work, choice.is_warm, record.track.speed);
                record.track.measured(time, choice.expected.as_secs_f64());
                if let Some(service) = self.services.get_mut(&record.entry.service) {
                    service.add_busy(work);
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

    /// Targets that may run a request, with what they cost it. In a busy service the work itself costs the more, as each
    /// slot that runs a cold object is lost to several warm ones.
    fn candidates<'a>(
        &'a self,
        ask: &PlacementAsk<'_>,
        now: Instant,
    ) -> (Vec<Candidate<'a>>, RegionPressure) {
        let Some(service) = self.services.get(ask.service) else {
            return (Vec::new(), RegionPressure::default());
        };
        let records: Vec<&TargetRecord> = service
            .targets
            .iter()
            .filter_map(|name| self.targets.get(name))
            .filter(|record| self.takes_requests(record) && is_allowed(record, ask))
            .collect();
        let ranks = ask.key.map(|key| self.rank(&records, key)).unwrap_or_default();
        let pressure = self.pressure(service, &records, now);
        let spilled = service.band.as_ref().map_or(0.0, SpillBand::share);
        let mut candidates = Vec::with_capacity(records.len());
        for (index, record) in records.iter().enumerate() {
            if ask.excluded.contains(&record.entry.target) || !self.may_send(record, now) {
                continue;
            }
            let is_warm = ask.key.is_some_and(|key| record.track.warm_keys.contains(key, now));
            let warmth = if is_warm { KNOWN_WARMTH } else { ranks.warmth(index, spilled) };
            let mut candidate = self.candidate(service, record, ask, warmth, now);
            candidate.is_warm = is_warm;
            candidate.cost += pressure.all.min(1.0) * candidate.work;
            candidates.push(candidate);
        }
        (candidates, pressure)
    }

    /// Requests for each slot of a service.
    fn pressure(
        &self,
        service: &ServiceRecord,
        records: &[&TargetRecord],
        now: Instant,
    ) -> RegionPressure {
        let mut sums = [(0.0, 0.0); 2];
        for record in records {
            let sum = &mut sums[usize::from(record.entry.region != self.own_region)];
            sum.0 += self.load_of(service, record, now);
            sum.1 += f64::from(record.entry.slots);
        }
        let per_slot = |(load, slots): (f64, f64)| if slots > 0.0 { load / slots } else { 0.0 };
        let all = (sums[0].0 + sums[1].0, sums[0].1 + sums[1].1);
        RegionPressure { inside: per_slot(sums[0]), outside: per_slot(sums[1]), all: per_slot(all) }
    }

    fn band_of(&self, service: &ServiceId, now: Instant) -> SpillBand {
        let known = self.services.get(service).and_then(|service| service.band.clone());
        known.unwrap_or_else(|| SpillBand::new(now))
    }

    fn set_band(&mut self, service: &ServiceId, band: SpillBand) {
        if let Some(service) = self.services.get_mut(service) {
            service.band = Some(band);
        }
    }

    /// Requests of all hosts on a target, as far as known.
    fn load_of(&self, service: &ServiceRecord, record: &TargetRecord, now: Instant) -> f64 {
        let usual = &service.others[usize::from(record.entry.region != self.own_region)];
        let slots = record.entry.slots;
        record.track.load(slots, usual.per_slot(now) * f64::from(slots), now)
    }

    /// Ranks targets for an object by scores that are the same on all hosts.
    fn rank(&self, records: &[&TargetRecord], key: u64) -> KeyRanks {
        let mut ranks = KeyRanks::default();
        for (index, record) in records.iter().enumerate() {
            let score = mix(record.salt, key);
            match record.entry.region == self.own_region {
                true => insert_rank(&mut ranks.near, (score, index)),
                false => insert_rank(&mut ranks.far, (score, index)),
            }
        }
        ranks
    }

    fn candidate<'a>(
        &self,
        service: &ServiceRecord,
        record: &'a TargetRecord,
        ask: &PlacementAsk<'_>,
        warmth: f64,
        now: Instant,
    ) -> Candidate<'a> {
        let track = &record.track;
        let times = self.times.get(ask.route).copied().unwrap_or_default();
        let work = times.expected(warmth, ask.objective) * track.speed;
        let slots = record.entry.slots.max(1);
        let load = self.load_of(service, record, now);
        let excess = (load + 1.0 - f64::from(slots)).max(0.0);
        let busy = service.busy_seconds.unwrap_or(work) * track.speed;
        let wait = excess / f64::from(slots) * busy;
        let is_outside = record.entry.region != self.own_region;
        let (trip, distance) = match is_outside {
            true => (OTHER_REGION_TRIP, OTHER_REGION_COST),
            false if record.entry.failure_domain == self.own.failure_domain => (0.0, 0.0),
            false => (0.0, OTHER_DOMAIN_COST),
        };
        let faults = track.faults.share(now) * ask.objective.as_secs_f64() * FAULT_COST;
        Candidate {
            record,
            load,
            wait,
            work,
            expected: work + wait + trip,
            cost: work + wait + distance + faults,
            is_warm: false,
            is_outside,
        }
    }

    /// Whether this host is one of those that may send to a target while it is cold: the nearest ones, the same for all
    /// hosts that see the same hosts.
    fn is_cold_sender(&self, record: &TargetRecord) -> bool {
        let rank = |host: &BoardHost, salt: u64| {
            let is_near = host.failure_domain == record.entry.failure_domain;
            (is_near, mix(record.salt, salt))
        };
        let own = rank(&self.own, rendezvous_score(&[&self.own.host]));
        let others = self.hosts.iter().filter(|(host, _)| *host != self.own);
        others.filter(|(host, salt)| rank(host, *salt) > own).count() < COLD_SENDERS
    }

    /// Whether a target is warm, or this host may send it one more request while it is cold.
    fn may_send(&self, record: &TargetRecord, now: Instant) -> bool {
        if !record.track.is_cold(now) {
            return true;
        }
        let mut pass = record.track.cold_pass.clone();
        pass.fill(now);
        pass.level() >= MICRO_TOKENS && self.is_cold_sender(record)
    }
}

impl TargetRecord {
    /// Takes the rate of its service while it is cold.
    fn set_cold_rate(&mut self, rate: f64) {
        let part = rate * COLD_RATE_PART / COLD_SENDERS as f64;
        let is_first = self.track.cold_pass.rate() == 0;
        self.track.cold_pass.reshape((part * MICRO_TOKENS as f64) as u64, MICRO_TOKENS);
        if is_first && part > 0.0 {
            self.track.cold_pass.add(MICRO_TOKENS);
        }
    }
}

fn is_allowed(record: &TargetRecord, ask: &PlacementAsk<'_>) -> bool {
    ask.regions.is_empty() || ask.regions.contains(&record.entry.region)
}

/// Place of an object between 0 and 1, the same on all hosts; random for a request that concerns none.
fn place_of(key: Option<u64>) -> f64 {
    let hash = key.map_or_else(rand::random, |key| mix(PLACE_SALT, key));
    hash as f64 / u64::MAX as f64
}

/// Mixes two hashes into one (the finalizer of SplitMix64).
fn mix(a: u64, b: u64) -> u64 {
    let mut mixed = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
