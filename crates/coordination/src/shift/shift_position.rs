//! Shift position.

/// How far a failure domain has been drained, for one service.
///
/// The traffic of its targets moves first, in the same domain's hosts; the callers of these hosts follow
/// once the targets are free. So the share of traffic that has moved is known whether or not callers
/// follow what they are told, and both moves are kept under the cap one after the other.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ShiftPosition(f64);

impl ShiftPosition {
    /// Nothing has moved.
    pub const UNDRAINED: Self = Self(1.0);
    /// The targets are free; no caller has been moved yet.
    pub const TARGETS_FREE: Self = Self(0.0);
    /// The targets are free and no caller is sent here.
    pub const DRAINED: Self = Self(-1.0);

    /// A position from 1 (nothing has moved) through 0 (targets free) to -1 (callers moved too).
    pub fn new(value: f64) -> Self {
        match value.is_finite() {
            true => Self(value.clamp(-1.0, 1.0)),
            false => Self::UNDRAINED,
        }
    }

    /// The number from 1 to -1.
    pub fn value(self) -> f64 {
        self.0
    }

    /// Share of its usual traffic that the domain's targets get, 0 to 1.
    pub fn traffic_weight(self) -> f64 {
        self.0.max(0.0)
    }

    /// Share of their usual callers that the domain's hosts get, 0 to 1.
    pub fn caller_weight(self) -> f64 {
        (1.0 + self.0).min(1.0)
    }
}

impl Default for ShiftPosition {
    fn default() -> Self {
        Self::UNDRAINED
    }
}
