//! A fleet in which targets of one region state limits, pause, leave, crash or restart: hosts place requests and gossip what
//! they know, with losses. Counts where the requests of each region run, in windows that slide.

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::AttemptEnd;
use coordination::fleet::BalancerHost;
use coordination::fleet::PlacementChoice;
use coordination::fleet::RegionLoads;
use coordination::fleet::TargetBalancer;
use coordination::fleet::TargetLoad;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;
use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::support::fleet_parts::TestRequest;
use crate::support::fleet_parts::entry;

const STEP: Duration = Duration::from_millis(20);
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Requests that wait at a target, in multiples of its slots, before it turns one away.
const QUEUE_SLOTS: usize = 2;
const HEARTBEAT_STEPS: u64 = 25;
const HEARTBEAT_RECEIVERS: usize = 5;
/// Hosts of its region to which a host reports its share outside with each heartbeat.
const NEAR_RECEIVERS: usize = 4;
const DATAGRAM_LOSS: f64 = 0.05;
const OBJECTS: u64 = 400;
const DOMAINS: usize = 6;
const REGIONS: usize = 3;
/// Attempts for a request, the first one included.
const MAX_ATTEMPTS: usize = 2;
/// The rule: length of the two windows that are compared, and the step by which they slide.
const WINDOW_BINS: usize = 20;
const BIN: Duration = Duration::from_millis(100);
/// Fewest requests in a window that counts.
const MIN_WINDOW_REQUESTS: usize = 50;
/// Time from the start before the first window, in which hosts learn how long answers take.
const START_BINS: usize = 30;
/// Part of its slots that a target with a limit can keep busy.
const LIMITED_SLOTS: f64 = 0.3;
const PAUSE: Duration = Duration::from_secs(2);
/// Time from a target's statement that it leaves until it is gone, and from its end until another one comes.
const LEAVE_TIME: Duration = Duration::from_secs(2);
const RETURN_TIME: Duration = Duration::from_secs(3);

/// What happens to targets of the troubled region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TargetTrouble {
    /// Nothing.
    None,
    /// They state limits for a time.
    Limits(Duration),
    /// They ask for pauses for a time.
    Pauses(Duration),
    /// They say that they leave, are gone, and come back as others.
    Leaving,
    /// They end without a word, their entries go with them, and they come back.
    Gone,
    /// They end for good.
    Lost,
    /// They crash one after the other, with this time between two, and restart before their entries expire.
    Crashes(Duration),
    /// They are replaced by others under their names, with this time between two.
    Restarts(Duration),
    /// Their failure domains are closed for a time.
    Closed(Duration),
}

/// Size, load and trouble of a fleet.
#[derive(Clone, Copy)]
pub struct ShiftCase {
    /// Number of hosts, a third of them in each region.
    pub hosts: usize,
    /// Number of targets in each region.
    pub targets: [usize; REGIONS],
    /// Requests that each target works on at a time.
    pub slots: u32,
    /// Part of all slots that requests keep busy.
    pub load: f64,
    /// What happens.
    pub trouble: TargetTrouble,
    /// Number of the region whose targets it happens to.
    pub region: usize,
    /// Part of the targets of that region to which it happens.
    pub share: f64,
    /// What happens later to other targets of the region: the delay, the trouble and the part of the targets.
    pub second: Option<(Duration, TargetTrouble, f64)>,
    /// Requests of the region's callers from the trouble on, in multiples of those before.
    pub burst: f64,
    /// How hosts learn what other hosts of their region send outside.
    pub shares: NeighbourShares,
}

/// How hosts learn the shares that other hosts of their region send outside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NeighbourShares {
    /// They know the current shares of some.
    Current,
    /// They know what each reported last, which in a large region was many heartbeats ago.
    Reported,
}

