//! Load balancing over the targets known to a host. Under overload a request goes to the target with the lowest
//! expected latency, with object warmth and distance taken into account, and is refused at once if the expected wait is
//! too long on every target.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::fleet::ColdTolerance;
use crate::fleet::FailureEstimate;
use crate::fleet::PlacementChoice;
use crate::fleet::PlacementRefusal;
use crate::fleet::PlacementRequest;
use crate::fleet::RegionLoads;
use crate::fleet::ServiceTimes;
use crate::fleet::SpillController;
use crate::fleet::SpillPace;
use crate::fleet::TargetEntry;
use crate::fleet::TargetLimit;
use crate::fleet::TargetState;
use crate::fleet::TargetTracker;
use crate::fleet::cold_tolerance::COLD_SENDERS;
use crate::fleet::departed_targets::DepartedTargets;
use crate::fleet::departed_targets::TargetStatements;
use crate::fleet::placement_candidate::CandidateSet;
use crate::fleet::placement_candidate::TargetSide;
use crate::fleet::service_record::ServiceRecord;
use crate::ids::DomainId;
use crate::ids::HostId;
use crate::ids::RegionId;
use crate::ids::RouteId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::rendezvous::rendezvous_score;
use crate::token_bucket::MICRO_TOKENS;

/// Identity of a host for deciding which hosts send to a cold target.
#[derive(Clone, Debug, PartialEq)]
pub struct BalancerHost {
    /// Name that is unique in the fleet.
    pub host: HostId,
    /// Failure domain of the host; hosts in the domain of a cold target are preferred as its senders.
    pub failure_domain: DomainId,
    /// Region that contains the failure domain; after those of the domain, hosts of the region are preferred.
    pub region: RegionId,
}

/// Effect of a target entry on the balancer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryChange {
    /// The entry equals the known one.
    Same,
    /// The same process of a known target changed its entry, for instance its state or slots.
    Updated,
    /// The target is new, restarted, or changed its address or service; its tracked load was reset.
    Started,
}

/// Entry of a target with the load and failures tracked for it.
#[derive(Clone, Debug)]
pub(super) struct TargetRecord {
    pub(super) entry: TargetEntry,
    pub(super) hash: u64,
    pub(super) tracker: TargetTracker,
}

/// Chooses targets for requests and tracks their load, as seen by one host.
#[derive(Clone, Debug)]
pub struct TargetBalancer {
    pub(super) own_host: BalancerHost,
    pub(super) targets: IndexMap<TargetId, TargetRecord>,
    pub(super) services: IndexMap<ServiceId, ServiceRecord>,
    pub(super) service_times: IndexMap<RouteId, ServiceTimes>,
    pub(super) closed_domains: IndexSet<DomainId>,
    pub(super) hosts: Vec<(BalancerHost, u64)>,
    pub(super) caller_share: f64,
    cold_tolerance: ColdTolerance,
    pub(super) spill_pace: SpillPace,
    pub(super) neighbour_spill_shares: IndexMap<ServiceId, f64>,
    pub(super) departed_targets: DepartedTargets,
    /// When the store last came back from an older copy.
    pub(super) era_began_at: Option<Instant>,
}

impl TargetBalancer {
    /// Creates a balancer without targets. `caller_share` is the expected share, 0 to 1, of all callers that are in the
    /// host's own region.
    pub fn new(own_host: BalancerHost, caller_share: f64) -> Self {
        Self {
            hosts: Vec::new(),
            caller_share,
            cold_tolerance: ColdTolerance::default(),
            spill_pace: SpillPace::default(),
            neighbour_spill_shares: IndexMap::new(),
            own_host,
            targets: IndexMap::new(),
            services: IndexMap::new(),
            service_times: IndexMap::new(),
            closed_domains: IndexSet::new(),
            departed_targets: DepartedTargets::default(),
            era_began_at: None,
        }
    }

    /// Sets how fast requests may move to other regions and back.
    pub fn set_spill_pace(&mut self, pace: SpillPace) {
        self.spill_pace = pace;
        let spills = self.services.values_mut().filter_map(|service| service.spill.as_mut());
        spills.for_each(|spill| spill.set_pace(pace));
    }

    /// Sets what cold targets may get beyond their rate.
    pub fn set_cold_tolerance(&mut self, tolerance: ColdTolerance) {
        self.cold_tolerance = tolerance;
        self.update_cold_rates();
    }

    /// Sets, for each service, the requests a second that a cold target accepts from all hosts together, and how long a
    /// target stays cold after its start.
    pub fn set_services(&mut self, services: impl Iterator<Item = (ServiceId, f64, Duration)>) {
        for (service, cold_rate, cold_time) in services {
            let record = self.services.entry(service).or_default();
            record.cold_rate = cold_rate;
            record.cold_time = cold_time;
        }
        self.update_cold_rates();
    }

    fn update_cold_rates(&mut self) {
        for record in self.targets.values_mut() {
            let service = self.services.get(&record.entry.service);
            let rate = service.map_or(0.0, |service| service.cold_rate);
            record.set_sender_rate(self.cold_tolerance.sender_rate(rate));
        }
    }

