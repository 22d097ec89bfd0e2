//! A fleet whose targets state limits: hosts place requests, learn limits from answers and gossip them with losses.

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::AttemptEnd;
use coordination::fleet::BalancerHost;
use coordination::fleet::PlacementChoice;
use coordination::fleet::TargetBalancer;
use coordination::fleet::TargetLoad;
use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::support::fleet_parts::TestRequest;
use crate::support::fleet_parts::entry;

const STEP: Duration = Duration::from_millis(20);
const SERVICE_TIME: Duration = Duration::from_millis(100);
const HEARTBEAT_STEPS: u64 = 25;
const HEARTBEAT_RECEIVERS: usize = 5;
const DATAGRAM_LOSS: f64 = 0.05;
const OBJECTS: u64 = 400;
const DOMAINS: usize = 6;
const REGIONS: usize = 3;
/// Step by which the windows of two seconds slide in which shifts are counted, and the time from the start that is left out.
const SHIFT_STEP: Duration = Duration::from_millis(100);
const SHIFT_WINDOW_STEPS: usize = 20;
const SHIFT_START_STEPS: usize = 40;
/// The rule: a window, its tolerance, and when a host and a limit start to count.
const WINDOW: Duration = Duration::from_secs(4);
const NOTICE_TIME: Duration = Duration::from_millis(500);
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Size and load of the fleet.
#[derive(Clone, Copy)]
pub struct LimitCase {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of targets, of which the first `limited` state a limit.
    pub targets: usize,
    /// Number of targets that state a limit.
    pub limited: usize,
    /// Requests that each target works on at a time, for `SERVICE_TIME` each.
    pub slots: u32,
    /// Limit in requests a second.
    pub rate: f64,
    /// Requests a second that each host gets.
    pub host_load: f64,
    /// Time between two restarts of hosts; `None` for a run without.
    pub restart_pause: Option<Duration>,
}

/// Fleet in play.
pub struct LimitModel {
    case: LimitCase,
    rng: StdRng,
    now: Instant,
    step: u64,
    limit: Option<f64>,
    named_at: Option<Instant>,
    hosts: Vec<ModelHost>,
    running: IndexMap<Box<str>, u32>,
    arrivals: IndexMap<Box<str>, Vec<(Instant, usize)>>,
    requests: usize,
    refused: usize,
    started_at: Instant,
    region_runs: Vec<RegionRuns>,
}

/// Requests of one step, by region of the host and region of the target that ran them.
type RegionRuns = [[usize; REGIONS]; REGIONS];

struct ModelHost {
    balancer: TargetBalancer,
    running: Vec<(Instant, PlacementChoice)>,
    told_at: IndexMap<Box<str>, Instant>,
}

impl LimitModel {
    /// Creates a fleet in which all hosts know each other and no target states a limit.
    pub fn new(case: LimitCase, seed: u64) -> Self {
        let now = Instant::now();
        let hosts = (0..case.hosts).map(|host| ModelHost::start(&case, host, now)).collect();
        let rng = StdRng::seed_from_u64(seed);
        let (arrivals, running) = (IndexMap::new(), IndexMap::new());
        let (limit, named_at) = (None, None);
        Self {
            case,
            rng,
            now,
            step: 0,
            limit,
            named_at,
            hosts,
            running,
            arrivals,
            requests: 0,
            refused: 0,
            started_at: now,
            region_runs: Vec::new(),
        }
    }

    /// Sets the limit that the limited targets state from now on.
    pub fn set_limit(&mut self, limit: Option<f64>) {
        (self.limit, self.named_at) = (limit, Some(self.now));
        self.arrivals.clear();
        (self.requests, self.refused) = (0, 0);
    }

    /// Plays for a time.
    pub fn play(&mut self, time: Duration) {
        let end = self.now + time;
        let mut restarted_at = self.now;
        while self.now < end {
            self.now += STEP;
            self.step += 1;
            for host in 0..self.hosts.len() {
                self.end_requests(host);
                self.send_requests(host);
                if (self.step + host as u64).is_multiple_of(HEARTBEAT_STEPS) {
                    self.gossip(host);
                }
            }
            if self.case.restart_pause.is_some_and(|pause| self.now - restarted_at >= pause) {
                restarted_at = self.now;
                self.restart_host();
            }
        }
    }