/// What the rule and callers see.
#[derive(Clone, Debug)]
pub struct ShiftReport {
    /// Largest share of a region's requests that changed the region in which they ran, and the end of the earlier window in
    /// seconds from the start.
    pub shift: (f64, f64),
    /// Pairs of windows compared.
    pub checks: usize,
    /// Share of the troubled region's requests that were not served from the trouble on.
    pub refused: f64,
    /// The same for requests of the last five seconds.
    pub refused_at_end: f64,
    /// Largest share of a region's requests of the last five seconds that ran in another region.
    pub outside_at_end: f64,
}

/// Fleet in play.
pub struct ShiftModel {
    case: ShiftCase,
    rng: StdRng,
    started_at: Instant,
    now: Instant,
    step: u64,
    hosts: Vec<ModelHost>,
    targets: IndexMap<TargetId, ModelTarget>,
    events: Vec<(Instant, ModelEvent)>,
    /// Requests by 100 ms, region of the host and region of the target that ran them.
    runs: Vec<[[usize; REGIONS]; REGIONS]>,
    /// Requests by 100 ms and region of the host: all, and those that were not served.
    outcomes: Vec<[[usize; 2]; REGIONS]>,
    troubled_from: Option<Instant>,
}

struct ModelHost {
    region: usize,
    balancer: TargetBalancer,
    /// Shares outside that hosts of the region reported to this one last.
    reported_shares: IndexMap<usize, f64>,
    running: Vec<RunningRequest>,
}

struct RunningRequest {
    ends_at: Instant,
    asked_at: Instant,
    started_at: Instant,
    choice: PlacementChoice,
    request: TestRequest,
}

struct ModelTarget {
    number: usize,
    region: usize,
    started_at: u64,
    is_alive: bool,
    limit: Option<f64>,
    is_pausing: bool,
    is_leaving: bool,
    ends: Vec<Instant>,
}

#[derive(Clone)]
enum ModelEvent {
    SetLimit(TargetId, Option<f64>),
    SetPausing(TargetId, bool),
    Leave(TargetId),
    Crash(TargetId),
    Remove(TargetId),
    Start(TargetId),
    SetClosed(bool),
}

impl ShiftModel {
    /// Creates a fleet in which all hosts know each other and all targets are sound.
    pub fn new(case: ShiftCase, seed: u64) -> Self {
        let now = Instant::now();
        let counts = (0..REGIONS).flat_map(|region| (0..case.targets[region]).map(move |_| region));
        let targets: IndexMap<_, _> = counts
            .enumerate()
            .map(|(number, region)| (target_name(number), ModelTarget::new(number, region)))
            .collect();
        let mut hosts: Vec<_> =
            (0..case.hosts).map(|host| ModelHost::new(host, case.hosts, now)).collect();
        for host in &mut hosts {
            for target in targets.values() {
                target.announce(&mut host.balancer, case.slots, now);
            }
        }
        Self {
            case,
            rng: StdRng::seed_from_u64(seed),
            started_at: now,
            now,
            step: 0,
            hosts,
            targets,
            events: Vec::new(),
            runs: Vec::new(),
            outcomes: Vec::new(),
            troubled_from: None,
        }
    }

    /// Plays `before` without trouble, starts the trouble and plays `after`.
    pub fn play(&mut self, before: Duration, after: Duration) -> ShiftReport {
        self.play_until(self.now + before);
        self.schedule_troubles();
        self.troubled_from = Some(self.now);
        let troubled_from = self.bin();
        self.play_until(self.now + after);
        let (shift, checks) = self.largest_shift();
        let refused = self.refused_share(troubled_from);
        let refused_at_end = self.refused_share(self.bin().saturating_sub(50));
        let outside_at_end = self.largest_outside(self.bin().saturating_sub(50));
        ShiftReport { shift, checks, refused, refused_at_end, outside_at_end }
    }

    fn play_until(&mut self, end: Instant) {
        while self.now < end {
            self.now += STEP;
            self.step += 1;
            let bins = self.bin() + 1;
            self.runs.resize(bins, Default::default());
            self.outcomes.resize(bins, Default::default());
            self.apply_events();
            for host in 0..self.hosts.len() {
                self.end_requests(host);
                self.send_requests(host);
                if (self.step + host as u64).is_multiple_of(HEARTBEAT_STEPS) {
                    self.gossip(host);
                }
            }
        }
    }

