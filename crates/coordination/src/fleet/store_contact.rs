//! How the latest calls of a host to the store ended, for one part of the state.

use std::time::Duration;
use std::time::Instant;

/// Time after a failed call for which a host leaves the store to others, if others follow it.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Result of the latest calls to the store. A host that reads through a relay makes none.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    failed_at: Option<Instant>,
    stage: ContactStage,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ContactStage {
    #[default]
    Relayed,
    /// The host calls the store, and the latest call was not answered yet or failed.
    Trying,
    Following,
    /// The host called the store before and now reads through a relay that follows it.
    HandedOver,
}

impl StoreContact {
    /// Records that the host calls the store now.
    pub fn record_call(&mut self) {
        if self.stage != ContactStage::Following {
            self.stage = ContactStage::Trying;
        }
    }

    /// Records that the store answered a call.
    pub fn record_answer(&mut self) {
        *self = Self { failed_at: None, stage: ContactStage::Following };
    }

    /// Records that a call to the store failed.
    pub fn record_failure(&mut self, now: Instant) {
        *self = Self { failed_at: Some(now), stage: ContactStage::Trying };
    }

    /// Records that a relay answered.
    pub fn record_relayed(&mut self) {
        if self.stage != ContactStage::Relayed {
            self.stage = ContactStage::HandedOver;
        }
    }

    /// Records that a relay failed or refused a call.
    pub fn record_relay_failure(&mut self) {
        if self.stage == ContactStage::HandedOver {
            self.stage = ContactStage::Relayed;
        }
    }

    /// Returns whether the latest call was answered or none was made. Other hosts take this one for a relay only then.
    pub fn reaches_store(&self) -> bool {
        self.failed_at.is_none()
    }

    /// Returns whether the host may call the store, to find out whether it reaches it again.
    pub fn may_try(&self, now: Instant) -> bool {
        self.failed_at.is_none_or(|at| now.saturating_duration_since(at) > RETRY_DELAY)
    }

    /// Returns whether the host follows the store itself and the latest call was answered.
    pub fn follows_store(&self) -> bool {
        self.stage == ContactStage::Following
    }

    /// Returns whether other hosts may wait here for changes. While this host calls a store that does not answer, those who
    /// wait have no better place that it knows of.
    pub fn serves_watches(&self) -> bool {
        self.stage != ContactStage::Relayed
    }

    /// Returns whether the next call to a relay must find out whether it follows the store, before this host leaves the store
    /// to it.
    pub fn must_probe(&self) -> bool {
        self.stage == ContactStage::Trying
    }
}
