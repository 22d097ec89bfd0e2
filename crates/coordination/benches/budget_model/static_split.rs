//! Policy in which every host has a fixed, equal share of the limit.

use coordination::token_bucket::MICRO_TOKENS;
use coordination::token_bucket::TokenBucket;

use crate::budget_model::message_bus::CUSTOMERS;
use crate::budget_model::message_bus::HOSTS;
use crate::budget_model::message_bus::LIMIT;
use crate::budget_model::message_bus::MessageBus;
use crate::budget_model::message_bus::ModelEvent;
use crate::budget_model::policy_kind::AdmissionPolicy;
use crate::budget_model::policy_kind::ModelRequest;

/// Every host has a fixed, equal share of rate and burst; no messages are sent.
pub struct StaticSplit {
    buckets: Vec<Vec<TokenBucket>>,
}

impl StaticSplit {
    pub fn new(bus: &MessageBus) -> Self {
        let mut bucket = TokenBucket::new(bus.now());
        bucket.set_limits(LIMIT.rate / HOSTS as u64, LIMIT.burst / HOSTS as u64);
        Self { buckets: vec![vec![bucket; CUSTOMERS]; HOSTS] }
    }
}

impl AdmissionPolicy for StaticSplit {
    fn admit_request(&mut self, request: ModelRequest, bus: &mut MessageBus) {
        let bucket = &mut self.buckets[request.host][request.customer];
        bucket.fill(bus.now());
        let is_admitted = bucket.take_tokens(MICRO_TOKENS);
        bus.decide(request.id, is_admitted);
    }

    fn handle_event(&mut self, _event: ModelEvent, _bus: &mut MessageBus) {}
}
