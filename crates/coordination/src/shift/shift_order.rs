//! Order to drain or refill failure domains.

use std::time::SystemTime;

use indexmap::IndexMap;

use crate::ids::DomainId;
use crate::shift::ShiftPosition;

/// Direction in which an order moves traffic.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ShiftDirection {
    /// Away from the failure domains, for as long as the order exists.
    Away,
    /// Back to the failure domains, unless another order keeps their traffic away.
    Back,
}

/// An order to move a service's traffic away from failure domains or back to them.
#[derive(Clone, Debug, PartialEq)]
pub struct ShiftOrder {
    /// Name of the order, unique within a `ShiftInput`; decides between orders of the same start.
    pub name: Box<str>,
    /// Whether traffic moves away or back.
    pub direction: ShiftDirection,
    /// Time at which the order takes effect.
    pub start: SystemTime,
    /// Time by which the targets have to be free; the earliest deadline is served first, orders without one last.
    pub deadline: Option<SystemTime>,
    /// Failure domains, each with its position at the start of the order if that was recorded.
    pub domains: IndexMap<DomainId, Option<ShiftPosition>>,
}
