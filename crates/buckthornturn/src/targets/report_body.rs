//! JSON body of the report that a target returns to a poll.

use serde::Deserialize;

/// Largest report body that is read, in bytes.
pub(crate) const MAX_REPORT_BYTES: usize = 4 << 10;

/// The report of a target. A missing field takes a default that keeps the target in service.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub(crate) struct ReportBody {
    /// Whether the target can serve requests; true if absent.
    #[serde(default = "default_healthy")]
    pub(crate) healthy: bool,
    /// Whether the target is shutting down and takes no new requests; false if absent.
    #[serde(default)]
    pub(crate) draining: bool,
    /// Requests that the target is executing; 0 if absent.
    #[serde(default)]
    pub(crate) in_flight: u32,
    /// Requests that the target can execute at once; `None` means the configured number.
    pub(crate) slots: Option<u32>,
}

fn default_healthy() -> bool {
    true
}