    /// Most requests that a limited target got in a window from hosts that it had told, and the number of requests checked.
    pub fn busiest_window(&self) -> (usize, usize) {
        let start = self.named_at.map_or(self.now, |at| at + SETTLE_TIME);
        let windows = self.arrivals.values().map(|arrivals| {
            let counted: Vec<_> = arrivals.iter().filter(|(at, _)| *at >= start).collect();
            let in_window = |end: Instant| {
                counted.iter().filter(|(at, _)| *at <= end && end - *at < WINDOW).count()
            };
            counted.iter().map(|(end, _)| in_window(*end)).max().unwrap_or(0)
        });
        let checks = self.arrivals.values().map(Vec::len).sum();
        (windows.max().unwrap_or(0), checks)
    }

    /// Mean requests a second that a limited target got from hosts that it had told since the limit was set.
    pub fn told_rate(&self) -> f64 {
        let seconds = self.named_at.map_or(0.0, |at| (self.now - at).as_secs_f64());
        let requests: usize = self.arrivals.values().map(Vec::len).sum();
        requests as f64 / seconds / self.case.limited as f64
    }

    /// Largest share of a region's requests that changed the region in which they ran from one window to the next, and the
    /// number of pairs of whole windows compared.
    pub fn largest_shift(&self) -> (f64, usize) {
        let whole = self.region_runs.len().saturating_sub(1);
        let ends =
            SHIFT_START_STEPS + SHIFT_WINDOW_STEPS..=whole.saturating_sub(SHIFT_WINDOW_STEPS);
        let shifts = ends.flat_map(|end| {
            (0..REGIONS).map(move |region| {
                let before = self.region_window(region, end - SHIFT_WINDOW_STEPS);
                shifted_share(&before, &self.region_window(region, end))
            })
        });
        shifts.fold((0.0, 0), |(largest, count), shift| (shift.max(largest), count + 1))
    }

    fn region_window(&self, region: usize, from: usize) -> [usize; REGIONS] {
        let steps = &self.region_runs[from..from + SHIFT_WINDOW_STEPS];
        std::array::from_fn(|target| steps.iter().map(|step| step[region][target]).sum())
    }

    /// Share of requests that were refused since the limit was set.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }

    /// Number of hosts that would send requests to the first target now.
    pub fn senders(&self) -> usize {
        let sends = |host: &&ModelHost| {
            let mut balancer = host.balancer.clone();
            (0..OBJECTS).any(|object| {
                let request = TestRequest::for_object(object);
                let choice = request.choose_target(&mut balancer, self.now);
                choice.is_ok_and(|choice| &*choice.target == "t0")
            })
        };
        self.hosts.iter().filter(sends).count()
    }

