//! Scores the targets that may run a request by their expected cost in seconds.

use std::time::Instant;

use crate::fleet::ObjectWarmth;
use crate::fleet::PlacementRequest;
use crate::fleet::SpillController;
use crate::fleet::TargetBalancer;
use crate::fleet::placement_candidate::Candidate;
use crate::fleet::placement_candidate::KeyRanks;
use crate::fleet::placement_candidate::RegionPressure;
use crate::fleet::placement_candidate::TargetSide;
use crate::fleet::placement_candidate::insert_rank;
use crate::fleet::service_record::ServiceRecord;
use crate::fleet::spill_controller::surplus_share;
use crate::fleet::target_balancer::TargetRecord;
use crate::fleet::target_balancer::is_region_allowed;
use crate::fleet::target_balancer::mix_hashes;
use crate::ids::RegionId;
use crate::ids::ServiceId;
use crate::ids::TargetId;

/// Likelihood that an object is warm on a target to which this host sent a request for it within `WARM_TIME`.
const KNOWN_WARM_LIKELIHOOD: f64 = 0.95;
/// Round trip to another failure domain of the region, up to 0.9 ms each way.
const OTHER_DOMAIN_TRIP_SECONDS: f64 = 0.002;
/// Round trip to another region, 12 to 20 ms each way.
const OTHER_REGION_TRIP_SECONDS: f64 = 0.035;
/// Work assumed on a request of a service of which no answer has come yet.
const UNMEASURED_WORK_SECONDS: f64 = 0.25;
/// Hosts of a fleet from which targets in their cold time are no homes: their two senders are a tenth of the hosts or fewer
/// then. In a smaller fleet enough hosts send to them to keep objects warm there.
const MIN_HOSTS_FOR_COLD_RULE: usize = 20;
/// Probability of a failure from which a target is no object's home: two failures within a second or so.
pub(super) const MAX_HOME_FAILURE: f64 = 0.5;

