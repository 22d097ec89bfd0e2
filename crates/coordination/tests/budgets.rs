//! Customer budgets under lost, duplicated and late messages, paused hosts and slow clocks.

use std::time::Duration;
use std::time::Instant;

use coordination::customer_budget::CustomerBudget;
use coordination::customer_budget::RateLimit;
use coordination::customer_budget::TokenLoan;
use coordination::lease_term::LEASE_TERM;
use coordination::lease_term::REGIONAL_TOKEN_TERM;
use coordination::lease_term::TOKEN_TERM;
use coordination::token_bucket::MICRO_TOKENS;
use coordination::token_bucket::TokenBucket;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

const HOSTS: usize = 5;
const TERMS: [Duration; 2] = [REGIONAL_TOKEN_TERM, TOKEN_TERM];

#[derive(Clone, Debug)]
enum Step {
    Wait { micros: u64 },
    Spend { host: usize, tenths: u64 },
    Ask { host: usize, lender: usize, tenths: u64, rate_ppm: u32, copies: usize },
    Deliver { message: usize },
    Lose { message: usize },
    MoveFloors { weights: [u64; HOSTS] },
}

#[derive(Clone, Debug)]
enum Message {
    Request { from: usize, to: usize, asked: TokenLoan, sent_at: Instant },
    Reply { to: usize, loan: TokenLoan, sent_at: Instant },
}

/// Hosts with clocks that run up to 4 in 1000 slow, and the fleet-wide bucket that they must not exceed together.
struct Fleet {
    start: Instant,
    elapsed: Duration,
    limit: RateLimit,
    budgets: Vec<CustomerBudget>,
    ideal: TokenBucket,
    messages: Vec<Message>,
}

impl Fleet {
    fn new(rate: u64, burst: u64) -> Self {
        let start = Instant::now();
        let limit = RateLimit { rate: rate * MICRO_TOKENS, burst: burst * MICRO_TOKENS };
        let mut ideal = TokenBucket::new(start);
        ideal.set_limits(limit.rate, limit.burst);
        let mut budgets = vec![CustomerBudget::new(start); HOSTS];
        for budget in &mut budgets {
            budget.set_floor(limit, limit.fraction(1, HOSTS as u64), start);
        }
        Self { start, elapsed: Duration::ZERO, limit, budgets, ideal, messages: Vec::new() }
    }

    fn clock(&self, host: usize) -> Instant {
        self.start + self.elapsed - self.elapsed * (host as u32) / 1_000
    }

    /// Checks that the tokens of all hosts together are within the fleet-wide bucket.
    fn check(&mut self) -> Result<(), TestCaseError> {
        let mut sum = 0;
        for host in 0..HOSTS {
            let now = self.clock(host);
            sum += self.budgets[host].level(now);
        }
        self.ideal.fill(self.start + self.elapsed);
        prop_assert!(sum <= self.ideal.level(), "{sum} held of {}", self.ideal.level());
        Ok(())
    }

    fn run(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Wait { micros } => self.elapsed += Duration::from_micros(micros),
            Step::Spend { host, tenths } => {
                let amount = tenths * MICRO_TOKENS / 10;
                let now = self.clock(host);
                if self.budgets[host].spend(amount, now) {
                    self.ideal.fill(self.start + self.elapsed);
                    prop_assert!(self.ideal.take_tokens(amount), "spent more than rate and burst");
                }
            }
            Step::Ask { host, lender, tenths, rate_ppm, copies } if host != lender => {
                let term = TERMS[host.abs_diff(lender) % 2];
                let asked = TokenLoan { micro_tokens: tenths * MICRO_TOKENS / 10, rate_ppm, term };
                let sent_at = self.clock(host);
                let request = Message::Request { from: host, to: lender, asked, sent_at };
                self.messages.extend(vec![request; copies]);
            }
            Step::Deliver { message } if !self.messages.is_empty() => {
                let index = message % self.messages.len();
                let message = self.messages.swap_remove(index);
                self.deliver(message);
            }
            Step::Lose { message } if !self.messages.is_empty() => {
                let index = message % self.messages.len();
                self.messages.swap_remove(index);
            }
            Step::MoveFloors { weights } => self.move_floors(weights),
            _ => {}
        }
        Ok(())
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request { from, to, asked, sent_at } => {
                let now = self.clock(to);
                let loan = self.budgets[to].lend(asked, 0, 0, now);
                self.messages.push(Message::Reply { to: from, loan, sent_at });
            }
            Message::Reply { to, loan, sent_at } => {
                let now = self.clock(to);
                self.budgets[to].receive_loan(loan, sent_at, now);
            }
        }
    }

    /// Changes the floors as a plan change does: decreases apply at once, increases only when no loan is out.
    fn move_floors(&mut self, weights: [u64; HOSTS]) {
        let sum = weights.iter().sum::<u64>().max(1);
        let limit = self.limit;
        let floor = |host: usize| limit.fraction(weights[host], sum);
        for host in 0..HOSTS {
            let now = self.clock(host);
            let (held, next) = (self.budgets[host].floor(), floor(host));
            let kept =
                RateLimit { rate: held.rate.min(next.rate), burst: held.burst.min(next.burst) };
            self.budgets[host].set_floor(limit, kept, now);
        }
        let lent = (0..HOSTS).any(|host| {
            let now = self.clock(host);
            self.budgets[host].has_lent(now)
        });
        if !lent {
            for host in 0..HOSTS {
                let now = self.clock(host);
                self.budgets[host].set_floor(limit, floor(host), now);
            }
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..60_000u64).prop_map(|micros| Step::Wait { micros }),
        1 => (0..3_000_000u64).prop_map(|micros| Step::Wait { micros }),
        6 => (0..HOSTS, 1..30u64).prop_map(|(host, tenths)| Step::Spend { host, tenths }),
        4 => (0..HOSTS, 0..HOSTS, 0..60u64, 0..400_000u32, 1..3usize).prop_map(
            |(host, lender, tenths, rate_ppm, copies)| Step::Ask {
                host, lender, tenths, rate_ppm, copies
            }
        ),
        8 => any::<usize>().prop_map(|message| Step::Deliver { message }),
        1 => any::<usize>().prop_map(|message| Step::Lose { message }),
        1 => any::<[u8; HOSTS]>().prop_map(|bytes| Step::MoveFloors { weights: bytes.map(u64::from) }),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 512, rng_seed: RngSeed::Fixed(4), failure_persistence: None, ..Config::default()
    })]

    #[test]
    fn hosts_together_never_exceed_rate_and_burst(
        rate in 1..200u64,
        burst in 1..20u64,
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let mut fleet = Fleet::new(rate, burst);
        for step in steps {
            fleet.run(step)?;
            fleet.check()?;
        }
    }
}

