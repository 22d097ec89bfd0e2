//! How much work each customer of a service got from a host recently.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::ids::CustomerId;

/// Time constant with which earlier work is forgotten: several service times, and shorter than most bursts.
const USAGE_DECAY_TIME: Duration = Duration::from_secs(3);
/// Multiple of the mean of the customers above which one gets more than its share.
const EXCESS_MULTIPLE: f64 = 2.0;
/// Work in seconds below which a customer is forgotten.
const MIN_USAGE: f64 = 0.001;
/// Customers above which those without recent work are removed.
const PRUNE_COUNT: usize = 64;

/// Recent work by customer, in seconds that decay.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerUsage {
    usages: IndexMap<CustomerId, (f64, Instant)>,
}

impl CustomerUsage {
    /// Returns whether a customer got more than twice the mean of all customers with recent work.
    pub(super) fn is_above_share(&self, customer: Option<&CustomerId>, now: Instant) -> bool {
        let Some(own) = customer.and_then(|customer| self.usages.get(customer)) else {
            return false;
        };
        let recent = self.usages.values().map(|usage| decayed(*usage, now));
        let (all, count) = recent
            .filter(|seconds| *seconds >= MIN_USAGE)
            .fold((0.0, 0.0), |(all, count), seconds| (all + seconds, count + 1.0));
        decayed(*own, now) * count > all * EXCESS_MULTIPLE
    }

    /// Adds work of a customer.
    pub(super) fn add(&mut self, customer: &CustomerId, seconds: f64, now: Instant) {
        if self.usages.len() > PRUNE_COUNT && !self.usages.contains_key(customer) {
            self.usages.retain(|_, usage| decayed(*usage, now) >= MIN_USAGE);
        }
        let usage = self.usages.entry(customer.clone()).or_insert((0.0, now));
        *usage = (decayed(*usage, now) + seconds, now);
    }
}

fn decayed((seconds, at): (f64, Instant), now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    seconds * (-age / USAGE_DECAY_TIME.as_secs_f64()).exp()
}
