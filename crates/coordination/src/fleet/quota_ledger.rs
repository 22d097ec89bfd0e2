//! Distributed rate limits of customers. In each region one host, the keeper, holds a customer's tokens and grants them
//! to the other hosts on demand. This bounds customers at many times their usual rate and still serves small customers
//! whose few requests arrive at any host.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::demand_meter::DemandMeter;
use crate::fleet::QuotaTolerance;
use crate::fleet::share_of_limit;
use crate::ids::CustomerId;
use crate::token_bucket::MICRO_TOKENS;
use crate::token_bucket::TokenBucket;

/// Time for which a host may spend tokens granted to it.
const LEASE_TIME: Duration = Duration::from_secs(1);
/// Seconds of the current demand for which a host requests tokens at once.
const PREFETCH_SECONDS: f64 = 0.25;
/// Most tokens requested and granted at once.
const MAX_GRANTED_TOKENS: u32 = 32;
/// Most granted tokens that a host holds.
const MAX_LEASED_TOKENS: u32 = 64;
/// Wait reported to the caller if the bucket never fills, and the longest one if the reserve is empty.
const DEFAULT_RETRY_WAIT: Duration = Duration::from_secs(1);

/// Rate limit of a customer over the whole fleet.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CustomerLimit {
    /// Requests a second; 0 means no limit.
    pub rate: f64,
    /// Requests that may arrive at once after a pause.
    pub burst: f64,
}

/// Result of checking a request against its customer's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// The request is within the limit and its token is spent.
    Admitted,
    /// This host has no token; the caller asks the customer's keeper and passes the answer to `apply_grant`.
    AskKeeper {
        /// Number of tokens to ask for, at least one.
        tokens: u32,
    },
    /// The request is beyond the limit.
    Refused {
        /// Time until a token is expected to be available.
        wait: Duration,
    },
}

/// Answer of a keeper to a host that asked for tokens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TokenGrant {
    /// Number of tokens granted, at least one.
    Tokens(u32),
    /// The keeper has no token left.
    Empty {
        /// Milliseconds until the keeper has the next token.
        wait_ms: u64,
    },
    /// The host that was asked is not the customer's keeper.
    NotKept,
}

/// View of the fleet on which pools and reserves are based.
pub struct QuotaView<'a> {
    /// Number of hosts in the fleet, this one included.
    pub host_count: usize,
    /// Returns whether this host is the keeper of a customer's tokens in its region.
    pub is_keeper: &'a dyn Fn(&str) -> bool,
    /// Returns the requests a second of a customer in each other region, `None` for a region without known hosts.
    pub other_demands: &'a dyn Fn(&str) -> Vec<Option<f64>>,
}

/// Limits, leased tokens and token pools of all limited customers on one host.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    accounts: IndexMap<CustomerId, QuotaAccount>,
    tolerance: QuotaTolerance,
}

#[derive(Clone, Debug)]
struct QuotaAccount {
    limit: CustomerLimit,
    meter: DemandMeter,
    leased_tokens: u32,
    lease_end: Instant,
    reserve: TokenBucket,
    pool: Option<TokenPool>,
    /// Time at which this host last ceased to be the keeper.
    resigned_at: Option<Instant>,
}

/// Tokens of a customer for one region, held by the region's keeper.
#[derive(Clone, Debug)]
struct TokenPool {
    bucket: TokenBucket,
    meter: DemandMeter,
    /// Demand as the other regions know it. Shares computed by all regions from the same figures add up to the limit.
    published_demand: f64,
}

impl QuotaLedger {
    /// Sets what limits allow beyond their figures; takes effect with the next `rebalance`.
    pub fn set_tolerance(&mut self, tolerance: QuotaTolerance) {
        self.tolerance = tolerance;
    }

    /// Replaces the limits in force. A new customer has no tokens on this host until the next `rebalance`.
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

    /// Resizes pools and reserves to the fleet, and creates or drops pools where the keeper changed.
    pub fn rebalance(&mut self, view: &QuotaView<'_>, now: Instant) {
        for (customer, account) in &mut self.accounts {
            account.rebalance(view, customer, &self.tolerance, now);
        }
    }

    /// Admits a request of a customer with a token that this host holds, if there is one. A customer without a limit is
    /// always admitted.
    pub fn admit_request(&mut self, customer: &str, now: Instant) -> QuotaDecision {
        let Some(account) = self.accounts.get_mut(customer) else { return QuotaDecision::Admitted };
        account.meter.count(MICRO_TOKENS, now);
        if account.spend_leased_token(now) {
            return QuotaDecision::Admitted;
        }
        let demand = account.meter.per_second(now) as f64 / MICRO_TOKENS as f64;
        let tokens = ((demand * PREFETCH_SECONDS) as u32).clamp(1, MAX_GRANTED_TOKENS);
        match &mut account.pool {
            None => QuotaDecision::AskKeeper { tokens },
            Some(pool) => match pool.grant_tokens(1, now) {
                TokenGrant::Empty { wait_ms } => {
                    QuotaDecision::Refused { wait: Duration::from_millis(wait_ms) }
                }
                _ => QuotaDecision::Admitted,
            },
        }
    }

    /// Grants up to `tokens` tokens to another host if this host is the customer's keeper.
    pub fn grant_tokens(&mut self, customer: &str, tokens: u32, now: Instant) -> TokenGrant {
        let pool = self.accounts.get_mut(customer).and_then(|account| account.pool.as_mut());
        match pool {
            Some(pool) => pool.grant_tokens(tokens.min(MAX_GRANTED_TOKENS), now),
            None => TokenGrant::NotKept,
        }
    }

