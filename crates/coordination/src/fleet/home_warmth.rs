//! How often an object turns out to be warm on its home, the first-ranked target that all hosts prefer for it.

/// Weight of the latest answer in the average: about the answers that a host of a large fleet gets in five seconds.
const ANSWER_WEIGHT: f64 = 0.05;
/// Upper bound of the likelihood, as homes change with the targets.
const MAX_LIKELIHOOD: f64 = 0.95;

/// Moving average over answers of homes to which this host sent no request for the object recently.
///
/// In a fleet of hundreds of hosts, one host rarely sends the same object twice, and only this average tells it that
/// the others keep the object warm.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HomeWarmth {
    share: Option<f64>,
}

impl HomeWarmth {
    /// Records whether the object of an answered request was warm. `prior` is the likelihood assumed before.
    pub(super) fn record(&mut self, is_warm: bool, prior: f64) {
        let share = self.share.unwrap_or(prior);
        self.share = Some(share + ANSWER_WEIGHT * (f64::from(u8::from(is_warm)) - share));
    }

    /// Returns the likelihood, 0 to 1, that an object is warm on its home; at least `prior`, because an object becomes
    /// warm there only if hosts keep sending its requests there.
    pub(super) fn likelihood(&self, prior: f64) -> f64 {
        self.share.map_or(prior, |share| share.clamp(prior, MAX_LIKELIHOOD.max(prior)))
    }
}
