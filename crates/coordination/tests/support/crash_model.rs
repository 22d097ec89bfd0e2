//! A fleet that gets requests which crash targets: hosts count crashes with keepers, over a network that delays and loses.

use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::CrashChange;
use coordination::fleet::CrashLedger;
use coordination::fleet::CrashReport;
use coordination::fleet::CrashVerdict;
use coordination::fleet::RequestFingerprint;
use coordination::fleet::TrialGrant;
use coordination::fleet::select_crash_keepers;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const DATAGRAM_LOSS: f64 = 0.05;
/// Time of a datagram, and of a request on a target until it is answered or crashes it, in milliseconds.
const DATAGRAM_MS: (u64, u64) = (1, 45);
const RUN_MS: (u64, u64) = (60, 900);
const HEARTBEAT_MS: u64 = 500;
const HEARTBEAT_RECEIVERS: usize = 5;
const TARGETS: usize = 400;
/// The rule: crashes after which it binds, and the time until then.
const CRASHES_BEFORE_RULE: usize = 3;
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Size and load of the fleet.
#[derive(Clone, Copy)]
pub struct CrashCase {
    /// Number of hosts.
    pub hosts: usize,
    /// Requests that crash targets; each comes again at any host.
    pub crashing: u64,
    /// Mean time between two of the same.
    pub pause: Duration,
    /// Copies that come at the same moment.
    pub burst: usize,
    /// Time between two restarts of hosts, each of which loses what it knows; `None` for a run without.
    pub restart_pause: Option<Duration>,
    /// Time between two moments at which a tenth of the targets end for another reason; `None` for a run without.
    pub loss_pause: Option<Duration>,
}

/// Fleet in play.
pub struct CrashModel {
    case: CrashCase,
    rng: StdRng,
    start: Instant,
    now_ms: u64,
    names: Vec<Box<str>>,
    hosts: Vec<ModelHost>,
    events: BinaryHeap<std::cmp::Reverse<(u64, u64, usize)>>,
    pending: Vec<Option<Event>>,
    ended_at: Vec<u64>,
    arrivals: Vec<Vec<(u64, bool)>>,
    crashes: Vec<Vec<u64>>,
    /// Harmless requests that came, and those that were refused.
    pub others: (usize, usize),
}

struct ModelHost {
    ledger: CrashLedger,
    started_ms: u64,
}

enum Event {
    Request {
        fingerprint: u64,
        is_crashing: bool,
    },
    RunEnd {
        host: usize,
        started_ms: u64,
        fingerprint: u64,
        target: usize,
        sent_ms: u64,
        is_crashing: bool,
    },
    Reports {
        host: usize,
        reports: Vec<CrashReport>,
    },
    TrialAsk {
        host: usize,
        asker: usize,
        report: CrashReport,
        is_crashing: bool,
    },
    TrialAnswer {
        host: usize,
        fingerprint: u64,
        grant: TrialGrant,
        is_crashing: bool,
    },
    Heartbeats,
    Restart,
    Loss,
}

impl CrashModel {
    /// Creates a fleet in which all hosts know each other. Objects 0 to `crashing` crash targets, the ones after them do not.
    pub fn new(case: CrashCase, seed: u64) -> Self {
        let hosts =
            (0..case.hosts).map(|_| ModelHost { ledger: CrashLedger::default(), started_ms: 0 });
        let mut model = Self {
            case,
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now_ms: 0,
            names: (0..case.hosts).map(|host| format!("h{host}").into()).collect(),
            hosts: hosts.collect(),
            events: BinaryHeap::new(),
            pending: Vec::new(),
            ended_at: vec![0; TARGETS],
            arrivals: vec![Vec::new(); case.crashing as usize],
            crashes: vec![Vec::new(); case.crashing as usize],
            others: (0, 0),
        };
        for fingerprint in 0..case.crashing {
            model.push(1_000, Event::Request { fingerprint, is_crashing: true });
        }
        // A few requests that many callers send make up most of the load.
        for fingerprint in 0..20 {
            model.push(50, Event::Request { fingerprint: 1_000 + fingerprint, is_crashing: false });
        }
        model.push(HEARTBEAT_MS, Event::Heartbeats);
        if let Some(pause) = case.restart_pause {
            model.push(pause.as_millis() as u64, Event::Restart);
        }
        if let Some(pause) = case.loss_pause {
            model.push(pause.as_millis() as u64, Event::Loss);
        }
        model
    }

