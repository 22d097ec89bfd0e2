//! The customers' limits over the whole fleet. In each region one host keeps a customer's tokens and hands them out to the
//! others, which ask for them as requests come. Answers customers at many times their usual, and small customers whose few
//! requests come anywhere.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::demand_meter::DemandMeter;
use crate::fleet::share_of_limit;
use crate::ids::CustomerId;
use crate::token_bucket::MICRO_TOKENS;
use crate::token_bucket::TokenBucket;

/// Tokens that the pools of all regions may hold beyond a customer's burst, so that a small burst can be split; three quarters of the
/// requests beyond the limit that the platform tolerates in a window (`quota_slack`).
const SPARE_TOKENS: f64 = 15.0;
/// Part of the limit that hosts share evenly for when no keeper answers. A failure domain that is cut off has a ninth to a
/// sixth of the hosts, so that it admits no more than the tenth that the platform tolerates (`quota_overage`).
const RESERVE_PART: f64 = 0.6;
/// Time for which a host that becomes a keeper has tokens at once. None were handed out for at least as long while the earlier
/// keeper was away; where it was not, they are a tenth of the window in which the platform counts.
const FIRST_TOKENS: Duration = Duration::from_millis(500);
/// Time for which a host that was a keeper gets no such tokens again: two windows of the platform. Hosts that take each other
/// for silent by turns would hand out the more, the more often they change.
const KEEPER_MEMORY: Duration = Duration::from_secs(10);
/// Time for which tokens that were handed out may be spent.
const LEASE_TIME: Duration = Duration::from_secs(1);
/// Demand for which tokens are asked at once, in seconds.
const ASKED_AHEAD: f64 = 0.25;
/// Most tokens asked for at once.
const MAX_ASKED: u32 = 32;
/// Most tokens that a host holds.
const MAX_LEASED: u32 = 64;
/// Wait that is told where nothing says when a token is there.
const UNKNOWN_WAIT: Duration = Duration::from_secs(1);

/// A customer's limit over the whole fleet.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CustomerLimit {
    /// Requests a second; 0 for no limit.
    pub rate: f64,
    /// Requests that may come at once.
    pub burst: f64,
}

/// Whether a request is within its customer's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// It is.
    Admitted,
    /// The keeper of the customer's tokens has to be asked for some.
    Ask {
        /// How many.
        tokens: u32,
    },
    /// It is not.
    Refused {
        /// Time until a request would be.
        wait: Duration,
    },
}

/// A keeper's answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenGrant {
    /// Tokens handed out, at least one.
    Tokens(u32),
    /// There is none.
    Empty {
        /// Milliseconds until there is one.
        wait_ms: u64,
    },
    /// The host asked keeps none of the customer's tokens.
    NotKept,
}

/// The fleet as the ledger sees it.
pub struct QuotaView<'a> {
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Whether this host keeps a customer's tokens in its region.
    pub keeps: &'a dyn Fn(&str) -> bool,
    /// Requests a second of a customer in each other region, `None` for a region that was never heard.
    pub others: &'a dyn Fn(&str) -> Vec<Option<f64>>,
}

/// The customers' limits as one host keeps them.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    accounts: IndexMap<CustomerId, QuotaAccount>,
}

#[derive(Clone, Debug)]
struct QuotaAccount {
    limit: CustomerLimit,
    meter: DemandMeter,
    leased: u32,
    lease_end: Instant,
    reserve: TokenBucket,
    pool: Option<TokenPool>,
    /// Moment at which this host last ceased to be the keeper.
    left_at: Option<Instant>,
}

/// The tokens of a customer for one region.
#[derive(Clone, Debug)]
struct TokenPool {
    bucket: TokenBucket,
    meter: DemandMeter,
    /// Demand as the other regions know it: shares that each region reckons from the same figures add up to the limit.
    told: f64,
}

impl QuotaLedger {
    /// Takes the limits in force; a customer that is new starts with nothing until the next `rebalance`.
    pub fn set_limits(
        &mut self,
        limits: impl Iterator<Item = (CustomerId, CustomerLimit)>,
        now: Instant,
    ) {
        let mut accounts = IndexMap::new();
        for (customer, limit) in limits.filter(|(_, limit)| limit.rate > 0.0) {
            let account = match self.accounts.swap_remove(&customer) {
                Some(account) => QuotaAccount { limit, ..account },
                None => QuotaAccount::new(limit, now),
            };
            accounts.insert(customer, account);
        }
        self.accounts = accounts;
    }

    /// Adapts pools and reserves to the fleet.
    pub fn rebalance(&mut self, view: &QuotaView<'_>, now: Instant) {
        for (customer, account) in &mut self.accounts {
            account.rebalance(view, customer, now);
        }
    }

    /// Takes one request of a customer out of what this host holds.
    pub fn admit(&mut self, customer: &str, now: Instant) -> QuotaDecision {
        let Some(account) = self.accounts.get_mut(customer) else { return QuotaDecision::Admitted };
        account.meter.count(MICRO_TOKENS, now);
        if account.take_leased(now) {
            return QuotaDecision::Admitted;
        }
        let demand = account.meter.per_second(now) as f64 / MICRO_TOKENS as f64;
        let tokens = ((demand * ASKED_AHEAD) as u32).clamp(1, MAX_ASKED);
        match &mut account.pool {
            None => QuotaDecision::Ask { tokens },
            Some(pool) => match pool.grant(1, now) {
                TokenGrant::Empty { wait_ms } => {
                    QuotaDecision::Refused { wait: Duration::from_millis(wait_ms) }
                }
                _ => QuotaDecision::Admitted,
            },
        }
    }