    fn schedule_troubles(&mut self) {
        let case = self.case;
        let in_region = self.targets.iter().filter(|(_, target)| target.region == case.region);
        let names: Vec<TargetId> = in_region.map(|(name, _)| name.clone()).collect();
        let count = |share: f64| (names.len() as f64 * share).round() as usize;
        self.schedule_trouble(Duration::ZERO, case.trouble, &names[..count(case.share)]);
        if let Some((delay, trouble, share)) = case.second {
            self.schedule_trouble(delay, trouble, &names[names.len() - count(share)..]);
        }
    }

    fn schedule_trouble(&mut self, delay: Duration, trouble: TargetTrouble, names: &[TargetId]) {
        let (case, now) = (self.case, self.now + delay);
        let limit = f64::from(case.slots) * LIMITED_SLOTS / SERVICE_TIME.as_secs_f64();
        let mut add = |delay: Duration, event: ModelEvent| self.events.push((now + delay, event));
        for (index, name) in names.iter().cloned().enumerate() {
            match trouble {
                TargetTrouble::None => {}
                TargetTrouble::Limits(time) => {
                    add(Duration::ZERO, ModelEvent::SetLimit(name.clone(), Some(limit)));
                    add(time, ModelEvent::SetLimit(name, None));
                }
                TargetTrouble::Pauses(time) => {
                    add(Duration::ZERO, ModelEvent::SetPausing(name.clone(), true));
                    add(time, ModelEvent::SetPausing(name, false));
                }
                TargetTrouble::Leaving => {
                    add(Duration::ZERO, ModelEvent::Leave(name.clone()));
                    add(LEAVE_TIME, ModelEvent::Remove(name.clone()));
                    add(LEAVE_TIME + RETURN_TIME, ModelEvent::Start(name));
                }
                TargetTrouble::Gone => {
                    add(Duration::ZERO, ModelEvent::Remove(name.clone()));
                    add(RETURN_TIME, ModelEvent::Start(name));
                }
                TargetTrouble::Lost => add(Duration::ZERO, ModelEvent::Remove(name)),
                TargetTrouble::Crashes(pause) => {
                    add(pause * index as u32, ModelEvent::Crash(name.clone()));
                    add(pause * index as u32 + RETURN_TIME, ModelEvent::Start(name));
                }
                TargetTrouble::Restarts(pause) => {
                    add(pause * index as u32, ModelEvent::Start(name))
                }
                TargetTrouble::Closed(time) if index == 0 => {
                    add(Duration::ZERO, ModelEvent::SetClosed(true));
                    add(time, ModelEvent::SetClosed(false));
                }
                TargetTrouble::Closed(_) => {}
            }
        }
    }