    /// Applies a keeper's answer to the request that waits for it; `None` means that no answer came in time and the
    /// reserve is used.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is expected to be available.
    pub fn apply_grant(
        &mut self,
        customer: &str,
        grant: Option<TokenGrant>,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(account) = self.accounts.get_mut(customer) else { return Ok(()) };
        match grant {
            Some(TokenGrant::Tokens(tokens)) => {
                account.add_leased_tokens(tokens.min(MAX_GRANTED_TOKENS).saturating_sub(1), now);
                Ok(())
            }
            Some(TokenGrant::Empty { wait_ms }) => Err(Duration::from_millis(wait_ms)),
            Some(TokenGrant::NotKept) | None => account.spend_reserve_token(now),
        }
    }

    /// Returns the token of a request that did not run to the tokens leased to this host.
    pub fn refund_token(&mut self, customer: &str, now: Instant) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.add_leased_tokens(1, now);
        }
    }

    /// Sets the demand that this host publishes, and that limits are split by, to the current one until the next call.
    pub fn publish_demand(&mut self, now: Instant) {
        for pool in self.accounts.values_mut().filter_map(|account| account.pool.as_mut()) {
            pool.published_demand = pool.meter.per_second(now) as f64 / MICRO_TOKENS as f64;
        }
    }

    /// Returns the requests a second, over all hosts of the region, of each customer whose tokens this host keeps, as
    /// of the last `publish_demand`.
    pub fn published_demand(&self) -> IndexMap<CustomerId, f32> {
        let pool =
            |account: &QuotaAccount| account.pool.as_ref().map(|pool| pool.published_demand as f32);
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
            leased_tokens: 0,
            lease_end: now,
            reserve: TokenBucket::new(now),
            pool: None,
            resigned_at: None,
        }
    }

    fn rebalance(
        &mut self,
        view: &QuotaView<'_>,
        customer: &str,
        tolerance: &QuotaTolerance,
        now: Instant,
    ) {
        let reserve_share = tolerance.reserve_share() / view.host_count.max(1) as f64;
        self.reserve.fill(now);
        self.reserve.set_limits(micro_tokens(self.limit.rate * reserve_share), MICRO_TOKENS);
        if !(view.is_keeper)(customer) {
            if self.pool.take().is_some() {
                self.resigned_at = Some(now);
            }
            return;
        }
        let resigned_recently = self
            .resigned_at
            .is_some_and(|at| now.saturating_duration_since(at) < tolerance.former_keeper_time());
        let other_demands = (view.other_demands)(customer);
        let is_new = self.pool.is_none();
        let pool = self.pool.get_or_insert_with(|| TokenPool::new(now));
        let share = share_of_limit(pool.published_demand, &other_demands);
        let spare = tolerance.spare_tokens() / (other_demands.len() as f64 + 1.0);
        let capacity = micro_tokens(self.limit.burst * share + spare).max(MICRO_TOKENS);
        pool.bucket.fill(now);
        pool.bucket.set_limits(micro_tokens(self.limit.rate * share), capacity);
        if is_new && !resigned_recently {
            pool.bucket.add_tokens(micro_tokens(
                self.limit.rate * share * tolerance.initial_pool_time().as_secs_f64(),
            ));
        }
    }

    /// Adds granted tokens to the current lease. They expire with those held already, so that later grants do not
    /// extend earlier ones.
    fn add_leased_tokens(&mut self, tokens: u32, now: Instant) {
        if self.leased_tokens == 0 || now >= self.lease_end {
            (self.leased_tokens, self.lease_end) = (0, now + LEASE_TIME);
        }
        self.leased_tokens = (self.leased_tokens + tokens).min(MAX_LEASED_TOKENS);
    }

    fn spend_leased_token(&mut self, now: Instant) -> bool {
        let has_leased_token = self.leased_tokens > 0 && now < self.lease_end;
        self.leased_tokens -= u32::from(has_leased_token);
        has_leased_token
    }

    fn spend_reserve_token(&mut self, now: Instant) -> Result<(), Duration> {
        self.reserve.fill(now);
        match self.reserve.take_tokens(MICRO_TOKENS) {
            true => Ok(()),
            false => {
                let wait = self.reserve.time_until(MICRO_TOKENS).unwrap_or(DEFAULT_RETRY_WAIT);
                Err(wait.min(DEFAULT_RETRY_WAIT))
            }
        }
    }
}

impl TokenPool {
    fn new(now: Instant) -> Self {
        Self { bucket: TokenBucket::new(now), meter: DemandMeter::new(now), published_demand: 0.0 }
    }

    /// Grants the available tokens, up to `wanted`, and counts all wanted ones as demand.
    fn grant_tokens(&mut self, wanted: u32, now: Instant) -> TokenGrant {
        self.meter.count(u64::from(wanted) * MICRO_TOKENS, now);
        self.bucket.fill(now);
        let available = u32::try_from(self.bucket.level() / MICRO_TOKENS).unwrap_or(u32::MAX);
        let tokens = available.min(wanted);
        self.bucket.take_tokens(u64::from(tokens) * MICRO_TOKENS);
        match tokens {
            0 => {
                let wait = self.bucket.time_until(MICRO_TOKENS).unwrap_or(DEFAULT_RETRY_WAIT);
                TokenGrant::Empty { wait_ms: wait.as_millis() as u64 }
            }
            tokens => TokenGrant::Tokens(tokens),
        }
    }
}

fn micro_tokens(tokens: f64) -> u64 {
    (tokens * MICRO_TOKENS as f64) as u64
}
