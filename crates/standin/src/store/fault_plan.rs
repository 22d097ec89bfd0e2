//! Faults that the store injects into calls.

use std::time::Duration;

use buckthornturn::store::StoreCallKind;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

/// Faults to inject; the default has none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Refuses every call with 503.
    pub down: bool,
    /// Answers no call; the client waits until its own timeout.
    pub silent: bool,
    /// Delay of each call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Writes that take effect while their answers are lost.
    pub lose_answers: AnswerLoss,
    /// Names of clients that are cut off: their calls take no effect and get no answer.
    pub cut: Vec<Box<str>>,
    /// Closes the connection of each watch without an answer.
    pub drop_watches: bool,
}

impl FaultPlan {
    /// Describes the faults in a few words for reports; `whole` if there are none.
    pub fn summary(&self) -> Box<str> {
        let mut parts = Vec::new();
        let mut add_part = |is_active: bool, text: String| parts.extend(is_active.then_some(text));
        add_part(self.down, "down".into());
        add_part(self.silent, "silent".into());
        add_part(self.delay_ms > 0, format!("{} ms late", self.delay_ms));
        let loss = &self.lose_answers;
        add_part(loss.count > 0, format!("losing {} answers", loss.count));
        add_part(
            loss.probability > 0.0,
            format!("losing {:.0}% of answers", 100.0 * loss.probability),
        );
        add_part(!self.cut.is_empty(), format!("cut off from {}", self.cut.join(", ")));
        add_part(self.drop_watches, "dropping watches".into());
        match parts.is_empty() {
            true => "whole".into(),
            false => parts.join(", ").into(),
        }
    }
}

/// Choice of the writes whose answers are lost.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AnswerLoss {
    /// Number of the next writes whose answers are lost for certain; each of them lowers it by one.
    pub count: u64,
    /// Probability that the answer of any further write is lost, from 0 to 1.
    pub probability: f64,
    /// Seed of the random choice.
    pub seed: u64,
}

/// Effect of the injected faults on one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallDecision {
    /// The call takes effect after a delay.
    Accepted {
        /// Time to wait before the call takes effect.
        delay: Duration,
        /// Whether the answer is lost after the call took effect.
        is_answer_lost: bool,
    },
    /// The call is refused with 503 and takes no effect.
    Refused,
    /// The call gets no answer and takes no effect; its connection stays open.
    Unanswered,
    /// The connection is closed and the call takes no effect.
    Closed,
}

/// Applies a fault plan to calls.
pub struct FaultInjector {
    plan: FaultPlan,
    rng: ChaCha8Rng,
}

impl Default for FaultInjector {
    fn default() -> Self {
        Self::new(FaultPlan::default())
    }
}

impl FaultInjector {
    /// Creates an injector for a plan, with the plan's seed for lost answers.
    pub fn new(plan: FaultPlan) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(plan.lose_answers.seed);
        Self { plan, rng }
    }

    /// The plan in force; `lose_answers.count` is what is left of it.
    pub fn plan(&self) -> &FaultPlan {
        &self.plan
    }

    /// Decides the effect on one call; `client` is the name in its `store-client` header.
    pub fn decide_call(&mut self, kind: StoreCallKind, client: &str) -> CallDecision {
        match kind {
            _ if self.plan.silent => CallDecision::Unanswered,
            _ if self.plan.cut.iter().any(|name| **name == *client) => CallDecision::Unanswered,
            _ if self.plan.down => CallDecision::Refused,
            StoreCallKind::Watch if self.plan.drop_watches => CallDecision::Closed,
            _ => CallDecision::Accepted {
                delay: Duration::from_millis(self.plan.delay_ms),
                is_answer_lost: self.draws_answer_loss(kind),
            },
        }
    }

    fn draws_answer_loss(&mut self, kind: StoreCallKind) -> bool {
        let loss = &mut self.plan.lose_answers;
        match kind {
            StoreCallKind::Put | StoreCallKind::Delete if loss.count > 0 => {
                loss.count -= 1;
                true
            }
            StoreCallKind::Put | StoreCallKind::Delete => {
                self.rng.random_bool(loss.probability.clamp(0.0, 1.0))
            }
            _ => false,
        }
    }
}
