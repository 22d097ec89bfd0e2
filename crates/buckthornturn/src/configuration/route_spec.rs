//! Routes: how requests with a path prefix are handled.

use std::time::Duration;

use coordination::ids::RouteId;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::PriorityClass;

const DEFAULT_DEADLINE_MS: u64 = 10_000;
const DEFAULT_MAX_BODY_BYTES: u64 = 1 << 30;

/// A route of a service: requests whose path has a prefix, and how they are handled.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Name of the route, unique within its service.
    pub name: RouteId,
    /// Path prefix that starts with `/`. It matches whole path segments only.
    pub path_prefix: Box<str>,
    /// Whether callers without a key are served; false if not given.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may be executed more than once without harm; false if not given.
    #[serde(default)]
    pub repeatable: bool,
    /// Class that decides which requests are served first when slots or link bandwidth are short.
    #[serde(default)]
    pub priority: PriorityClass,
    /// Maximum time from the arrival of a request to the first byte of its answer, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
}

impl RouteSpec {
    /// Maximum time from the arrival of a request to the first byte of its answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

fn default_deadline_ms() -> u64 {
    DEFAULT_DEADLINE_MS
}

fn default_max_body_bytes() -> u64 {
    DEFAULT_MAX_BODY_BYTES
}
