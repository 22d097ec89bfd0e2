//! Refusals as callers see them.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde_json::json;

use crate::interface::AdmissionRefusal;

/// Header that says whether a refused request has run.
pub const OUTCOME_HEADER: &str = "buckthornturn-outcome";

/// A refusal.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Status.
    pub status: StatusCode,
    /// Short name of the reason, for machines.
    pub reason: &'static str,
    /// Whether it is certain that no byte of the request has reached a target.
    pub not_run: bool,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request of which no byte has reached a target.
    pub(crate) fn not_run(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, not_run: true, retry_after: None }
    }

    /// A refusal of a request that may have run.
    pub(crate) fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, not_run: false, retry_after: None }
    }

    /// The same refusal with the time to come back after.
    pub(crate) fn retry_after(self, wait: Duration) -> Self {
        Self { retry_after: Some(wait), ..self }
    }

    /// The same refusal of a request that may have run through another host.
    pub(crate) fn with_unknown_outcome(self) -> Self {
        Self { not_run: false, ..self }
    }

    /// The answer to the caller.
    pub fn response(&self) -> Response<Bytes> {
        let body = json!({
            "type": format!("urn:buckthornturn:{}", self.reason),
            "title": self.reason,
            "status": self.status.as_u16(),
        });
        let outcome = if self.not_run { "not-run" } else { "unknown" };
        let mut response = Response::new(Bytes::from(body.to_string()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

impl From<AdmissionRefusal> for Refusal {
    fn from(refusal: AdmissionRefusal) -> Self {
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        let (status, reason, retry_after) = match refusal {
            AdmissionRefusal::RateExceeded { retry_after } => {
                (StatusCode::TOO_MANY_REQUESTS, "rate-exceeded", Some(retry_after))
            }
            AdmissionRefusal::NoCapacity { retry_after } => {
                (unavailable, "no-capacity", Some(retry_after))
            }
            AdmissionRefusal::QueueFull { retry_after } => {
                (unavailable, "queue-full", Some(retry_after))
            }
            AdmissionRefusal::NoTarget { retry_after } => {
                (unavailable, "no-target", Some(retry_after))
            }
            AdmissionRefusal::NoConfiguration { retry_after } => {
                (unavailable, "no-configuration", Some(retry_after))
            }
            AdmissionRefusal::RetryBudget => (unavailable, "retry-budget", None),
        };
        Self { status, reason, not_run: true, retry_after }
    }
}
