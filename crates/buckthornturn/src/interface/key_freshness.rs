//! Age of the state of keys.

use std::time::Duration;

/// Time since the state of keys on this host was confirmed to include every accepted change, such as a withdrawal.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyFreshness {
    /// Age of the latest confirmation; `None` if there was none.
    pub age: Option<Duration>,
    /// Origin of the confirmation: `store`, the host that passed on its own confirmation, or `members` if several hosts
    /// were asked; `none` if there was none.
    pub source: Box<str>,
}