    fn apply_events(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.events).into_iter().partition(|(at, _)| *at <= now);
        self.events = later;
        let due: Vec<(Instant, ModelEvent)> = due;
        for (_, event) in due {
            self.apply_event(event);
        }
    }

    fn apply_event(&mut self, event: ModelEvent) {
        let (now, slots) = (self.now, self.case.slots);
        match event {
            ModelEvent::SetLimit(name, limit) => self.targets[&name].limit = limit,
            ModelEvent::SetPausing(name, is_pausing) => self.targets[&name].is_pausing = is_pausing,
            ModelEvent::Leave(name) => self.targets[&name].is_leaving = true,
            ModelEvent::Crash(name) => self.targets[&name].is_alive = false,
            ModelEvent::Remove(name) => {
                self.targets[&name].is_alive = false;
                for host in &mut self.hosts {
                    host.balancer.remove_target(&name, now);
                }
            }
            ModelEvent::Start(name) => {
                let target = &mut self.targets[&name];
                let started = ModelTarget::new(target.number, target.region);
                *target = ModelTarget { started_at: target.started_at + 1, ..started };
                for host in &mut self.hosts {
                    target.announce(&mut host.balancer, slots, now);
                }
            }
            ModelEvent::SetClosed(is_closed) => {
                let domain = domain_name(self.case.region * 2);
                let closed = is_closed.then(|| domain.into());
                for host in &mut self.hosts {
                    host.balancer.set_closed_domains(closed.clone().into_iter().collect(), now);
                }
            }
        }
    }

    fn send_requests(&mut self, host: usize) {
        let targets: usize = self.case.targets.iter().sum();
        let capacity = targets as f64 * f64::from(self.case.slots) / SERVICE_TIME.as_secs_f64();
        let is_burst = self.troubled_from.is_some() && self.hosts[host].region == self.case.region;
        let load = self.case.load * if is_burst { self.case.burst } else { 1.0 };
        let expected = capacity * load / self.hosts.len() as f64 * STEP.as_secs_f64();
        let count = expected as u32 + u32::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            let request = TestRequest::for_object(self.rng.random_range(0..OBJECTS));
            let (bin, region) = (self.bin(), self.hosts[host].region);
            self.outcomes[bin][region][0] += 1;
            self.send_request(host, request, self.now);
        }
    }

    /// Sends a request to one target after another until one takes it or no attempt is left.
    fn send_request(&mut self, host: usize, mut request: TestRequest, asked_at: Instant) {
        let now = self.now;
        while request.excluded_targets.len() < MAX_ATTEMPTS {
            let state = &mut self.hosts[host];
            let Ok(choice) = request.choose_target(&mut state.balancer, now) else { break };
            let target = &mut self.targets[&choice.target];
            let end = match target.accept(self.case.slots, now) {
                Ok(ends_at) => {
                    let bin = (now - self.started_at).as_millis() / BIN.as_millis();
                    self.runs[bin as usize][state.region][target.region] += 1;
                    let running =
                        RunningRequest { ends_at, asked_at, started_at: now, choice, request };
                    state.running.push(running);
                    return;
                }
                Err(end) => end,
            };
            if end == AttemptEnd::Shed && target.is_pausing {
                state.balancer.record_pause(&choice.target, choice.started_at, PAUSE, now);
            }
            state.balancer.record_end(&choice, &"route".into(), end, None, now);
            request.excluded_targets.push(choice.target);
        }
        let bin = (asked_at - self.started_at).as_millis() / BIN.as_millis();
        self.outcomes[bin as usize][self.hosts[host].region][1] += 1;
    }

    fn end_requests(&mut self, host: usize) {
        let (now, slots) = (self.now, self.case.slots);
        let running = std::mem::take(&mut self.hosts[host].running);
        let (ended, running) = running.into_iter().partition(|request| request.ends_at <= now);
        self.hosts[host].running = running;
        let ended: Vec<RunningRequest> = ended;
        for RunningRequest { asked_at, started_at, choice, mut request, .. } in ended {
            let target = &mut self.targets[&choice.target];
            let balancer = &mut self.hosts[host].balancer;
            if !target.is_alive || target.started_at != choice.started_at {
                balancer.record_end(&choice, &"route".into(), AttemptEnd::Failed, None, now);
                request.excluded_targets.push(choice.target);
                self.send_request(host, request, asked_at);
                continue;
            }
            balancer.record_limit(&choice.target, target.limit, now);
            balancer.record_pause_end(&choice.target, now);
            if target.is_leaving {
                balancer.record_leaving(&choice.target, choice.started_at, now);
            }
            let end = AttemptEnd::Answered { time: now - started_at };
            balancer.record_end(&choice, &"route".into(), end, Some(target.load(slots, now)), now);
        }
    }

    fn gossip(&mut self, sender: usize) {
        self.learn_neighbours(sender);
        let (now, source) = (self.now, &self.hosts[sender].balancer);
        let limits = source.limit_reports(now);
        let pauses = source.pause_reports(now);
        let leaving = source.leaving_reports();
        let failures = source.failure_reports(now);
        let others: Vec<usize> = (0..self.hosts.len()).filter(|host| *host != sender).collect();
        let receivers: Vec<usize> =
            others.sample(&mut self.rng, HEARTBEAT_RECEIVERS).copied().collect();
        for receiver in receivers {
            if !self.rng.random_bool(DATAGRAM_LOSS) {
                let balancer = &mut self.hosts[receiver].balancer;
                balancer.merge_limit_reports(&limits, now);
                balancer.merge_pause_reports(&pauses, now);
                balancer.merge_leaving_reports(&leaving, now);
                balancer.merge_failure_reports(&failures, now);
            }
        }
    }

    /// Lets a host report its share outside to some hosts of its region, and learn the mean share and the mean loads of some of
    /// them.
    fn learn_neighbours(&mut self, host: usize) {
        let region = self.hosts[host].region;
        let near: Vec<usize> = (0..self.hosts.len())
            .filter(|other| *other != host && self.hosts[*other].region == region)
            .collect();
        let heard: Vec<usize> = near.sample(&mut self.rng, HEARTBEAT_RECEIVERS).copied().collect();
        let service: ServiceId = "service".into();
        let balancers = || heard.iter().map(|other| &self.hosts[*other].balancer);
        let mut shares: Vec<f64> =
            balancers().filter_map(|b| b.spill_shares().get(&service).copied()).collect();
        let loads: Vec<RegionLoads> =
            balancers().filter_map(|b| b.measured_loads(self.now).get(&service).copied()).collect();
        if self.case.shares == NeighbourShares::Reported {
            self.report_share(host, &near, &service);
            shares = self.hosts[host].reported_shares.values().copied().collect();
        }
        let mean = |values: &mut dyn Iterator<Item = f64>, count: usize| {
            values.sum::<f64>() / count.max(1) as f64
        };
        let share = mean(&mut shares.iter().copied(), shares.len());
        let inside = mean(&mut loads.iter().map(|load| f64::from(load.0)), loads.len());
        let outside = mean(&mut loads.iter().map(|load| f64::from(load.1)), loads.len());
        let balancer = &mut self.hosts[host].balancer;
        if !shares.is_empty() {
            balancer.set_neighbour_spill_shares([(service.clone(), share)].into());
        }
        if !loads.is_empty() {
            balancer.set_neighbour_loads(&[(service, (inside as f32, outside as f32))].into());
        }
    }

    fn report_share(&mut self, host: usize, near: &[usize], service: &ServiceId) {
        let share = self.hosts[host].balancer.spill_shares().get(service).copied();
        let receivers: Vec<usize> = near.sample(&mut self.rng, NEAR_RECEIVERS).copied().collect();
        for (receiver, share) in receivers.iter().filter_map(|to| Some((*to, share?))) {
            if !self.rng.random_bool(DATAGRAM_LOSS) {
                self.hosts[receiver].reported_shares.insert(host, share);
            }
        }
    }

    fn bin(&self) -> usize {
        ((self.now - self.started_at).as_millis() / BIN.as_millis()) as usize
    }

    fn refused_share(&self, from: usize) -> f64 {
        let counts = self.outcomes.iter().skip(from).map(|bin| bin[self.case.region]);
        let (all, refused) =
            counts.fold((0, 0), |sum, [all, refused]| (sum.0 + all, sum.1 + refused));
        refused as f64 / all.max(1) as f64
    }

    fn largest_outside(&self, from: usize) -> f64 {
        let share_of = |region: usize| {
            let (mut inside, mut all) = (0, 0);
            for bin in &self.runs[from..] {
                inside += bin[region][region];
                all += bin[region].iter().sum::<usize>();
            }
            1.0 - inside as f64 / all.max(1) as f64
        };
        (0..REGIONS).map(share_of).fold(0.0, f64::max)
    }

    fn largest_shift(&self) -> ((f64, f64), usize) {
        let (mut largest, mut checks) = ((0.0, 0.0), 0);
        for end in START_BINS + WINDOW_BINS..self.runs.len().saturating_sub(WINDOW_BINS) {
            for region in 0..REGIONS {
                let before = self.window(region, end - WINDOW_BINS);
                let after = self.window(region, end);
                let least = before.iter().sum::<usize>().min(after.iter().sum());
                if least >= MIN_WINDOW_REQUESTS {
                    let shift = shifted_share(&before, &after);
                    checks += 1;
                    if shift > largest.0 {
                        largest = (shift, end as f64 * BIN.as_secs_f64());
                    }
                }
            }
        }
        (largest, checks)
    }

    fn window(&self, region: usize, from: usize) -> [usize; REGIONS] {
        let mut counts = [0; REGIONS];
        for bin in &self.runs[from..from + WINDOW_BINS] {
            for (count, runs) in counts.iter_mut().zip(bin[region]) {
                *count += runs;
            }
        }
        counts
    }
}

