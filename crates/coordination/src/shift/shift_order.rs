//! Shift order.

use std::time::SystemTime;

use indexmap::IndexMap;

use crate::ids::DomainId;
use crate::shift::ShiftPosition;

/// Which way an order moves traffic.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ShiftDirection {
    /// Off the domains; holds for as long as the order is there.
    Away,
    /// Back onto the domains, unless another order moves them away.
    Back,
}

/// An order to move a service's traffic off or back onto failure domains.
#[derive(Clone, Debug, PartialEq)]
pub struct ShiftOrder {
    /// Name, unique among the orders.
    pub name: Box<str>,
    /// Which way.
    pub direction: ShiftDirection,
    /// Time from which it holds.
    pub start: SystemTime,
    /// Time by which the domains' targets have to be free; earlier ones go first.
    pub deadline: Option<SystemTime>,
    /// Domains, with their positions at the start if those were recorded.
    pub domains: IndexMap<DomainId, Option<ShiftPosition>>,
}
