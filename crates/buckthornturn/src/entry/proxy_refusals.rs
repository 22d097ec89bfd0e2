//! Refusals by placement, and the time after which refused callers may return.

use std::time::Duration;

use coordination::fleet::PlacementRefusal;
use http::Response;
use http::StatusCode;
use http::header;
use rand::RngExt;

use crate::callers::AnswerBody;
use crate::callers::Refusal;
use crate::callers::full_body;
use crate::entry::ProxyService;
use crate::entry::attempt_runner::PAUSED_REASON;
use crate::entry::proxy_service::unavailable_refusal;

/// Shortest and longest pause in the `Retry-After` of a refusal.
pub(super) const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));

impl ProxyService {
    pub(super) fn placement_refusal(&self, refusal: PlacementRefusal) -> Refusal {
        match refusal {
            PlacementRefusal::NoTarget => unavailable_refusal("no-target"),
            PlacementRefusal::Limited { wait } => {
                Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "target-limits")
                    .retry_after(self.jittered_pause(wait))
            }
            PlacementRefusal::Paused { wait } => {
                let spread =
                    wait.max(RETRY_AFTER_BOUNDS.0).mul_f64(rand::rng().random_range(1.0..1.5));
                Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, PAUSED_REASON).retry_after(spread)
            }
            PlacementRefusal::Busy { wait, .. } => {
                Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "busy")
                    .retry_after(self.jittered_pause(wait))
            }
            PlacementRefusal::Deferred { pause, .. } => {
                Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "deferred")
                    .retry_after(pause.max(RETRY_AFTER_BOUNDS.0))
            }
        }
    }

    /// Adds jitter to a wait, so that refused callers do not retry all at once, and keeps it within the bounds.
    pub(super) fn jittered_pause(&self, wait: Duration) -> Duration {
        let spread = rand::rng().random_range(0.75..1.5);
        wait.mul_f64(spread).clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1)
    }

    pub(super) fn refusal_response(&self, refusal: &Refusal) -> Response<AnswerBody> {
        let mut response = refusal.response();
        if let Some(pause) = refusal.retry_after {
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, self.dialect.format_retry_after(pause));
        }
        response.map(full_body)
    }
}
