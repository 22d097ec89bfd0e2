//! Progress of a failure domain's drain.

/// How far a failure domain is drained, for one service.
///
/// The hosts of the domain first send the traffic of its targets elsewhere. Once the targets are free, the callers are
/// steered to other hosts. The share of traffic that has moved is therefore known even if callers ignore steering, and
/// each of the two moves stays under the cap.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ShiftPosition(f64);

impl ShiftPosition {
    /// No traffic and no callers have moved.
    pub const UNDRAINED: Self = Self(1.0);
    /// The targets get no traffic, but the hosts still get all of their callers.
    pub const TARGETS_FREE: Self = Self(0.0);
    /// The targets get no traffic and no callers are steered to the hosts.
    pub const DRAINED: Self = Self(-1.0);

    /// Creates a position from 1 (nothing has moved) through 0 (targets free) to -1 (callers moved too). Other values
    /// are clamped; a value that is not finite counts as `UNDRAINED`.
    pub fn new(value: f64) -> Self {
        match value.is_finite() {
            true => Self(value.clamp(-1.0, 1.0)),
            false => Self::UNDRAINED,
        }
    }

    /// Numeric position, from 1 (nothing has moved) to -1 (callers moved too).
    pub fn value(self) -> f64 {
        self.0
    }

    /// Share of their usual traffic that the domain's targets get, 0 to 1.
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
