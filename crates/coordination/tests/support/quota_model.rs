//! A fleet under a customer's limit: hosts gossip, ask keepers for tokens in datagrams that are late or lost, restart and
//! are cut off. Counts the requests that all hosts admit in each window of the rule.

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::INTRODUCED_HOSTS;
use coordination::fleet::QuotaDecision;
use coordination::fleet::TokenGrant;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::support::quota_case::QuotaCase;
use crate::support::quota_case::QuotaOutcome;
use crate::support::quota_case::QuotaTrouble;
use crate::support::quota_case::TokenSource;
use crate::support::quota_datagram::Datagram;
use crate::support::quota_datagram::Envelope;
use crate::support::quota_datagram::PendingAsk;
use crate::support::quota_host::CUSTOMER;
use crate::support::quota_host::QuotaHost;
use crate::support::quota_host::REGIONS;
use crate::support::quota_host::region_of;

const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_SECOND: usize = 100;
const TICK_STEPS: usize = 25;
const FORWARDED_HEARTBEATS: usize = 3;
/// Hosts at which those that start ask for others.
const SEEDS: usize = 6;
/// Steps until a token request is sent again, and until it counts as unanswered.
const RESEND_STEPS: usize = 10;
const TIMEOUT_STEPS: usize = 30;
/// Time from the end of a process to the start of the next one of the host.
const RESTART_STEPS: usize = 30;
const WINDOW_STEPS: usize = 5 * STEPS_PER_SECOND;
/// Steps from which the customer sends a part of its rate, from which it sends the full load, and between which the
/// trouble lasts.
const LIGHT_LOAD_START: usize = 2 * STEPS_PER_SECOND;
const FULL_LOAD_START: usize = 4 * STEPS_PER_SECOND;
const TROUBLE_START: usize = 5 * STEPS_PER_SECOND;
const TROUBLE_END: usize = 11 * STEPS_PER_SECOND;
const ADMISSION_END: usize = 13 * STEPS_PER_SECOND;
const END: usize = 16 * STEPS_PER_SECOND;
/// Time for which the store is away after a restart of all hosts.
const STORE_AWAY: Duration = Duration::from_secs(5);
/// Requests before the full load as a multiple of the rate, so that the buckets are full when it comes.
const LIGHT_LOAD: f64 = 0.3;
/// Share of the datagrams that are lost.
const DATAGRAM_LOSS: f64 = 0.01;

/// Fleet in play.
pub struct QuotaModel {
    case: QuotaCase,
    rng: StdRng,
    start: Instant,
    step: usize,
    hosts: Vec<Option<QuotaHost>>,
    restarts: IndexMap<usize, Vec<usize>>,
    arriving: IndexMap<usize, Vec<Envelope>>,
    pending: IndexMap<u64, PendingAsk>,
    next_number: u64,
    admitted: Vec<[usize; 3]>,
    keeper_changes: Vec<usize>,
}

impl QuotaModel {
    /// Plays a case.
    pub fn play(case: QuotaCase, seed: u64) -> QuotaOutcome {
        let start = Instant::now();
        let hosts =
            (0..case.hosts).map(|number| Some(QuotaHost::start(number, 1, case.limit, start)));
        let mut model = Self {
            case,
            rng: StdRng::seed_from_u64(seed),
            start,
            step: 0,
            hosts: hosts.collect(),
            restarts: IndexMap::new(),
            arriving: IndexMap::new(),
            pending: IndexMap::new(),
            next_number: 0,
            admitted: vec![[0; 3]; END],
            keeper_changes: Vec::new(),
        };
        for step in 0..END {
            model.step = step;
            model.play_step();
        }
        model.outcome()
    }

