//! Configurable behaviour of a target.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Behaviour of a target, set at its start and through `PUT /control`, which keeps the fields that are left out.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetBehaviour {
    /// Number of requests executed at once; further ones are shed.
    pub slots: u32,
    /// Duration of one request on a warm target, in milliseconds.
    pub work_ms: u64,
    /// Factor by which requests take longer at the start; values below 1 count as 1.
    pub cold_factor: f64,
    /// Number of requests executed until the target is warm.
    pub cold_requests: u64,
    /// Seconds from the start until the target is warm; the later of this and `cold_requests` applies.
    pub cold_seconds: u64,
    /// Whether the health report says that the target is draining; requests are still executed.
    pub draining: bool,
    /// Share of requests shed at random although slots are free, in percent.
    pub shed_percent: f64,
    /// Share of requests with a body that are shed before the body is read, in percent. The connection is kept and the rest is
    /// read.
    pub refuse_early_percent: f64,
    /// Whether requests occupy slots and are never answered; health reports are not answered either.
    pub hang: bool,
    /// HTTP status returned at once instead of execution; 0 for none.
    pub fail_status: u16,
    /// Deviations of the health report from the actual state.
    pub report: ReportOverride,
}

/// Deviations of the health report from the actual state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportOverride {
    /// Age of the load that is reported, in milliseconds.
    pub lag_ms: u64,
    /// Whether requests for the health report get no answer.
    pub absent: bool,
    /// Health that is reported; `None` reports healthy.
    pub healthy: Option<bool>,
    /// Requests in flight reported instead of the actual number; `None` reports the actual number.
    pub in_flight: Option<u32>,
}

impl Default for TargetBehaviour {
    fn default() -> Self {
        Self {
            slots: 4,
            work_ms: 5,
            cold_factor: 1.0,
            cold_requests: 0,
            cold_seconds: 0,
            draining: false,
            shed_percent: 0.0,
            refuse_early_percent: 0.0,
            hang: false,
            fail_status: 0,
            report: ReportOverride::default(),
        }
    }
}

impl TargetBehaviour {
    /// Duration of one request on a warm target.
    pub fn work_duration(&self) -> Duration {
        Duration::from_millis(self.work_ms)
    }
}
