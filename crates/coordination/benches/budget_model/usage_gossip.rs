//! Policy in which hosts broadcast their usage, and each corrects its own copy of the bucket.

use std::time::Duration;

use coordination::token_bucket::MICRO_TOKENS;
use coordination::token_bucket::TokenBucket;

use crate::budget_model::message_bus::CUSTOMERS;
use crate::budget_model::message_bus::HOSTS;
use crate::budget_model::message_bus::LIMIT;
use crate::budget_model::message_bus::MessageBus;
use crate::budget_model::message_bus::ModelEvent;
use crate::budget_model::policy_kind::AdmissionPolicy;
use crate::budget_model::policy_kind::ModelRequest;

const GOSSIP_PERIOD: Duration = Duration::from_millis(100);

#[derive(Clone)]
struct UsageView {
    bucket: TokenBucket,
    debt: u64,
    unsent: u64,
}

/// Each host keeps a copy of the fleet-wide bucket and deducts the usage of other hosts when their broadcasts arrive.
pub struct UsageGossip {
    views: Vec<Vec<UsageView>>,
}

impl UsageGossip {
    pub fn new(bus: &mut MessageBus) -> Self {
        let mut bucket = TokenBucket::new(bus.now());
        bucket.set_limits(LIMIT.rate, LIMIT.burst);
        bus.schedule_after(GOSSIP_PERIOD, ModelEvent::Tick);
        let view = UsageView { bucket, debt: 0, unsent: 0 };
        Self { views: vec![vec![view; CUSTOMERS]; HOSTS] }
    }

    fn broadcast_usage(&mut self, bus: &mut MessageBus) {
        for from in 0..HOSTS {
            for customer in 0..CUSTOMERS {
                let amount = std::mem::take(&mut self.views[from][customer].unsent);
                let others = (0..HOSTS).filter(|to| *to != from && amount > 0);
                for to in others {
                    bus.send(from, to, ModelEvent::Usage { to, customer, amount });
                }
            }
        }
        bus.schedule_after(GOSSIP_PERIOD, ModelEvent::Tick);
    }
}

impl UsageView {
    fn repay_debt(&mut self, bus: &MessageBus) {
        self.bucket.fill(bus.now());
        let paid = self.debt.min(self.bucket.level());
        self.bucket.take_tokens(paid);
        self.debt -= paid;
    }
}

impl AdmissionPolicy for UsageGossip {
    fn admit_request(&mut self, request: ModelRequest, bus: &mut MessageBus) {
        let view = &mut self.views[request.host][request.customer];
        view.repay_debt(bus);
        let is_admitted = view.bucket.take_tokens(MICRO_TOKENS);
        view.unsent += if is_admitted { MICRO_TOKENS } else { 0 };
        bus.decide(request.id, is_admitted);
    }

    fn handle_event(&mut self, event: ModelEvent, bus: &mut MessageBus) {
        match event {
            ModelEvent::Tick => self.broadcast_usage(bus),
            ModelEvent::Usage { to, customer, amount } => {
                let view = &mut self.views[to][customer];
                view.debt += amount;
                view.repay_debt(bus);
            }
            _ => {}
        }
    }
}
