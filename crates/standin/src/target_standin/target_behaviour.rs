//! How a target behaves.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How a target behaves; set at start and through `/control`, where fields that are left out stay as they are.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetBehaviour {
    /// Requests it runs at once; further ones are shed.
    pub slots: u32,
    /// Time that one request takes when warm, in milliseconds.
    pub work_ms: u64,
    /// How many times slower it is at first.
    pub cold_factor: f64,
    /// Requests until it is warm.
    pub cold_requests: u64,
    /// Seconds until it is warm; the later of the two counts.
    pub cold_seconds: u64,
    /// Whether it says that it is draining.
    pub draining: bool,
    /// Share of requests that it sheds without need, in percent.
    pub shed_percent: f64,
    /// Whether it takes requests and never answers.
    pub hang: bool,
    /// Status that it answers at once in place of working; 0 for none.
    pub fail_status: u16,
    /// Health and load report.
    pub report: ReportOverride,
}

/// How the health and load report departs from the truth.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportOverride {
    /// Age of what it says, in milliseconds.
    pub lag_ms: u64,
    /// Whether it gives no answer at all.
    pub absent: bool,
    /// Health that it claims.
    pub healthy: Option<bool>,
    /// Requests in flight that it claims.
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
            hang: false,
            fail_status: 0,
            report: ReportOverride::default(),
        }
    }
}

impl TargetBehaviour {
    /// Time that one request takes when warm.
    pub fn work_duration(&self) -> Duration {
        Duration::from_millis(self.work_ms)
    }
}
