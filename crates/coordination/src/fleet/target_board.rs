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

/// Hosts that may send to a cold target.
const COLD_SENDERS: usize = 2;
/// Part of a cold target's rate that the senders use together. Two that disagree with two others on who sends stay within
/// what the platform tolerates (half as much again and 5): each sends its part and one request beyond it.
const COLD_RATE_PART: f64 = 0.75;
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
    pub(super) entry: TargetEntry,
    pub(super) salt: u64,
    pub(super) track: TargetTrack,
}

/// The targets known to a host, and the choice among them.
#[derive(Clone, Debug)]
pub struct TargetBoard {
    pub(super) own: BoardHost,
    pub(super) own_region: RegionId,
    pub(super) targets: IndexMap<TargetId, TargetRecord>,
    pub(super) services: IndexMap<ServiceId, ServiceRecord>,
    pub(super) times: IndexMap<RouteId, ServiceTimes>,
    pub(super) closed: IndexSet<DomainId>,
    pub(super) hosts: Vec<(BoardHost, u64)>,
    pub(super) callers_part: f64,
    pub(super) neighbour_shares: IndexMap<ServiceId, f64>,
}

impl TargetBoard {
    /// A board of a host that knows no targets. `callers_part` is the part of all callers, 0 to 1, that its region is
    /// expected to have.
    pub fn new(own: BoardHost, own_region: RegionId, callers_part: f64) -> Self {
        Self {
            hosts: Vec::new(),
            callers_part,
            neighbour_shares: IndexMap::new(),
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

    /// Shares of requests, by service, that this host sends outside its region, to a hundredth.
    pub fn spill_shares(&self) -> IndexMap<ServiceId, f64> {
        let rounded = |band: &SpillBand| (band.share() * 100.0).round() / 100.0;
        let known = self.services.iter();
        let shares = known
            .filter_map(|(name, record)| Some((name.clone(), record.band.as_ref().map(rounded)?)));
        shares.collect()
    }

    /// Takes the shares that other hosts of the region send outside; a service that is new here starts with them.
    pub fn set_neighbour_shares(&mut self, shares: IndexMap<ServiceId, f64>) {
        self.neighbour_shares = shares;
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
            if let Some(band) = &mut service.band
                && record.entry.region == self.own_region
            {
                band.target_lost(now);
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
            return Err(PlacementRefusal::Busy { wait, pressure: pressure.inside });
        };
        let choice = PlacementChoice {
            target: best.record.entry.target.clone(),
            address: best.record.entry.address,
            failure_domain: best.record.entry.failure_domain.clone(),
            is_warm: best.is_warm,
            load: best.load,
            wait: Duration::from_secs_f64(best.wait),
            expected: Duration::from_secs_f64(best.expected),
            pressure: pressure.inside,
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
            // The work would have taken longer still: it tells of a slow target, never of a fast one.
            AttemptEnd::Abandoned { time } if time > choice.expected => {
                record.track.measured(time, choice.expected.as_secs_f64());
            }
            AttemptEnd::Abandoned { .. } => {}
        }
    }

    fn start(&mut self, target: &str, key: Option<u64>, now: Instant) {
        let Some(record) = self.targets.get_mut(target) else { return };
        record.track.in_flight += 1;
        record.track.is_tried = true;
        if record.track.is_cold(now) {
            record.track.cold_pass.fill(now);
            record.track.cold_pass.take_tokens(MICRO_TOKENS);
        }
        if let Some(key) = key {
            record.track.warm_keys.insert(key, now);
        }
    }

    pub(super) fn takes_requests(&self, record: &TargetRecord) -> bool {
        record.entry.state == TargetState::Ready
            && !self.closed.contains(&record.entry.failure_domain)
    }

    /// Whether this host is one of those that may send to a target while it is cold, and that try it first afterwards: the
    /// nearest ones, the same for all hosts that see the same hosts.
    pub(super) fn is_first_sender(&self, record: &TargetRecord) -> bool {
        let rank = |host: &BoardHost, salt: u64| {
            let is_near = host.failure_domain == record.entry.failure_domain;
            (is_near, mix(record.salt, salt))
        };
        let own = rank(&self.own, rendezvous_score(&[&self.own.host]));
        let others = self.hosts.iter().filter(|(host, _)| *host != self.own);
        others.filter(|(host, salt)| rank(host, *salt) > own).count() < COLD_SENDERS
    }

    /// Whether a target is warm, or this host may send it one more request while it is cold.
    pub(super) fn may_send(&self, record: &TargetRecord, now: Instant) -> bool {
        if !record.track.is_cold(now) {
            return true;
        }
        let mut pass = record.track.cold_pass.clone();
        pass.fill(now);
        pass.level() >= MICRO_TOKENS && self.is_first_sender(record)
    }
}

impl TargetRecord {
    /// Takes the rate of its service while it is cold.
    fn set_cold_rate(&mut self, rate: f64) {
        let part = rate * COLD_RATE_PART / COLD_SENDERS as f64;
        let is_first = self.track.cold_pass.rate() == 0;
        self.track.cold_pass.set_limits((part * MICRO_TOKENS as f64) as u64, MICRO_TOKENS);
        if is_first && part > 0.0 {
            self.track.cold_pass.add_tokens(MICRO_TOKENS);
        }
    }
}

pub(super) fn is_allowed(record: &TargetRecord, ask: &PlacementAsk<'_>) -> bool {
    ask.regions.is_empty() || ask.regions.contains(&record.entry.region)
}

/// Place of an object between 0 and 1, the same on all hosts; random for a request that concerns none.
fn place_of(key: Option<u64>) -> f64 {
    let hash = key.map_or_else(rand::random, |key| mix(PLACE_SALT, key));
    hash as f64 / u64::MAX as f64
}

/// Mixes two hashes into one (the finalizer of SplitMix64).
pub(super) fn mix(a: u64, b: u64) -> u64 {
    let mut mixed = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