    /// Replaces the set of hosts among which the senders to cold targets and to targets with a limit are selected.
    pub fn set_hosts(&mut self, hosts: Vec<BalancerHost>, now: Instant) {
        if !hosts.iter().eq(self.hosts.iter().map(|(host, _)| host)) {
            let hashed = hosts.into_iter().map(|host| {
                let hash = rendezvous_score(&[&host.host]);
                (host, hash)
            });
            self.hosts = hashed.collect();
            self.update_limit_senders(now);
            self.update_pause_senders(now);
        }
    }

    /// Returns the share of requests, 0 to 1 and rounded to hundredths, that this host sends outside its region, by
    /// service.
    pub fn spill_shares(&self) -> IndexMap<ServiceId, f64> {
        let rounded = |spill: &SpillController| (spill.share() * 100.0).round() / 100.0;
        let known = self.services.iter();
        let shares = known
            .filter_map(|(name, record)| Some((name.clone(), record.spill.as_ref().map(rounded)?)));
        shares.collect()
    }

    /// Sets the mean shares that other hosts of the region send outside it. A service without requests on this host so far
    /// starts with these shares; the shares of others approach them.
    pub fn set_neighbour_spill_shares(&mut self, shares: IndexMap<ServiceId, f64>) {
        self.neighbour_spill_shares = shares;
    }

    /// Returns the loads that this host measured lately, by service.
    pub fn measured_loads(&self, now: Instant) -> IndexMap<ServiceId, RegionLoads> {
        let known = self.services.iter();
        known
            .filter_map(|(name, record)| Some((name.clone(), record.measured_loads(now)?)))
            .collect()
    }

    /// Sets the mean loads that other hosts of the region measured lately. In a large fleet a host gets too few answers
    /// to know how busy a service is.
    pub fn set_neighbour_loads(&mut self, loads: &IndexMap<ServiceId, RegionLoads>) {
        for (name, record) in &mut self.services {
            record.neighbour_loads = loads.get(name).copied();
        }
    }

    /// Replaces the set of failure domains that get no requests. Targets of a reopened domain may have gone cold in the
    /// meantime and are treated as cold for the cold time of their service.
    pub fn set_closed_domains(&mut self, closed_domains: IndexSet<DomainId>, now: Instant) {
        for domain in self.closed_domains.iter().filter(|domain| !closed_domains.contains(*domain))
        {
            for record in self.targets.values_mut() {
                let cold_time = self
                    .services
                    .get(&record.entry.service)
                    .map_or(Duration::ZERO, |s| s.cold_time);
                if record.entry.failure_domain == *domain {
                    record.tracker.cold_until = Some(now + cold_time);
                    record.tracker.warm_keys.clear();
                }
            }
        }
        self.closed_domains = closed_domains;
    }

    /// Adds a target or updates its entry. A changed start, address or service resets what was tracked for the target.
    pub fn upsert_target(&mut self, entry: TargetEntry, now: Instant) -> EntryChange {
        let cold_until = (!entry.cold_for.is_zero()).then(|| now + entry.cold_for);
        if let Some(record) = self.targets.get_mut(&entry.target) {
            let is_same = record.entry.started_at == entry.started_at
                && record.entry.address == entry.address
                && record.entry.service == entry.service;
            if is_same {
                record.tracker.cold_until = cold_until.max(record.tracker.cold_until);
                let known = std::mem::replace(&mut record.entry, entry);
                return match known == record.entry {
                    true => EntryChange::Same,
                    false => EntryChange::Updated,
                };
            }
        }
        let name = entry.target.clone();
        let is_restart = self.take_target(&name, now).is_some();
        let service = self.services.entry(entry.service.clone()).or_default();
        service.targets.push(name.clone());
        let cold_rate = service.cold_rate;
        let mut tracker = TargetTracker::new(now);
        tracker.cold_until = cold_until;
        if is_restart {
            tracker.limit = TargetLimit::restarted(now);
        }
        if let Some(departed) = self.departed_targets.take(&entry) {
            tracker.held_until = self.hold_end(departed.departed_at, now);
            let TargetStatements { is_leaving, pause } = departed.statements;
            (tracker.is_leaving, tracker.pause) = (is_leaving, pause);
        }
        let hash = rendezvous_score(&[&name]);
        let mut record = TargetRecord { entry, hash, tracker };
        record.set_sender_rate(self.cold_tolerance.sender_rate(cold_rate));
        self.targets.insert(name, record);
        EntryChange::Started
    }

