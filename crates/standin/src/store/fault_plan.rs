//! Faults of the store.

use std::time::Duration;

use buckthornturn::store::StoreCallKind;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

/// Faults in force; the default is none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Every call is refused with 503.
    pub down: bool,
    /// No call is answered; the caller waits until it gives up.
    pub silent: bool,
    /// Time added to each call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Writes that take effect, of which the answer is lost.
    pub lose_answers: AnswerLoss,
    /// Clients that are cut off: their calls are neither taken nor answered.
    pub cut: Vec<Box<str>>,
    /// Watches are closed without an answer.
    pub drop_watches: bool,
}

impl FaultPlan {
    /// The faults in force in a few words.
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

/// Which answers of writes are lost.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AnswerLoss {
    /// Answers that are lost next, for certain.
    pub count: u64,
    /// Probability that an answer is lost.
    pub probability: f64,
    /// Seed of the choice.
    pub seed: u64,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallDecision {
    /// It is taken after a delay.
    Accepted {
        /// Delay.
        delay: Duration,
        /// Whether its answer is lost after it took effect.
        is_answer_lost: bool,
    },
    /// It is refused with 503.
    Refused,
    /// It gets no answer and takes no effect.
    Unanswered,
    /// Its connection is closed; it takes no effect.
    Closed,
}

/// Decides the fate of calls by a plan.
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
    /// A switch that follows a plan.
    pub fn new(plan: FaultPlan) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(plan.lose_answers.seed);
        Self { plan, rng }
    }

    /// The plan as it stands.
    pub fn plan(&self) -> &FaultPlan {
        &self.plan
    }

    /// Decides the fate of one call.
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
