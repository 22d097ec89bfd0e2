//! This host's parts of the customers' limits over the whole fleet.

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

/// Tokens that all hosts together may hold beyond a customer's burst, so that a small burst can be split; three quarters of
/// the requests beyond the limit that the platform tolerates in a window (`quota_slack`).
const SPARE_TOKENS: f64 = 15.0;
/// Most spare tokens of one host.
const MAX_SPARE_TOKENS: f64 = 2.0;

/// A customer's limit over the whole fleet.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CustomerLimit {
    /// Requests a second; 0 for no limit.
    pub rate: f64,
    /// Requests that may come at once.
    pub burst: f64,
}

/// This host's parts of the customers' limits.
#[derive(Clone, Debug, Default)]
pub struct QuotaLedger {
    accounts: IndexMap<CustomerId, QuotaAccount>,
}

#[derive(Clone, Debug)]
struct QuotaAccount {
    limit: CustomerLimit,
    bucket: TokenBucket,
    meter: DemandMeter,
}

impl QuotaLedger {
    /// Takes the limits in force; a customer that is new starts with the smallest share until the next `rebalance`.
    pub fn set_limits(
        &mut self,
        limits: impl Iterator<Item = (CustomerId, CustomerLimit)>,
        now: Instant,
    ) {
        let mut accounts = IndexMap::new();
        for (customer, limit) in limits.filter(|(_, limit)| limit.rate > 0.0) {
            let account = match self.accounts.swap_remove(&customer) {
                Some(account) => QuotaAccount { limit, ..account },
                None => QuotaAccount {
                    limit,
                    bucket: TokenBucket::new(now),
                    meter: DemandMeter::new(now),
                },
            };
            accounts.insert(customer, account);
        }
        self.accounts = accounts;
    }

    /// Adapts the shares to the demand that other hosts report.
    pub fn rebalance<'a>(&mut self, others: impl Fn(&str) -> Vec<f64> + 'a, now: Instant) {
        for (customer, account) in &mut self.accounts {
            let demands = others(customer);
            let hosts = demands.len() as f64 + 1.0;
            let own = account.meter.per_second(now) as f64 / MICRO_TOKENS as f64;
            account.reshape(share_of_limit(own, demands.into_iter()), hosts, now);
        }
    }

    /// Takes one request of a customer out of its limit.
    ///
    /// # Errors
    ///
    /// Returns the time until a request would be within the limit.
    pub fn admit(&mut self, customer: &str, now: Instant) -> Result<(), Duration> {
        let Some(account) = self.accounts.get_mut(customer) else { return Ok(()) };
        account.meter.count(MICRO_TOKENS, now);
        account.bucket.fill(now);
        match account.bucket.take(MICRO_TOKENS) {
            true => Ok(()),
            false => Err(account.bucket.time_until(MICRO_TOKENS).unwrap_or(Duration::from_secs(1))),
        }
    }

    /// Gives back the token of a request that did not run.
    pub fn refund(&mut self, customer: &str) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.bucket.add(MICRO_TOKENS);
        }
    }

    /// Requests a second that this host sees of each customer with a limit.
    pub fn demand(&mut self, now: Instant) -> IndexMap<CustomerId, f32> {
        let rate =
            |account: &mut QuotaAccount| account.meter.per_second(now) as f32 / MICRO_TOKENS as f32;
        self.accounts
            .iter_mut()
            .map(|(customer, account)| (customer.clone(), rate(account)))
            .filter(|(_, rate)| *rate > 0.0)
            .collect()
    }
}

impl QuotaAccount {
    fn reshape(&mut self, share: f64, hosts: f64, now: Instant) {
        self.bucket.fill(now);
        let is_new = self.bucket.rate() == 0;
        let spare = (SPARE_TOKENS / hosts).min(MAX_SPARE_TOKENS);
        let micro = |tokens: f64| (tokens * MICRO_TOKENS as f64) as u64;
        let capacity = micro(self.limit.burst * share + spare).max(MICRO_TOKENS);
        self.bucket.reshape(micro(self.limit.rate * share), capacity);
        if is_new {
            self.bucket.add(capacity);
        }
    }
}