    /// Forgets the failures of targets, because this host could not reach any target and they were its own.
    pub fn forget_failures<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a TargetId>,
        now: Instant,
    ) {
        for target in targets {
            if let Some(record) = self.targets.get_mut(target) {
                record.tracker.failures = FailureEstimate::new(now);
                record.tracker.fleet_failures = FailureEstimate::new(now);
            }
        }
    }

    /// Returns whether a target has an entry.
    pub fn knows_target(&self, target: &str) -> bool {
        self.targets.contains_key(target)
    }

    /// Returns the names of all known targets, whether or not they accept requests.
    pub fn target_names(&self) -> impl Iterator<Item = &TargetId> {
        self.targets.keys()
    }

    /// Returns the entries of all known targets, whether or not they accept requests.
    pub fn target_entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values().map(|record| &record.entry)
    }

    /// Returns whether a target is known and ready and its failure domain is open.
    pub fn accepts_requests(&self, target: &str) -> bool {
        self.targets.get(target).is_some_and(|record| self.takes_requests(record))
    }

    /// Chooses a target and counts the request as in flight there. The caller passes the choice to `record_end` later.
    ///
    /// # Errors
    ///
    /// Returns `NoTarget` if no target may run the request, `Limited` or `Paused` if only limits or pauses of targets keep it
    /// from being sent now, `Busy` if no target that is open to it is expected to answer before its deadline, and `Deferred` if
    /// one is, but needs the room for requests that come first.
    pub fn choose_target(
        &mut self,
        request: &PlacementRequest<'_>,
        now: Instant,
    ) -> Result<PlacementChoice, PlacementRefusal> {
        self.update_split(request.service, now);
        let far_region = self.far_region(request, now);
        let (candidates, pressure) = self.candidates(request, far_region, now);
        if candidates.is_empty() {
            return Err(self.refusal_without_candidate(request, now));
        }
        let mut spill = self.spill_of(request.service, now);
        let limit = self.admission_limit(request, now);
        let set = CandidateSet { candidates, pressure, limit };
        let side = self.choose_side(request, far_region, &set, &mut spill, now);
        let work_seconds = side.candidate.map(|chosen| chosen.work_seconds);
        let is_counted = side.is_spilled && request.allowed_regions.is_empty();
        let selected = far_region.filter(|_| is_counted).cloned();
        let ran = side.candidate.filter(|chosen| chosen.side != TargetSide::Inside);
        let ran = ran.map(|chosen| chosen.record.entry.region.clone());
        let result = match side.candidate {
            Some(chosen) => Ok(chosen.choice(pressure.inside)),
            None => {
                let has_inside = set.has_open(TargetSide::Inside);
                let busy = set.refusal(request, self.finds_room(request));
                Err(match self.refusal_without_candidate(request, now) {
                    PlacementRefusal::NoTarget => busy,
                    _ if has_inside => busy,
                    closed => closed,
                })
            }
        };
        self.record_side(request.service, spill, selected, ran);
        self.record_admission(request, work_seconds, now);
        if let Ok(choice) = &result {
            self.record_start(&choice.target, request.object_hash, now);
        }
        result
    }

    pub(super) fn takes_requests(&self, record: &TargetRecord) -> bool {
        record.entry.state == TargetState::Ready
            && !record.tracker.is_leaving
            && record.tracker.held_until.is_none()
            && !self.closed_domains.contains(&record.entry.failure_domain)
    }

    /// Whether this host is one of the `COLD_SENDERS` that may send to a target while it is cold and that try it first
    /// afterwards.
    pub(super) fn is_first_sender(&self, record: &TargetRecord) -> bool {
        self.is_among_senders(record, COLD_SENDERS)
    }

    /// Whether this host is one of `count` hosts that alone send to a target. Hosts of the target's failure domain come first, then those of its region; hosts that know the same hosts
    /// select the same senders.
    pub(super) fn is_among_senders(&self, record: &TargetRecord, count: usize) -> bool {
        let rank = |host: &BalancerHost, hash: u64| {
            let is_near = host.failure_domain == record.entry.failure_domain;
            (is_near, host.region == record.entry.region, mix_hashes(record.hash, hash))
        };
        let own_rank = rank(&self.own_host, rendezvous_score(&[&self.own_host.host]));
        let others = self.hosts.iter().filter(|(host, _)| *host != self.own_host);
        others.filter(|(host, hash)| rank(host, *hash) > own_rank).count() < count
    }

    /// Whether a target is past its cold time, or this host may send it one more request during that time.
    pub(super) fn may_send(&self, record: &TargetRecord, now: Instant) -> bool {
        if !record.tracker.is_cold(now) {
            return true;
        }
        let mut bucket = record.tracker.cold_bucket.clone();
        bucket.fill(now);
        bucket.level() >= MICRO_TOKENS && self.is_first_sender(record)
    }
}

impl TargetRecord {
    /// Sets the requests a second that this host may send the target while it is cold. The first rate above 0 comes with one
    /// request's worth of tokens.
    fn set_sender_rate(&mut self, rate: f64) {
        let is_first = self.tracker.cold_bucket.rate() == 0;
        self.tracker.cold_bucket.set_limits((rate * MICRO_TOKENS as f64) as u64, MICRO_TOKENS);
        if is_first && rate > 0.0 {
            self.tracker.cold_bucket.add_tokens(MICRO_TOKENS);
        }
    }
}

pub(super) fn is_region_allowed(record: &TargetRecord, request: &PlacementRequest<'_>) -> bool {
    request.allowed_regions.is_empty() || request.allowed_regions.contains(&record.entry.region)
}

/// Mixes two hashes into one (the finalizer of SplitMix64).
pub(super) fn mix_hashes(a: u64, b: u64) -> u64 {
    let mut mixed = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
