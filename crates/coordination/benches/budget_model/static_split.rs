//! Every host has an even part for ever.

use coordination::token_bucket::MICRO_TOKENS;
use coordination::token_bucket::TokenBucket;

use crate::budget_model::message_bus::CUSTOMERS;
use crate::budget_model::message_bus::HOSTS;
use crate::budget_model::message_bus::LIMIT;
use crate::budget_model::message_bus::MessageBus;
use crate::budget_model::message_bus::ModelEvent;
use crate::budget_model::way_kind::AdmissionWay;
use crate::budget_model::way_kind::ModelRequest;

/// Every host has an even part for ever.
pub struct StaticSplit {
    buckets: Vec<Vec<TokenBucket>>,
}

impl StaticSplit {
    pub fn new(bus: &MessageBus) -> Self {
        let mut bucket = TokenBucket::new(bus.now());
        bucket.reshape(LIMIT.rate / HOSTS as u64, LIMIT.burst / HOSTS as u64);
        Self { buckets: vec![vec![bucket; CUSTOMERS]; HOSTS] }
    }
}

impl AdmissionWay for StaticSplit {
    fn arrive(&mut self, request: ModelRequest, bus: &mut MessageBus) {
        let bucket = &mut self.buckets[request.host][request.customer];
        bucket.fill(bus.now());
        let is_admitted = bucket.take(MICRO_TOKENS);
        bus.decide(request.id, is_admitted);
    }

    fn wake(&mut self, _event: ModelEvent, _bus: &mut MessageBus) {}
}
