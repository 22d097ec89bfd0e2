//! Refusals by placement, and the time after which refused callers may return.

use std::time::Duration;

use coordination::fleet::PlacementRefusal;
use coordination::fleet::longest_pause;
use coordination::fleet::pause_after;
use http::Response;
use http::StatusCode;
use http::header;
use rand::RngExt;

use crate::callers::AnswerBody;
use crate::callers::Refusal;
use crate::callers::full_body;
use crate::entry::ProxyService;
use crate::entry::attempt_runner::PAUSED_REASON;

impl ProxyService {
    /// Refusal by placement of a request that has `time_left`. Its `Retry-After` is the time at which its cause ends.
    pub(super) fn placement_refusal(
        &self,
        refusal: PlacementRefusal,
        time_left: Duration,
    ) -> Refusal {
        let (reason, pause) = match refusal {
            PlacementRefusal::NoTarget => ("no-target", longest_pause(time_left)),
            PlacementRefusal::Limited { wait } => ("target-limits", spread_pause(wait)),
            PlacementRefusal::Paused { wait } => (PAUSED_REASON, spread_pause(wait)),
            PlacementRefusal::Busy { pause, .. } => ("busy", pause),
            PlacementRefusal::Deferred { pause, .. } => ("deferred", pause),
        };
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(pause)
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

/// Time after `wait` at which the caller may come back, spread so that refused callers don't return all at once.
pub(super) fn spread_pause(wait: Duration) -> Duration {
    pause_after(wait, rand::rng().random_range(0.0..1.0))
}

/// Refusal for a cause of this host alone: the caller may go to another host at once.
pub(super) fn unavailable_refusal(reason: &'static str) -> Refusal {
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
        .retry_after(spread_pause(Duration::ZERO))
}
