//! Policy in which one central service next to the store grants every token.

use coordination::token_bucket::MICRO_TOKENS;
use coordination::token_bucket::TokenBucket;

use crate::budget_model::message_bus::CUSTOMERS;
use crate::budget_model::message_bus::LIMIT;
use crate::budget_model::message_bus::MessageBus;
use crate::budget_model::message_bus::ModelEvent;
use crate::budget_model::message_bus::latency;
use crate::budget_model::policy_kind::AdmissionPolicy;
use crate::budget_model::policy_kind::ModelRequest;

/// Host next to which the service runs; it determines the latency to it.
const SERVICE_HOST: usize = 0;

/// One central service holds the bucket of each customer; hosts that cannot reach it refuse every request.
pub struct CentralService {
    buckets: Vec<TokenBucket>,
}

impl CentralService {
    pub fn new(bus: &MessageBus) -> Self {
        let mut bucket = TokenBucket::new(bus.now());
        bucket.set_limits(LIMIT.rate, LIMIT.burst);
        Self { buckets: vec![bucket; CUSTOMERS] }
    }
}

impl AdmissionPolicy for CentralService {
    fn admit_request(&mut self, request: ModelRequest, bus: &mut MessageBus) {
        let ModelRequest { id, customer, host } = request;
        bus.messages += 2;
        match bus.case.reaches_store(host, bus.at) {
            true => bus.schedule_after(
                latency(host, SERVICE_HOST),
                ModelEvent::CentralAsk { id, customer, host },
            ),
            false => bus.decide(id, false),
        }
    }

    fn handle_event(&mut self, event: ModelEvent, bus: &mut MessageBus) {
        match event {
            ModelEvent::CentralAsk { id, customer, host } => {
                let bucket = &mut self.buckets[customer];
                bucket.fill(bus.now());
                let is_admitted = bucket.take_tokens(MICRO_TOKENS);
                bus.schedule_after(
                    latency(host, SERVICE_HOST),
                    ModelEvent::CentralAnswer { id, is_admitted },
                );
            }
            ModelEvent::CentralAnswer { id, is_admitted } => bus.decide(id, is_admitted),
            _ => {}
        }
    }
}