fn loan(tokens: u64, rate_ppm: u32, term: Duration) -> TokenLoan {
    TokenLoan { micro_tokens: tokens * MICRO_TOKENS, rate_ppm, term }
}

fn full_budget(rate: u64, burst: u64, ppm: u32, start: Instant) -> CustomerBudget {
    let limit = RateLimit { rate: rate * MICRO_TOKENS, burst: burst * MICRO_TOKENS };
    let mut budget = CustomerBudget::new(start);
    budget.set_floor(limit, limit.part(ppm), start);
    budget
}

macro_rules! late_loan {
    ($($name:ident: $after:expr => $usable:expr,)*) => {$(
        #[test]
        fn $name() {
            let start = Instant::now();
            let mut budget = full_budget(10, 10, 0, start);
            budget.receive_loan(loan(1, 0, TOKEN_TERM), start, start);
            assert_eq!(budget.spend(MICRO_TOKENS, start + $after), $usable);
        }
    )*};
}

late_loan! {
    tokens_are_spent_within_their_term: TOKEN_TERM - Duration::from_nanos(1) => true,
    a_holder_paused_past_the_term_spends_nothing: TOKEN_TERM => false,
}

#[test]
fn a_reply_after_the_term_brings_nothing() {
    let start = Instant::now();
    let mut budget = full_budget(10, 10, 0, start);
    budget.receive_loan(loan(1, 500_000, LEASE_TERM), start, start + LEASE_TERM);
    assert_eq!(budget.level(start + LEASE_TERM * 2), 0);
}

#[test]
fn a_lent_rate_comes_back_after_the_term() {
    let start = Instant::now();
    let mut budget = full_budget(10, 10, 1_000_000, start);
    let lent = budget.lend(loan(0, 400_000, TOKEN_TERM), 0, 0, start);
    assert_eq!(lent, loan(0, 400_000, LEASE_TERM));
    assert!(budget.rate(start + LEASE_TERM) <= 6 * MICRO_TOKENS);
    assert_eq!(budget.rate(start + LEASE_TERM * 2), 10 * MICRO_TOKENS);
}

#[test]
fn borrowed_capacity_is_not_lent_on_beyond_its_term() {
    let start = Instant::now();
    let mut budget = full_budget(100, 10, 0, start);
    budget.receive_loan(loan(0, 500_000, LEASE_TERM), start, start);
    let asked = loan(5, 500_000, TOKEN_TERM);
    let early = start + LEASE_TERM - TOKEN_TERM * 2;
    assert_eq!(budget.clone().lend(asked, 0, 0, early).micro_tokens, 5 * MICRO_TOKENS);
    let late = start + LEASE_TERM - TOKEN_TERM / 2;
    assert!(budget.lend(asked, 0, 0, late).is_empty());
}

macro_rules! whole_tokens {
    ($($name:ident: $asked:expr, $level:expr => $lent:expr,)*) => {$(
        #[test]
        fn $name() {
            let start = Instant::now();
            let mut budget = full_budget(10, 10, 1_000_000, start);
            let now = start + Duration::from_millis(100 * $level / 10);
            let asked = TokenLoan { micro_tokens: $asked * MICRO_TOKENS / 10, ..loan(0, 0, TOKEN_TERM) };
            assert_eq!(budget.lend(asked, 0, 0, now).micro_tokens, $lent * MICRO_TOKENS / 10);
        }
    )*};
}

whole_tokens! {
    what_is_asked_for_is_lent_whole: 14, 15 => 14,
    of_less_only_whole_tokens_are_lent: 34, 25 => 20,
    a_fragment_of_a_fragment_is_not_lent: 6, 5 => 0,
}

#[test]
fn a_lower_limit_is_in_force_at_once() {
    let start = Instant::now();
    let mut budget = full_budget(10, 10, 1_000_000, start);
    let later = start + Duration::from_secs(5);
    let limit = RateLimit { rate: MICRO_TOKENS, burst: 2 * MICRO_TOKENS };
    budget.set_floor(limit, limit, later);
    assert_eq!(budget.level(later), 2 * MICRO_TOKENS);
    assert_eq!(budget.rate(later), MICRO_TOKENS);
}