impl ModelHost {
    fn new(number: usize, hosts: usize, now: Instant) -> Self {
        let all: Vec<_> = (0..hosts).map(balancer_host).collect();
        let mut balancer = TargetBalancer::new(balancer_host(number), 1.0 / REGIONS as f64);
        balancer.set_hosts(all, now);
        Self {
            region: number % DOMAINS / 2,
            balancer,
            reported_shares: IndexMap::new(),
            running: Vec::new(),
        }
    }
}

impl ModelTarget {
    fn new(number: usize, region: usize) -> Self {
        Self {
            number,
            region,
            started_at: 1,
            is_alive: true,
            limit: None,
            is_pausing: false,
            is_leaving: false,
            ends: Vec::new(),
        }
    }

    fn announce(&self, balancer: &mut TargetBalancer, slots: u32, now: Instant) {
        let domain = domain_name(self.region * 2 + self.number % 2);
        let name = target_name(self.number);
        let mut entry = entry(&name, &domain, &format!("r{}", self.region));
        (entry.slots, entry.started_at) = (slots, self.started_at);
        balancer.upsert_target(entry, now);
    }

    /// Takes a request and returns when its answer is ready, or how the attempt ends.
    fn accept(&mut self, slots: u32, now: Instant) -> Result<Instant, AttemptEnd> {
        self.ends.retain(|end| *end > now);
        let (running, slots) = (self.ends.len(), slots as usize);
        match (self.is_alive, self.is_pausing) {
            (false, _) => Err(AttemptEnd::Unreachable),
            (true, true) => Err(AttemptEnd::Shed),
            (true, false) if running >= slots * (1 + QUEUE_SLOTS) => Err(AttemptEnd::Shed),
            (true, false) => {
                self.ends.sort();
                let starts_at = running.checked_sub(slots).map_or(now, |index| self.ends[index]);
                self.ends.push(starts_at + SERVICE_TIME);
                Ok(starts_at + SERVICE_TIME)
            }
        }
    }

    fn load(&mut self, slots: u32, now: Instant) -> TargetLoad {
        self.ends.retain(|end| *end > now);
        let all = self.ends.len() as u32 + 1;
        TargetLoad { running: all.min(slots), waiting: all.saturating_sub(slots), slots }
    }
}

fn balancer_host(number: usize) -> BalancerHost {
    let domain = number % DOMAINS;
    BalancerHost {
        host: format!("h{number}").into(),
        failure_domain: domain_name(domain).into(),
        region: format!("r{}", domain / 2).into(),
    }
}

fn domain_name(number: usize) -> String {
    format!("d{number}")
}

fn target_name(number: usize) -> TargetId {
    format!("t{number}").into()
}

/// Share of requests by which two distributions over regions differ.
fn shifted_share(before: &[usize; REGIONS], after: &[usize; REGIONS]) -> f64 {
    let share = |counts: &[usize; REGIONS], region: usize| {
        counts[region] as f64 / counts.iter().sum::<usize>().max(1) as f64
    };
    (0..REGIONS).map(|region| (share(after, region) - share(before, region)).max(0.0)).sum()
}
