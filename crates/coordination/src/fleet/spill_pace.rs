//! How fast the share of requests that run outside their region may change.

use std::time::Duration;

/// Span over which the share of a region's requests that runs in another one is compared with the span before.
const SHIFT_WINDOW: Duration = Duration::from_secs(2);
/// Part of the largest change that is used. The rest is for the scatter of windows with few requests.
const USED_PART: f64 = 0.8;
/// Parts of the used change: growth by the load of the region, and the approach to the mean of its hosts.
const GROWTH_PART: f64 = 2.0 / 3.0;
const APPROACH_PART: f64 = 1.0 / 3.0;
/// Pace of a decline, as a part of that of growth. Its requests are served where they are, so that it leaves more margin.
const DECLINE_PART: f64 = 0.75;

/// Largest changes of the share of requests outside their region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpillPace {
    /// Change a second, by all causes together.
    per_second: f64,
}

impl SpillPace {
    /// Returns the pace at which no more than `max_shift`, 0 to 1, of a region's requests run elsewhere than in the two seconds
    /// before.
    pub fn new(max_shift: f64) -> Self {
        Self { per_second: max_shift.clamp(0.0, 1.0) / SHIFT_WINDOW.as_secs_f64() * USED_PART }
    }

    /// Fastest growth a second.
    pub(super) fn growth(&self) -> f64 {
        self.per_second * GROWTH_PART
    }

    /// Fastest decline a second.
    pub(super) fn decline(&self) -> f64 {
        self.growth() * DECLINE_PART
    }

    /// Fastest approach a second to the mean of the region's hosts.
    pub(super) fn approach(&self) -> f64 {
        self.per_second * APPROACH_PART
    }
}

impl Default for SpillPace {
    /// At most 0.15 from one span of two seconds to the next.
    fn default() -> Self {
        Self::new(0.15)
    }
}