impl TargetBalancer {
    /// Returns the targets that may run a request with their costs, and the pressure on the service. Under high
    /// pressure the work itself is weighted up, because a slot that runs a cold object could serve several warm ones.
    pub(super) fn candidates<'a>(
        &'a self,
        request: &PlacementRequest<'_>,
        far_region: Option<&RegionId>,
        now: Instant,
    ) -> (Vec<Candidate<'a>>, RegionPressure) {
        let Some(service) = self.services.get(request.service) else {
            return (Vec::new(), RegionPressure::default());
        };
        let records: Vec<&TargetRecord> = service
            .targets
            .iter()
            .filter_map(|name| self.targets.get(name))
            .filter(|record| self.takes_requests(record) && is_region_allowed(record, request))
            .filter(|record| !record.tracker.is_replaced(now) && record.tracker.pause.may_send(now))
            .collect();
        let pressure = self.pressure(service, &records, now);
        // The next home of an object whose home has no room within its limit is the same on all hosts.
        let records: Vec<_> =
            records.into_iter().filter(|record| record.tracker.limit.may_send(now)).collect();
        let ranks = request
            .object_hash
            .map(|hash| {
                self.rank_targets(&records, far_region, hash, request.excluded_targets, now)
            })
            .unwrap_or_default();
        let spill_share = service.spill.as_ref().map_or(0.0, SpillController::share);
        let home_likelihoods = service.home_likelihoods();
        let mut candidates = Vec::with_capacity(records.len());
        for (index, record) in records.iter().enumerate() {
            if request.excluded_targets.contains(&record.entry.target)
                || !self.may_send(record, now)
            {
                continue;
            }
            let (warmth, warm_likelihood) = match request.object_hash {
                Some(hash) if record.tracker.warm_keys.contains(hash, now) => {
                    (ObjectWarmth::Known, KNOWN_WARM_LIKELIHOOD)
                }
                _ => ranks.expected_warmth(index, home_likelihoods, spill_share),
            };
            let mut candidate = self.candidate(service, record, request, warm_likelihood, now);
            candidate.side = self.side_of(record, far_region);
            candidate.warmth = warmth;
            candidate.cost_seconds += pressure.all.min(1.0) * candidate.work_seconds;
            if ranks.is_first(index) && self.is_trial(record, now) {
                candidate.cost_seconds = 0.0;
            }
            candidates.push(candidate);
        }
        (candidates, pressure)
    }

    /// Whether a request goes to a target because this host has never used it. By cost alone, a target that is added
    /// while objects are warm elsewhere would stay idle until the others are full.
    fn is_trial(&self, record: &TargetRecord, now: Instant) -> bool {
        !record.tracker.is_tried && !record.tracker.is_cold(now) && self.is_first_sender(record)
    }

    /// Returns the requests per slot of a service, inside and outside the own region.
    pub(super) fn pressure(
        &self,
        service: &ServiceRecord,
        records: &[&TargetRecord],
        now: Instant,
    ) -> RegionPressure {
        let mut sums = [(0.0, 0.0); 2];
        for record in records {
            let sum = &mut sums[usize::from(record.entry.region != self.own_host.region)];
            sum.0 += self.load_of(service, record, now);
            let slots = f64::from(record.entry.slots);
            sum.1 += record.tracker.limit.usable_slots(slots, service.mean_service_seconds);
        }
        let per_slot = |(load, slots): (f64, f64)| if slots > 0.0 { load / slots } else { 0.0 };
        let all = (sums[0].0 + sums[1].0, sums[0].1 + sums[1].1);
        RegionPressure { inside: per_slot(sums[0]), outside: per_slot(sums[1]), all: per_slot(all) }
    }

    pub(super) fn spill_of(&self, service: &ServiceId, now: Instant) -> SpillController {
        let known = self.services.get(service).and_then(|service| service.spill.clone());
        let share = || self.initial_spill_share(service);
        known.unwrap_or_else(|| SpillController::new(share(), self.spill_pace, now))
    }

    /// Initial share of a service's requests that runs outside the region: what other hosts of the region send there,
    /// or else the surplus of callers over slots. Without it a region with few targets is overloaded after a start
    /// until the share has grown.
    pub(super) fn initial_spill_share(&self, service: &ServiceId) -> f64 {
        if let Some(share) = self.neighbour_spill_shares.get(service) {
            return *share;
        }
        let Some(known) = self.services.get(service) else { return 0.0 };
        let records = known.targets.iter().filter_map(|name| self.targets.get(name));
        let (mut inside, mut all) = (0.0, 0.0);
        for record in records.filter(|record| self.takes_requests(record)) {
            let slots = f64::from(record.entry.slots);
            all += slots;
            inside += if record.entry.region == self.own_host.region { slots } else { 0.0 };
        }
        if all > 0.0 { surplus_share(self.caller_share, inside / all) } else { 0.0 }
    }

    /// Estimates the requests of all hosts on a target from this host's own and from the latest reports.
    pub(super) fn load_of(
        &self,
        service: &ServiceRecord,
        record: &TargetRecord,
        now: Instant,
    ) -> f64 {
        let average = service.other_load(record.entry.region != self.own_host.region, now);
        let slots = record.entry.slots;
        record.tracker.estimated_load(slots, average * f64::from(slots), now)
    }

    /// Ranks targets of the own region and of `far_region` for an object by rendezvous scores, which are the same on all hosts. Targets that fail and `excluded`
    /// ones, on which an earlier attempt failed, are left out: all hosts that know of the failure have the same next home.
    /// So are targets of a large fleet in their cold time, which take requests of few hosts: the others would not know which
    /// target keeps the object warm meanwhile.
    pub(super) fn rank_targets(
        &self,
        records: &[&TargetRecord],
        far_region: Option<&RegionId>,
        object_hash: u64,
        excluded: &[TargetId],
        now: Instant,
    ) -> KeyRanks {
        let mut ranks = KeyRanks::default();
        let skips_cold = self.hosts.len() >= MIN_HOSTS_FOR_COLD_RULE;
        let is_sound = |record: &TargetRecord| {
            record.tracker.failure_probability(now) < MAX_HOME_FAILURE
                && !(skips_cold && record.tracker.is_cold(now))
                && !excluded.contains(&record.entry.target)
        };
        let sound = records.iter().enumerate().filter(|(_, record)| is_sound(record));
        for (index, record) in sound {
            let score = mix_hashes(record.hash, object_hash);
            match self.side_of(record, far_region) {
                TargetSide::Inside => insert_rank(&mut ranks.near, (score, index)),
                TargetSide::Outside => insert_rank(&mut ranks.far, (score, index)),
                TargetSide::Elsewhere => {}
            }
        }
        ranks
    }

    pub(super) fn candidate<'a>(
        &self,
        service: &ServiceRecord,
        record: &'a TargetRecord,
        request: &PlacementRequest<'_>,
        warm_likelihood: f64,
        now: Instant,
    ) -> Candidate<'a> {
        let tracker = &record.tracker;
        let times = self.service_times.get(request.route).copied().unwrap_or_default();
        let slowdown = tracker.expected_slowdown(now);
        // A route without any measurement is tried: other routes of the service may take longer than its callers have.
        let longest_seconds = UNMEASURED_WORK_SECONDS.max(request.time_left.as_secs_f64() / 2.0);
        let assumed_seconds =
            service.mean_service_seconds.unwrap_or(UNMEASURED_WORK_SECONDS).min(longest_seconds);
        let work_seconds = times.expected_seconds(warm_likelihood, assumed_seconds) * slowdown;
        let load = self.load_of(service, record, now);
        let service_seconds =
            service.mean_service_seconds.map_or(work_seconds, |mean| mean * slowdown);
        let is_outside = record.entry.region != self.own_host.region;
        let trip = match is_outside {
            true => OTHER_REGION_TRIP_SECONDS,
            false if record.entry.failure_domain == self.own_host.failure_domain => 0.0,
            false => OTHER_DOMAIN_TRIP_SECONDS,
        };
        // A request that was turned away once does not find out whether another pause is over.
        let is_doubtful = tracker.pause.is_doubtful() && !request.excluded_targets.is_empty();
        let failure_probability = if is_doubtful { 1.0 } else { tracker.failure_probability(now) };
        // A caller whose request fails may get no answer at all.
        let failures = failure_probability * request.time_left.as_secs_f64();
        let mut candidate = Candidate {
            record,
            load,
            places: tracker.places(now),
            service_seconds,
            slowdown,
            margin_seconds: times.margin_seconds(),
            trip_seconds: trip,
            wait_seconds: 0.0,
            work_seconds,
            expected_seconds: work_seconds + trip,
            cost_seconds: work_seconds + trip + failures,
            warmth: ObjectWarmth::Unlikely,
            side: self.side_of(record, None),
        };
        candidate.wait_seconds = candidate.wait_behind(0.0);
        candidate.expected_seconds += candidate.wait_seconds;
        candidate.cost_seconds += candidate.wait_seconds;
        candidate
    }

    fn side_of(&self, record: &TargetRecord, far_region: Option<&RegionId>) -> TargetSide {
        match &record.entry.region {
            region if *region == self.own_host.region => TargetSide::Inside,
            region if far_region.is_none_or(|far_region| region == far_region) => {
                TargetSide::Outside
            }
            _ => TargetSide::Elsewhere,
        }
    }
}