    fn send_requests(&mut self, host: usize) {
        let expected = self.case.host_load * STEP.as_secs_f64();
        let count = expected as u32 + u32::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            self.requests += 1;
            let request = TestRequest::for_object(self.rng.random_range(0..OBJECTS));
            let state = &mut self.hosts[host];
            match request.choose_target(&mut state.balancer, self.now) {
                Ok(choice) => {
                    let step = (self.now - self.started_at).as_millis() / SHIFT_STEP.as_millis();
                    let steps = self.region_runs.len().max(step as usize + 1);
                    self.region_runs.resize(steps, RegionRuns::default());
                    let regions = (region(host), region(target_number(&choice.target)));
                    self.region_runs[step as usize][regions.0][regions.1] += 1;
                    let told_at = state.told_at.get(&choice.target);
                    if told_at.is_some_and(|at| self.now >= *at + NOTICE_TIME) {
                        let arrivals = self.arrivals.entry(choice.target.clone()).or_default();
                        arrivals.push((self.now, host));
                    }
                    *self.running.entry(choice.target.clone()).or_default() += 1;
                    state.running.push((self.now + SERVICE_TIME, choice));
                }
                Err(_) => self.refused += 1,
            }
        }
    }

    fn end_requests(&mut self, host: usize) {
        let (now, limit, limited) = (self.now, self.limit, self.case.limited);
        let state = &mut self.hosts[host];
        let (ended, running) =
            std::mem::take(&mut state.running).into_iter().partition(|(at, _)| *at <= now);
        state.running = running;
        let ended: Vec<(Instant, PlacementChoice)> = ended;
        for (_, choice) in ended {
            let stated = limit.filter(|_| target_number(&choice.target) < limited);
            if stated.is_some() {
                state.told_at.entry(choice.target.clone()).or_insert(now);
            }
            state.balancer.record_limit(&choice.target, stated, now);
            let end = AttemptEnd::Answered { time: SERVICE_TIME };
            let running = self.running.entry(choice.target.clone()).or_default();
            let load = TargetLoad { running: *running, waiting: 0, slots: self.case.slots };
            *running -= 1;
            state.balancer.record_end(&choice, &"route".into(), end, Some(load), now);
        }
    }

    fn gossip(&mut self, sender: usize) {
        let reports = self.hosts[sender].balancer.limit_reports(self.now);
        let others: Vec<usize> = (0..self.hosts.len()).filter(|host| *host != sender).collect();
        let receivers: Vec<usize> =
            others.sample(&mut self.rng, HEARTBEAT_RECEIVERS).copied().collect();
        for receiver in receivers {
            if !self.rng.random_bool(DATAGRAM_LOSS) {
                self.hosts[receiver].balancer.merge_limit_reports(&reports, self.now);
            }
        }
    }

    /// Replaces a host by one that knows the fleet and the limits that a peer reports, as a host that joins does.
    fn restart_host(&mut self) {
        let (host, peer) = self.draw_pair();
        let reports = self.hosts[peer].balancer.limit_reports(self.now);
        self.hosts[host] = ModelHost::start(&self.case, host, self.now);
        self.hosts[host].balancer.merge_limit_reports(&reports, self.now);
    }

    fn draw_pair(&mut self) -> (usize, usize) {
        let host = self.rng.random_range(0..self.hosts.len());
        let peer = (host + 1 + self.rng.random_range(0..self.hosts.len() - 1)) % self.hosts.len();
        (host, peer)
    }
}

impl ModelHost {
    fn start(case: &LimitCase, host: usize, now: Instant) -> Self {
        let all: Vec<_> = (0..case.hosts).map(balancer_host).collect();
        let mut balancer = TargetBalancer::new(balancer_host(host), 1.0 / 3.0);
        for target in 0..case.targets {
            let (domain, region) = place(target);
            let mut entry = entry(&format!("t{target}"), &domain, &region);
            entry.slots = case.slots;
            balancer.upsert_target(entry, now);
        }
        balancer.set_hosts(all, now);
        Self { balancer, running: Vec::new(), told_at: IndexMap::new() }
    }
}

fn balancer_host(number: usize) -> BalancerHost {
    let (domain, region) = place(number);
    BalancerHost {
        host: format!("h{number}").into(),
        failure_domain: domain.into(),
        region: region.into(),
    }
}

fn place(number: usize) -> (String, String) {
    (format!("d{}", number % DOMAINS), format!("r{}", region(number)))
}

/// Number of the region that a host or a target is in.
fn region(number: usize) -> usize {
    number % DOMAINS / 2
}

fn target_number(target: &str) -> usize {
    target[1..].parse().unwrap_or(usize::MAX)
}

/// Share of requests by which two distributions over regions differ.
fn shifted_share(before: &[usize; REGIONS], after: &[usize; REGIONS]) -> f64 {
    let share = |counts: &[usize; REGIONS], region: usize| {
        counts[region] as f64 / counts.iter().sum::<usize>().max(1) as f64
    };
    (0..REGIONS).map(|region| (share(after, region) - share(before, region)).max(0.0)).sum()
}
