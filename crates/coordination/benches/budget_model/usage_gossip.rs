//! Hosts tell each other what they spent, and each corrects its own copy of the bucket.

use std::time::Duration;

use coordination::token_bucket::MICRO_TOKENS;
use coordination::token_bucket::TokenBucket;

use crate::budget_model::message_bus::CUSTOMERS;
use crate::budget_model::message_bus::HOSTS;
use crate::budget_model::message_bus::LIMIT;
use crate::budget_model::message_bus::MessageBus;
use crate::budget_model::message_bus::ModelEvent;
use crate::budget_model::way_kind::AdmissionWay;
use crate::budget_model::way_kind::ModelRequest;

const GOSSIP_PERIOD: Duration = Duration::from_millis(100);

#[derive(Clone)]
struct UsageView {
    bucket: TokenBucket,
    debt: u64,
    unsent: u64,
}

/// Each host keeps a copy of the whole bucket and takes what others spent out of it when it hears of it.
pub struct UsageGossip {
    views: Vec<Vec<UsageView>>,
}

impl UsageGossip {
    pub fn new(bus: &mut MessageBus) -> Self {
        let mut bucket = TokenBucket::new(bus.now());
        bucket.reshape(LIMIT.rate, LIMIT.burst);
        bus.after(GOSSIP_PERIOD, ModelEvent::Tick);
        let view = UsageView { bucket, debt: 0, unsent: 0 };
        Self { views: vec![vec![view; CUSTOMERS]; HOSTS] }
    }

    fn tell(&mut self, bus: &mut MessageBus) {
        for from in 0..HOSTS {
            for customer in 0..CUSTOMERS {
                let amount = std::mem::take(&mut self.views[from][customer].unsent);
                let others = (0..HOSTS).filter(|to| *to != from && amount > 0);
                for to in others {
                    bus.send(from, to, ModelEvent::Usage { to, customer, amount });
                }
            }
        }
        bus.after(GOSSIP_PERIOD, ModelEvent::Tick);
    }
}

impl UsageView {
    fn settle(&mut self, bus: &MessageBus) {
        self.bucket.fill(bus.now());
        let paid = self.debt.min(self.bucket.level());
        self.bucket.take(paid);
        self.debt -= paid;
    }
}

impl AdmissionWay for UsageGossip {
    fn arrive(&mut self, request: ModelRequest, bus: &mut MessageBus) {
        let view = &mut self.views[request.host][request.customer];
        view.settle(bus);
        let is_admitted = view.bucket.take(MICRO_TOKENS);
        view.unsent += if is_admitted { MICRO_TOKENS } else { 0 };
        bus.decide(request.id, is_admitted);
    }

    fn wake(&mut self, event: ModelEvent, bus: &mut MessageBus) {
        match event {
            ModelEvent::Tick => self.tell(bus),
            ModelEvent::Usage { to, customer, amount } => {
                let view = &mut self.views[to][customer];
                view.debt += amount;
                view.settle(bus);
            }
            _ => {}
        }
    }
}
