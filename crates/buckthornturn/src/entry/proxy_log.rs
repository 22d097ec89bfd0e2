//! Log line and metrics of a finished request.

use http::Response;
use spdlog::info;

use crate::callers::AnswerBody;
use crate::callers::Refusal;
use crate::entry::OutgoingRequest;
use crate::entry::ProxyService;
use crate::entry::RequestSample;
use crate::entry::request_record::RequestRecord;
use crate::logging::ROUTINE_MESSAGE;

impl ProxyService {
    /// Counts a finished request and writes its log line.
    pub(super) fn log_request(
        &self,
        request: &OutgoingRequest,
        record: &RequestRecord,
        result: &Result<Response<AnswerBody>, Refusal>,
    ) {
        let (status, reason) = match result {
            Ok(response) => (response.status().as_u16(), "answered"),
            Err(refusal) => (refusal.status.as_u16(), refusal.reason),
        };
        let facts = &request.facts;
        self.state.metrics().count_request(&RequestSample {
            route: &facts.route.name,
            outcome: reason,
            took: facts.arrived_at.elapsed(),
            wait: record.wait,
            sent: request.dispatches(),
        });
        let pause = result.as_ref().err().and_then(|refusal| refusal.retry_after);
        let message = match result {
            Ok(response) if response.status().is_success() => ROUTINE_MESSAGE,
            _ => "request not served",
        };
        info!("{message}", kv: {
            request_id: = facts.attempt_id,
            route: = facts.route.name,
            customer: = facts.customer.as_deref().unwrap_or("-"),
            tokens: = record.tokens,
            service: = record.service.as_deref().unwrap_or("-"),
            target: = record.target.as_deref().unwrap_or("-"),
            peer: = record.peer.as_deref().unwrap_or("-"),
            tries = record.tries,
            sent = request.dispatches(),
            wait_ms = record.wait.as_millis() as u64,
            pause_ms = pause.unwrap_or_default().as_millis() as u64,
            load = record.load,
            pressure = record.pressure,
            object = facts.object_hash.unwrap_or_default(),
            is_warm = record.warmth == "known",
            warmth: = record.warmth,
            expected_ms = record.expected_ms,
            took_ms = facts.arrived_at.elapsed().as_millis() as u64,
            version: = facts.configuration.version,
            state_age_ms = self.state.state_age().as_millis() as u64,
            status:,
            reason:
        });
    }
}
