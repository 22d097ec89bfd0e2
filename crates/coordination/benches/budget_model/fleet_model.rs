//! Simulation of one policy under one fault.

use std::time::Duration;

use coordination::token_bucket::MICRO_TOKENS;
use coordination::token_bucket::TokenBucket;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::budget_model::FaultCase;
use crate::budget_model::PolicyKind;
use crate::budget_model::message_bus::CUSTOMERS;
use crate::budget_model::message_bus::HOSTS;
use crate::budget_model::message_bus::LIMIT;
use crate::budget_model::message_bus::MessageBus;
use crate::budget_model::policy_kind::ModelRequest;

const RUN: Duration = Duration::from_secs(60);
const WARM_UP: Duration = Duration::from_secs(2);
const HEAVY_CUSTOMER: usize = 0;
const HEAVY_FACTOR: f64 = 5.0;
const LOAD_FACTOR: f64 = 0.6;
const SEED: u64 = 20_261_203;

/// Results of one simulation run, without its warm-up.
#[derive(Debug, Default)]
pub struct ModelReport {
    /// Share of requests of customers within their rate that were refused although a fleet-wide bucket admits them.
    pub wrongful_percent: f64,
    /// The same share for the customer for which it is largest.
    pub worst_customer_percent: f64,
    /// Share by which the customer at five times its rate got less than a fleet-wide bucket admits.
    pub heavy_short_percent: f64,
    /// Largest number of tokens that any customer spent beyond its rate and burst.
    pub overshoot_tokens: f64,
    /// Messages for each host and second.
    pub messages_per_second: f64,
}

/// Simulation of one policy under one fault.
pub struct FleetModel {
    case: FaultCase,
    policy: PolicyKind,
}

struct ModelArrival {
    at: Duration,
    request: ModelRequest,
}

impl FleetModel {
    pub fn new(case: FaultCase, policy: PolicyKind) -> Self {
        Self { case, policy }
    }

    pub fn run(&self) -> ModelReport {
        let arrivals = self.arrivals();
        let mut bus = MessageBus::new(self.case);
        bus.decisions = vec![None; arrivals.len()];
        let mut policy = self.policy.build(&mut bus);
        for arrival in &arrivals {
            while let Some(event) = bus.next_event(arrival.at) {
                policy.handle_event(event, &mut bus);
            }
            bus.at = arrival.at;
            policy.admit_request(arrival.request, &mut bus);
        }
        while let Some(event) = bus.next_event(RUN + WARM_UP) {
            policy.handle_event(event, &mut bus);
        }
        report(&arrivals, &bus)
    }

    /// Poisson arrivals of all customers in order of time; each request goes to a random host that is running.
    fn arrivals(&self) -> Vec<ModelArrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let mut arrivals = Vec::new();
        for customer in 0..CUSTOMERS {
            let factor = if customer == HEAVY_CUSTOMER { HEAVY_FACTOR } else { LOAD_FACTOR };
            let rate = factor * LIMIT.rate as f64 / MICRO_TOKENS as f64;
            let mut at = Duration::ZERO;
            loop {
                let gap: f64 = rng.random_range(f64::EPSILON..1.0);
                at += Duration::from_secs_f64(-gap.ln() / rate);
                if at >= RUN {
                    break;
                }
                let up: Vec<_> = (0..HOSTS).filter(|host| self.case.is_up(*host, at)).collect();
                let host = up[rng.random_range(0..up.len())];
                arrivals.push(ModelArrival { at, request: ModelRequest { id: 0, customer, host } });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        for (id, arrival) in arrivals.iter_mut().enumerate() {
            arrival.request.id = id;
        }
        arrivals
    }
}

fn report(arrivals: &[ModelArrival], bus: &MessageBus) -> ModelReport {
    let shares: Vec<_> = (0..CUSTOMERS).map(|customer| compare(arrivals, bus, customer)).collect();
    let light = shares.iter().skip(1);
    let (missed, due) =
        light.clone().fold((0, 0), |sum, share| (sum.0 + share.wrongful, sum.1 + share.ideal));
    let percent = |part: usize, whole: usize| 100.0 * part as f64 / whole.max(1) as f64;
    let heavy = &shares[HEAVY_CUSTOMER];
    ModelReport {
        wrongful_percent: percent(missed, due),
        worst_customer_percent: light
            .map(|share| percent(share.wrongful, share.ideal))
            .fold(0.0, f64::max),
        heavy_short_percent: percent(heavy.ideal.saturating_sub(heavy.admitted), heavy.ideal),
        overshoot_tokens: (0..CUSTOMERS)
            .map(|customer| overshoot(arrivals, bus, customer))
            .fold(0.0, f64::max),
        messages_per_second: bus.messages as f64 / RUN.as_secs_f64() / HOSTS as f64,
    }
}

struct CustomerShare {
    ideal: usize,
    admitted: usize,
    wrongful: usize,
}

fn ideal_bucket(bus: &MessageBus) -> TokenBucket {
    let mut bucket = TokenBucket::new(bus.start);
    bucket.set_limits(LIMIT.rate, LIMIT.burst);
    bucket
}

fn compare(arrivals: &[ModelArrival], bus: &MessageBus, customer: usize) -> CustomerShare {
    let mut bucket = ideal_bucket(bus);
    let mut share = CustomerShare { ideal: 0, admitted: 0, wrongful: 0 };
    for arrival in arrivals.iter().filter(|arrival| arrival.request.customer == customer) {
        bucket.fill(bus.start + arrival.at);
        let is_ideal = bucket.take_tokens(MICRO_TOKENS);
        if arrival.at < WARM_UP {
            continue;
        }
        let is_admitted = bus.decisions[arrival.request.id].is_some_and(|(admitted, _)| admitted);
        share.ideal += usize::from(is_ideal);
        share.admitted += usize::from(is_admitted);
        share.wrongful += usize::from(is_ideal && !is_admitted);
    }
    share
}

/// Largest number of tokens by which a customer's admitted requests exceed its rate and burst.
fn overshoot(arrivals: &[ModelArrival], bus: &MessageBus, customer: usize) -> f64 {
    let mut spent: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.request.customer == customer)
        .filter_map(|arrival| bus.decisions[arrival.request.id])
        .filter_map(|(is_admitted, at)| is_admitted.then_some(at))
        .collect();
    spent.sort();
    let (rate, burst) =
        (LIMIT.rate as f64 / MICRO_TOKENS as f64, LIMIT.burst as f64 / MICRO_TOKENS as f64);
    let (mut level, mut last, mut most) = (burst, Duration::ZERO, 0.0_f64);
    for at in spent {
        level = (level + (at - last).as_secs_f64() * rate).min(burst) - 1.0;
        last = at;
        most = most.max(-level);
    }
    if most < 1e-6 { 0.0 } else { most }
}