    /// Hands tokens out to another host.
    pub fn grant(&mut self, customer: &str, tokens: u32, now: Instant) -> TokenGrant {
        let pool = self.accounts.get_mut(customer).and_then(|account| account.pool.as_mut());
        match pool {
            Some(pool) => pool.grant(tokens.min(MAX_ASKED), now),
            None => TokenGrant::NotKept,
        }
    }

    /// Takes a keeper's answer for a request that waits for it; `None` if none came in time.
    ///
    /// # Errors
    ///
    /// Returns the time until the request would be within the limit.
    pub fn receive(
        &mut self,
        customer: &str,
        grant: Option<TokenGrant>,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(account) = self.accounts.get_mut(customer) else { return Ok(()) };
        match grant {
            Some(TokenGrant::Tokens(tokens)) => {
                account.lease(tokens.min(MAX_ASKED).saturating_sub(1), now);
                Ok(())
            }
            Some(TokenGrant::Empty { wait_ms }) => Err(Duration::from_millis(wait_ms)),
            Some(TokenGrant::NotKept) | None => account.take_reserve(now),
        }
    }

    /// Gives back the token of a request that did not run.
    pub fn refund(&mut self, customer: &str, now: Instant) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.lease(1, now);
        }
    }

    /// Takes the demand of now as what this host tells the others, and shares limits by, until the next time.
    pub fn tell_demand(&mut self, now: Instant) {
        for pool in self.accounts.values_mut().filter_map(|account| account.pool.as_mut()) {
            pool.told = pool.meter.per_second(now) as f64 / MICRO_TOKENS as f64;
        }
    }

    /// Requests a second of each customer whose tokens this host keeps, over all hosts of the region, as last told.
    pub fn told_demand(&self) -> IndexMap<CustomerId, f32> {
        let pool = |account: &QuotaAccount| account.pool.as_ref().map(|pool| pool.told as f32);
        let accounts = self.accounts.iter();
        accounts
            .filter_map(|(customer, account)| Some((customer.clone(), pool(account)?)))
            .collect()
    }
}

impl QuotaAccount {
    fn new(limit: CustomerLimit, now: Instant) -> Self {
        Self {
            limit,
            meter: DemandMeter::new(now),
            leased: 0,
            lease_end: now,
            reserve: TokenBucket::new(now),
            pool: None,
            left_at: None,
        }
    }

    fn rebalance(&mut self, view: &QuotaView<'_>, customer: &str, now: Instant) {
        let part = RESERVE_PART / view.hosts.max(1) as f64;
        self.reserve.fill(now);
        self.reserve.set_limits(micro(self.limit.rate * part), MICRO_TOKENS);
        if !(view.keeps)(customer) {
            if self.pool.take().is_some() {
                self.left_at = Some(now);
            }
            return;
        }
        let left_lately =
            self.left_at.is_some_and(|at| now.saturating_duration_since(at) < KEEPER_MEMORY);
        let others = (view.others)(customer);
        let is_new = self.pool.is_none();
        let pool = self.pool.get_or_insert_with(|| TokenPool::new(now));
        let share = share_of_limit(pool.told, &others);
        let spare = SPARE_TOKENS / (others.len() as f64 + 1.0);
        let capacity = micro(self.limit.burst * share + spare).max(MICRO_TOKENS);
        pool.bucket.fill(now);
        pool.bucket.set_limits(micro(self.limit.rate * share), capacity);
        if is_new && !left_lately {
            pool.bucket.add_tokens(micro(self.limit.rate * share * FIRST_TOKENS.as_secs_f64()));
        }
    }

    /// Holds tokens that were handed out. They end with those held already, so that none is kept alive by later ones.
    fn lease(&mut self, tokens: u32, now: Instant) {
        if self.leased == 0 || now >= self.lease_end {
            (self.leased, self.lease_end) = (0, now + LEASE_TIME);
        }
        self.leased = (self.leased + tokens).min(MAX_LEASED);
    }

    fn take_leased(&mut self, now: Instant) -> bool {
        let has_leased = self.leased > 0 && now < self.lease_end;
        self.leased -= u32::from(has_leased);
        has_leased
    }

    fn take_reserve(&mut self, now: Instant) -> Result<(), Duration> {
        self.reserve.fill(now);
        match self.reserve.take_tokens(MICRO_TOKENS) {
            true => Ok(()),
            false => {
                let wait = self.reserve.time_until(MICRO_TOKENS).unwrap_or(UNKNOWN_WAIT);
                Err(wait.min(UNKNOWN_WAIT))
            }
        }
    }
}

impl TokenPool {
    fn new(now: Instant) -> Self {
        Self { bucket: TokenBucket::new(now), meter: DemandMeter::new(now), told: 0.0 }
    }

    /// Hands out as many tokens as there are, up to those wanted.
    fn grant(&mut self, wanted: u32, now: Instant) -> TokenGrant {
        self.meter.count(u64::from(wanted) * MICRO_TOKENS, now);
        self.bucket.fill(now);
        let there = u32::try_from(self.bucket.level() / MICRO_TOKENS).unwrap_or(u32::MAX);
        let tokens = there.min(wanted);
        self.bucket.take_tokens(u64::from(tokens) * MICRO_TOKENS);
        match tokens {
            0 => {
                let wait = self.bucket.time_until(MICRO_TOKENS).unwrap_or(UNKNOWN_WAIT);
                TokenGrant::Empty { wait_ms: wait.as_millis() as u64 }
            }
            tokens => TokenGrant::Tokens(tokens),
        }
    }
}

fn micro(tokens: f64) -> u64 {
    (tokens * MICRO_TOKENS as f64) as u64
}
