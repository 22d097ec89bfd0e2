//! One service beside the store hands out every token.

use coordination::token_bucket::MICRO_TOKENS;
use coordination::token_bucket::TokenBucket;

use crate::budget_model::message_bus::CUSTOMERS;
use crate::budget_model::message_bus::LIMIT;
use crate::budget_model::message_bus::MessageBus;
use crate::budget_model::message_bus::ModelEvent;
use crate::budget_model::message_bus::latency;
use crate::budget_model::way_kind::AdmissionWay;
use crate::budget_model::way_kind::ModelRequest;

/// Host beside which the service stands.
const PLACE: usize = 0;

/// One service beside the store hands out every token; without it nothing runs.
pub struct CentralService {
    buckets: Vec<TokenBucket>,
}

impl CentralService {
    pub fn new(bus: &MessageBus) -> Self {
        let mut bucket = TokenBucket::new(bus.now());
        bucket.reshape(LIMIT.rate, LIMIT.burst);
        Self { buckets: vec![bucket; CUSTOMERS] }
    }
}

impl AdmissionWay for CentralService {
    fn arrive(&mut self, request: ModelRequest, bus: &mut MessageBus) {
        let ModelRequest { id, customer, host } = request;
        bus.messages += 2;
        match bus.case.reaches_store(host, bus.at) {
            true => bus.after(latency(host, PLACE), ModelEvent::CentralAsk { id, customer, host }),
            false => bus.decide(id, false),
        }
    }

    fn wake(&mut self, event: ModelEvent, bus: &mut MessageBus) {
        match event {
            ModelEvent::CentralAsk { id, customer, host } => {
                let bucket = &mut self.buckets[customer];
                bucket.fill(bus.now());
                let is_admitted = bucket.take(MICRO_TOKENS);
                bus.after(latency(host, PLACE), ModelEvent::CentralAnswer { id, is_admitted });
            }
            ModelEvent::CentralAnswer { id, is_admitted } => bus.decide(id, is_admitted),
            _ => {}
        }
    }
}