    /// Plays until a time after the start.
    pub fn play(&mut self, until: Duration) {
        while let Some(std::cmp::Reverse((at, _, index))) = self.events.pop() {
            self.now_ms = at;
            if at > until.as_millis() as u64 {
                break;
            }
            if let Some(event) = self.pending[index].take() {
                self.handle(event);
            }
        }
    }

    /// For each request that crashes targets: arrivals at targets that the rule counts, of hosts that ran for `SETTLE_TIME`,
    /// and all crashes.
    pub fn late_arrivals(&self) -> Vec<(usize, usize)> {
        let counts = self.arrivals.iter().zip(&self.crashes).map(|(arrivals, crashes)| {
            let third = crashes.get(CRASHES_BEFORE_RULE - 1);
            let from = third.map_or(u64::MAX, |at| at + SETTLE_TIME.as_millis() as u64);
            (arrivals.iter().filter(|(at, counts)| *counts && *at >= from).count(), crashes.len())
        });
        counts.collect()
    }

    fn push(&mut self, after_ms: u64, event: Event) {
        let index = self.pending.len();
        self.pending.push(Some(event));
        let order = self.rng.random();
        self.events.push(std::cmp::Reverse((self.now_ms + after_ms, order, index)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { fingerprint, is_crashing } => self.receive(fingerprint, is_crashing),
            Event::RunEnd { host, started_ms, fingerprint, target, sent_ms, is_crashing } => {
                self.end_run(fingerprint, target, sent_ms, is_crashing, (host, started_ms));
            }
            Event::Reports { host, reports } => {
                for report in reports {
                    self.merge(host, &report);
                }
            }
            Event::TrialAsk { host, asker, report, is_crashing } => {
                self.merge(host, &report);
                let now = self.now();
                let grant = self.hosts[host].ledger.grant_trial(report.fingerprint, now);
                let fingerprint = report.fingerprint.head;
                self.broadcast(host, report.fingerprint);
                self.send(|| Event::TrialAnswer { host: asker, fingerprint, grant, is_crashing });
            }
            Event::TrialAnswer { host, fingerprint, grant, is_crashing } => match grant {
                TrialGrant::Granted => self.dispatch(host, fingerprint, is_crashing),
                TrialGrant::Refused { .. } => self.count_refusal(is_crashing),
            },
            Event::Heartbeats => self.send_heartbeats(),
            Event::Restart => {
                let host = self.rng.random_range(0..self.case.hosts);
                self.hosts[host] =
                    ModelHost { ledger: CrashLedger::default(), started_ms: self.now_ms };
                // A host that starts asks others for a heartbeat.
                let peer = self.rng.random_range(0..self.case.hosts);
                let reports = self.hosts[peer].ledger.reports(self.now());
                self.push(100, Event::Reports { host, reports });
                let pause = self.case.restart_pause.unwrap_or_default();
                self.push(pause.as_millis() as u64, Event::Restart);
            }
            Event::Loss => {
                for target in 0..TARGETS {
                    if self.rng.random_bool(0.1) {
                        self.ended_at[target] = self.now_ms;
                    }
                }
                let pause = self.case.loss_pause.unwrap_or_default();
                self.push(pause.as_millis() as u64, Event::Loss);
            }
        }
    }

    fn receive(&mut self, fingerprint: u64, is_crashing: bool) {
        let copies = if is_crashing { self.case.burst } else { 1 };
        for _ in 0..copies {
            let host = self.rng.random_range(0..self.case.hosts);
            let (now, identity) = (self.now(), identity(fingerprint));
            self.others.0 += usize::from(!is_crashing);
            match self.hosts[host].ledger.verdict(identity, now) {
                CrashVerdict::Trusted | CrashVerdict::Suspected => {
                    self.dispatch(host, fingerprint, is_crashing);
                }
                CrashVerdict::Refused { .. } => self.count_refusal(is_crashing),
                CrashVerdict::NeedsTrial => {
                    let keeper = self.keepers(identity)[0];
                    let report = self.hosts[host].ledger.report(identity, now);
                    self.send(|| Event::TrialAsk {
                        host: keeper,
                        asker: host,
                        report,
                        is_crashing,
                    });
                }
            }
        }
        let pause = if is_crashing { self.case.pause.as_millis() as u64 } else { 25 };
        let after = self.rng.random_range(pause / 2..=pause * 3 / 2);
        self.push(after, Event::Request { fingerprint, is_crashing });
    }

    fn dispatch(&mut self, host: usize, fingerprint: u64, is_crashing: bool) {
        let target = self.rng.random_range(0..TARGETS);
        if is_crashing {
            let counts =
                self.now_ms >= self.hosts[host].started_ms + SETTLE_TIME.as_millis() as u64;
            self.arrivals[fingerprint as usize].push((self.now_ms, counts));
        }
        let run_ms = self.rng.random_range(RUN_MS.0..RUN_MS.1);
        let (sent_ms, started_ms) = (self.now_ms, self.hosts[host].started_ms);
        self.push(
            run_ms,
            Event::RunEnd { host, started_ms, fingerprint, target, sent_ms, is_crashing },
        );
    }

    fn end_run(
        &mut self,
        fingerprint: u64,
        target: usize,
        sent_ms: u64,
        is_crashing: bool,
        (host, started_ms): (usize, u64),
    ) {
        let has_ended = self.ended_at[target] >= sent_ms;
        if is_crashing && !has_ended {
            self.ended_at[target] = self.now_ms;
            self.crashes[fingerprint as usize].push(self.now_ms);
        }
        if self.hosts[host].started_ms != started_ms {
            return;
        }
        let (now, identity) = (self.now(), identity(fingerprint));
        let name = format!("t{target}");
        let ledger = &mut self.hosts[host].ledger;
        let before = ledger.verdict(identity, now);
        let report = match has_ended || is_crashing {
            true => ledger.record_crash(identity, &name, now),
            false => ledger.record_answer(identity, now),
        };
        let is_news = ledger.verdict(identity, now) != before;
        if let Some(report) = report {
            for keeper in self.keepers(identity) {
                match keeper == host {
                    true if is_news => self.broadcast(host, identity),
                    true => {}
                    false => {
                        self.send(|| Event::Reports { host: keeper, reports: vec![report.clone()] })
                    }
                }
            }
        }
    }

    fn merge(&mut self, host: usize, report: &CrashReport) {
        let now = self.now();
        let change = self.hosts[host].ledger.merge_report(report, now);
        if change != CrashChange::None && self.keepers(report.fingerprint).contains(&host) {
            self.broadcast(host, report.fingerprint);
        }
    }

    fn broadcast(&mut self, host: usize, identity: RequestFingerprint) {
        let report = self.hosts[host].ledger.report(identity, self.now());
        for receiver in (0..self.case.hosts).filter(|receiver| *receiver != host) {
            self.send(|| Event::Reports { host: receiver, reports: vec![report.clone()] });
        }
    }

    fn send_heartbeats(&mut self) {
        for host in 0..self.case.hosts {
            let reports = self.hosts[host].ledger.reports(self.now());
            for _ in 0..HEARTBEAT_RECEIVERS {
                let receiver = self.rng.random_range(0..self.case.hosts);
                if receiver != host && !reports.is_empty() {
                    self.send(|| Event::Reports { host: receiver, reports: reports.clone() });
                }
            }
        }
        self.push(HEARTBEAT_MS, Event::Heartbeats);
    }

    fn send(&mut self, event: impl FnOnce() -> Event) {
        if !self.rng.random_bool(DATAGRAM_LOSS) {
            let after = self.rng.random_range(DATAGRAM_MS.0..DATAGRAM_MS.1);
            self.push(after, event());
        }
    }

    fn keepers(&self, identity: RequestFingerprint) -> Vec<usize> {
        let names = self.names.iter().map(|name| &**name);
        let keepers = select_crash_keepers(identity, names);
        keepers.iter().filter_map(|name| name[1..].parse().ok()).collect()
    }

    fn count_refusal(&mut self, is_crashing: bool) {
        self.others.1 += usize::from(!is_crashing);
    }
}

fn identity(fingerprint: u64) -> RequestFingerprint {
    RequestFingerprint { head: fingerprint, body: fingerprint.wrapping_mul(0x9e37_79b9_7f4a_7c15) }
}
