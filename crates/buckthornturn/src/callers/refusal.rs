//! Refusals of requests, and the responses that tell callers about them.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde_json::json;

use crate::interface::AdmissionRefusal;

/// Header that says whether a refused request may have run: `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "buckthornturn-outcome";

/// Value of that header for a request that has certainly not run.
pub const NOT_RUN: &str = "not-run";

/// Refusal of a request, sent to the caller as a problem document.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Machine-readable name of the reason, also used in logs and metrics.
    pub reason: &'static str,
    /// Whether it is certain that no byte of the request has reached a target, or that the target did not run it.
    /// `false` means that the request may have run.
    pub not_run: bool,
    /// Time after which the caller may try again; `None` sends no `Retry-After` header.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request that has certainly not run.
    pub(crate) fn not_run(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, not_run: true, retry_after: None }
    }

    /// Refuses a request that may have run.
    pub(crate) fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, not_run: false, retry_after: None }
    }

    /// Sets the time after which the caller may try again.
    pub(crate) fn retry_after(self, wait: Duration) -> Self {
        Self { retry_after: Some(wait), ..self }
    }

    /// Changes the outcome to unknown, for a request that may have run through another host.
    pub(crate) fn with_unknown_outcome(self) -> Self {
        Self { not_run: false, ..self }
    }

    /// Response to the caller: a problem document. `Retry-After` is rounded up to whole seconds.
    pub fn response(&self) -> Response<Bytes> {
        let body = json!({
            "type": format!("urn:buckthornturn:{}", self.reason),
            "title": self.reason,
            "status": self.status.as_u16(),
        });
        let outcome = if self.not_run { NOT_RUN } else { "unknown" };
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
