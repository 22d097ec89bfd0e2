//! Bounds how fast the share of requests that run outside their region changes. Answers waves and starts, where all hosts of
//! a region would send their surplus elsewhere within a second, and fetch it back within the next.

use std::time::Duration;
use std::time::Instant;

/// Fastest change of the share, a second. The platform allows 0.15 in two seconds (`max_region_shift`); the rest covers that
/// windows of few requests scatter.
const USUAL_RATE: f64 = 0.05;
/// Fastest change while targets of the region were lost, when nothing else can serve their callers.
const LOSS_RATE: f64 = 1.0;
/// Time after the loss of a target of the region in which the faster change holds.
const LOSS_TIME: Duration = Duration::from_secs(4);
/// Weight of the latest request in the share that is wanted.
const LATEST: f64 = 0.04;
/// Requests by which the actual share may run ahead of or behind the allowed one.
const MAX_LEAD: f64 = 2.0;

/// Where a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpillRule {
    /// Where it is served best.
    Free,
    /// Only in the region.
    Inside,
    /// Only outside, if it can be served there.
    Outside,
}

/// The share of a host's requests that may run outside the region.
#[derive(Clone, Debug)]
pub struct SpillBand {
    allowed: f64,
    wanted: f64,
    lead: f64,
    moved_at: Instant,
    lost_at: Option<Instant>,
}

impl SpillBand {
    /// A band that starts with all requests inside.
    pub fn new(now: Instant) -> Self {
        Self { allowed: 0.0, wanted: 0.0, lead: 0.0, moved_at: now, lost_at: None }
    }

    /// A target of the region was lost.
    pub fn target_lost(&mut self, now: Instant) {
        self.lost_at = Some(now);
    }

    /// Decides on a request that would be served best outside or inside.
    pub fn rule(&mut self, is_best_outside: bool, now: Instant) -> SpillRule {
        let wish = f64::from(u8::from(is_best_outside));
        self.wanted += LATEST * (wish - self.wanted);
        self.step(now);
        match is_best_outside {
            true if self.lead + self.allowed < 0.5 => SpillRule::Inside,
            false if self.lead + self.allowed > 1.5 => SpillRule::Outside,
            _ => SpillRule::Free,
        }
    }

    /// Counts a request that was placed.
    pub fn placed(&mut self, is_outside: bool) {
        let ran = f64::from(u8::from(is_outside));
        self.lead = (self.lead + self.allowed - ran).clamp(-MAX_LEAD, MAX_LEAD);
    }

    /// Share that is allowed now.
    pub fn allowed(&self) -> f64 {
        self.allowed
    }

    fn step(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.moved_at).as_secs_f64();
        self.moved_at = now;
        let is_loss = self.lost_at.is_some_and(|at| now.saturating_duration_since(at) < LOSS_TIME);
        let most = elapsed.min(1.0) * if is_loss { LOSS_RATE } else { USUAL_RATE };
        self.allowed += (self.wanted - self.allowed).clamp(-most, most);
    }
}