    fn play_step(&mut self) {
        self.play_trouble();
        for envelope in self.arriving.swap_remove(&self.step).unwrap_or_default() {
            self.deliver(envelope);
        }
        self.end_pending();
        for number in 0..self.hosts.len() {
            if (self.step + number * 7).is_multiple_of(TICK_STEPS) {
                self.tick(number);
            }
        }
        if self.step >= LIGHT_LOAD_START {
            self.send_requests();
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    fn is_in_trouble(&self) -> bool {
        (TROUBLE_START..TROUBLE_END).contains(&self.step)
    }

    fn play_trouble(&mut self) {
        for number in self.restarts.swap_remove(&self.step).unwrap_or_default() {
            let incarnation = self.step as u64;
            let mut host = QuotaHost::start(number, incarnation, self.case.limit, self.now());
            if self.case.trouble == QuotaTrouble::RestartOfAllWithoutStore {
                host.reads_state_at += STORE_AWAY;
            }
            self.hosts[number] = Some(host);
        }
        let since = self.step.checked_sub(TROUBLE_START);
        match (self.case.trouble, since) {
            (
                QuotaTrouble::RestartOfAll
                | QuotaTrouble::RestartOfAllWithoutStore
                | QuotaTrouble::SlowRestartOfAll
                | QuotaTrouble::RestartOfAllDuringCut,
                Some(0),
            ) => (0..self.hosts.len()).for_each(|number| self.restart(number)),
            (QuotaTrouble::RestartsInSeries(pause), Some(since))
                if since.is_multiple_of(pause) && since / pause < self.hosts.len() =>
            {
                self.restart(since / pause);
            }
            (QuotaTrouble::LossOfKeepers, Some(0 | 300)) => {
                let keepers = self.hosts.iter().flatten().filter(|host| host.is_keeper);
                for number in keepers.map(|host| host.number).collect::<Vec<_>>() {
                    self.hosts[number] = None;
                }
            }
            _ => {}
        }
    }

    fn restart(&mut self, number: usize) {
        self.hosts[number] = None;
        let spread = self.rng.random_range(0..RESTART_STEPS);
        self.restarts.entry(self.step + RESTART_STEPS + spread).or_default().push(number);
    }

    fn tick(&mut self, number: usize) {
        let now = self.now();
        let Some(host) = &mut self.hosts[number] else { return };
        if host.tick(now) {
            self.keeper_changes.push(self.step);
        }
        let is_beat = ((self.step + number * 7) / TICK_STEPS).is_multiple_of(2);
        if is_beat || !host.has_joined {
            self.send_heartbeats(number);
        }
    }

    fn send_heartbeats(&mut self, number: usize) {
        let now = self.now();
        let Some(host) = &mut self.hosts[number] else { return };
        let own = host.next_heartbeat(now);
        let receivers = host.roster.draw_receivers(&own.failure_domain, &own.region, &mut self.rng);
        let mut receivers: IndexSet<usize> =
            receivers.iter().map(|address| usize::from(address.port())).collect();
        match host.has_joined {
            true if self.rng.random_ratio(1, 8) => {
                receivers.insert(self.rng.random_range(0..SEEDS));
            }
            true => {}
            false => receivers.extend(0..SEEDS),
        }
        receivers.swap_remove(&number);
        let keepers = match host.keepers.is_keeper(&own.host) {
            true => {
                host.keepers.remote_addresses().iter().map(|at| usize::from(at.port())).collect()
            }
            false => Vec::new(),
        };
        let asks = !host.has_joined;
        for to in &receivers {
            self.send_heartbeat(number, *to, FORWARDED_HEARTBEATS, asks);
        }
        for to in keepers.into_iter().filter(|keeper| !receivers.contains(keeper)) {
            let datagram = Datagram::Heartbeat {
                own: Box::new(own.clone()),
                others: Vec::new(),
                seen: Vec::new(),
                asks: false,
            };
            self.send(number, to, datagram);
        }
    }

    fn send_heartbeat(&mut self, number: usize, to: usize, forwarded: usize, asks: bool) {
        let now = self.now();
        let Some(host) = &self.hosts[number] else { return };
        let own = host.own_heartbeat();
        let others = host.roster.sample_heartbeats(forwarded, now, &mut self.rng);
        let seen = host.roster.sample_liveness(&own.region, now, &mut self.rng);
        self.send(number, to, Datagram::Heartbeat { own: Box::new(own), others, seen, asks });
    }

    fn send(&mut self, from: usize, to: usize, datagram: Datagram) {
        let is_far = region_of(from) != region_of(to);
        let is_token = !matches!(datagram, Datagram::Heartbeat { .. });
        let is_cut = is_far
            && self.is_in_trouble()
            && matches!(
                self.case.trouble,
                QuotaTrouble::CutBetweenRegions | QuotaTrouble::RestartOfAllDuringCut
            );
        let is_cut =
            is_cut || is_token && (self.is_cut_from_keeper(from) || self.is_cut_from_keeper(to));
        if is_cut || self.rng.random_bool(DATAGRAM_LOSS) {
            return;
        }
        let usual = if is_far { self.rng.random_range(2..5) } else { 1 };
        let late = match datagram {
            Datagram::TokenGrant { .. } if self.rng.random::<f64>() < self.late_share() => {
                self.rng.random_range(TIMEOUT_STEPS..2 * TIMEOUT_STEPS)
            }
            _ => 0,
        };
        let envelope = Envelope { from, to, datagram };
        self.arriving.entry(self.step + usual + late).or_default().push(envelope);
    }

    fn is_cut_from_keeper(&self, number: usize) -> bool {
        match self.case.trouble {
            QuotaTrouble::CutFromKeepers(share) if self.is_in_trouble() => {
                let is_keeper = self.hosts[number].as_ref().is_some_and(|host| host.is_keeper);
                !is_keeper && (number / REGIONS.len()) as f64 * 0.618 % 1.0 < share
            }
            _ => false,
        }
    }

    fn late_share(&self) -> f64 {
        match self.case.trouble {
            QuotaTrouble::SlowKeepers(share) if self.is_in_trouble() => share,
            QuotaTrouble::SlowRestartOfAll if self.is_in_trouble() => 0.5,
            _ => 0.0,
        }
    }

    fn deliver(&mut self, Envelope { from, to, datagram }: Envelope) {
        let now = self.now();
        let Some(host) = &mut self.hosts[to] else { return };
        match datagram {
            Datagram::Heartbeat { own, others, seen, asks } => {
                if host.record(*own, others, &seen, now) || asks {
                    let forwarded = if asks { INTRODUCED_HOSTS } else { FORWARDED_HEARTBEATS };
                    self.send_heartbeat(to, from, forwarded, false);
                }
            }
            Datagram::TokenAsk { number, tokens } => {
                let grant = host.ledger.grant_tokens(CUSTOMER, tokens, now);
                self.send(to, from, Datagram::TokenGrant { number, grant });
            }
            Datagram::TokenGrant { number, grant } => {
                if let Some(ask) = self.pending.swap_remove(&number) {
                    self.apply_grant(&ask, Some(grant));
                }
            }
        }
    }

    fn end_pending(&mut self) {
        let (mut repeated, mut ended) = (Vec::new(), Vec::new());
        for (number, ask) in &self.pending {
            match self.step - ask.asked_at {
                RESEND_STEPS => repeated.push((*number, ask.host, ask.keeper, ask.tokens)),
                elapsed if elapsed >= TIMEOUT_STEPS => ended.push(*number),
                _ => {}
            }
        }
        for (number, host, keeper, tokens) in repeated {
            self.send(host, keeper, Datagram::TokenAsk { number, tokens });
        }
        for number in ended {
            if let Some(ask) = self.pending.swap_remove(&number) {
                self.apply_grant(&ask, None);
            }
        }
    }

    fn apply_grant(&mut self, ask: &PendingAsk, grant: Option<TokenGrant>) {
        let now = self.now();
        let Some(host) = &mut self.hosts[ask.host] else { return };
        if host.incarnation != ask.incarnation {
            return;
        }
        let source = match grant {
            Some(TokenGrant::Tokens(_)) => TokenSource::Granted,
            _ => TokenSource::Reserve,
        };
        if host.ledger.apply_grant(CUSTOMER, grant, now).is_ok() {
            self.admitted[self.step][source as usize] += 1;
        }
    }

    fn send_requests(&mut self) {
        let serving: Vec<usize> = self
            .hosts
            .iter()
            .flatten()
            .filter(|host| host.has_joined)
            .map(|host| host.number)
            .collect();
        for (region, weight) in self.region_weights().into_iter().enumerate() {
            let near: Vec<usize> =
                serving.iter().copied().filter(|number| region_of(*number) == region).collect();
            let load = if self.step < FULL_LOAD_START { LIGHT_LOAD } else { self.case.load };
            let expected = self.case.limit.rate * load * weight / STEPS_PER_SECOND as f64;
            let count =
                expected as usize + usize::from(self.rng.random::<f64>() < expected.fract());
            for _ in 0..count {
                if let Some(number) = near.choose(&mut self.rng) {
                    self.request(*number);
                }
            }
        }
    }

    fn region_weights(&self) -> [f64; 3] {
        match self.case.trouble {
            QuotaTrouble::ShiftingDemand => {
                let mut weights = [0.02; 3];
                weights[self.step / (2 * STEPS_PER_SECOND) % 3] = 0.96;
                weights
            }
            _ => [0.5, 0.3, 0.2],
        }
    }

    fn request(&mut self, number: usize) {
        let now = self.now();
        let Some(host) = &mut self.hosts[number] else { return };
        match host.ledger.admit_request(CUSTOMER, now) {
            QuotaDecision::Admitted => self.admitted[self.step][TokenSource::Held as usize] += 1,
            QuotaDecision::Refused { .. } => {}
            QuotaDecision::AskKeeper { tokens } => {
                let keeper = host.keeper();
                let ask = PendingAsk {
                    host: number,
                    incarnation: host.incarnation,
                    keeper: keeper.unwrap_or(number),
                    tokens,
                    asked_at: self.step,
                };
                match keeper {
                    None => self.apply_grant(&ask, None),
                    Some(keeper) => {
                        self.next_number += 1;
                        self.pending.insert(self.next_number, ask);
                        let number_of_ask = self.next_number;
                        self.send(
                            number,
                            keeper,
                            Datagram::TokenAsk { number: number_of_ask, tokens },
                        );
                    }
                }
            }
        }
    }

    fn outcome(&self) -> QuotaOutcome {
        let total =
            |from: usize, to: usize| self.admitted[from..to].iter().flatten().sum::<usize>();
        let windows = LIGHT_LOAD_START..=END - WINDOW_STEPS;
        let worst = windows.map(|from| (total(from, from + WINDOW_STEPS), from)).max();
        let (worst, worst_from) = worst.unwrap_or_default();
        let steps = worst_from..worst_from + WINDOW_STEPS;
        let of = |source: usize| self.admitted[steps.clone()].iter().map(|step| step[source]).sum();
        let near = worst_from.saturating_sub(STEPS_PER_SECOND)..steps.end;
        QuotaOutcome {
            worst,
            worst_from,
            by_source: [of(0), of(1), of(2)],
            new_keepers: self.keeper_changes.iter().filter(|at| near.contains(at)).count(),
            admitted: total(TROUBLE_START, ADMISSION_END),
        }
    }
}
