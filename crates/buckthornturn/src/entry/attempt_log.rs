//! Log lines of attempts that did not end with a complete answer to a complete request.

use coordination::fleet::RequestFingerprint;
use coordination::ids::HostId;
use http::StatusCode;
use spdlog::info;

use crate::entry::AttemptGuard;
use crate::entry::OutgoingRequest;

/// Logs a target that closed its connection while it may have run the request, as one that crashed does.
pub(super) fn log_closed_connection(
    request: &OutgoingRequest,
    guard: &AttemptGuard,
    fingerprint: RequestFingerprint,
) {
    info!("target closed a connection without an answer", kv: {
        request_id: = request.facts.attempt_id,
        target: = guard.choice().target,
        fingerprint:,
        sent = request.dispatches(),
        took_ms = guard.elapsed().as_millis() as u64
    });
}

/// Logs a request whose body is sent to a further target.
pub(super) fn log_repeated_body(request: &OutgoingRequest, guard: &AttemptGuard) {
    let progress = request.upload.progress();
    info!("request body sent again", kv: {
        request_id: = request.facts.attempt_id,
        target: = guard.choice().target,
        sent = request.dispatches(),
        is_complete = progress.is_complete,
        received_bytes = progress.received_bytes,
        expected_bytes = progress.expected_bytes.unwrap_or_default()
    });
}

/// Logs a request whose body is sent to a further peer.
pub(super) fn log_forwarded_body(request: &OutgoingRequest, peer: &HostId) {
    info!("request body sent to another peer", kv: {
        request_id: = request.facts.attempt_id,
        peer:,
        received_bytes = request.upload.received_bytes()
    });
}

/// Logs a request that could go to a further target if the start of its body were still there.
pub(super) fn log_lost_body(request: &OutgoingRequest) {
    info!("request body cannot be sent again", kv: {
        request_id: = request.facts.attempt_id,
        sent = request.dispatches(),
        received_bytes = request.upload.received_bytes()
    });
}

/// Logs a request whose body ended early, if it did.
pub(super) fn log_body_fault(request: &OutgoingRequest) {
    if let Some(fault) = request.upload.fault() {
        info!("request body ended early", kv: {
            request_id: = request.facts.attempt_id,
            received_bytes = request.upload.received_bytes(),
            reason: = fault
        });
    }
}

/// Logs an answer that came before its connection had taken the whole request.
pub(super) fn log_early_answer(
    request: &OutgoingRequest,
    guard: &AttemptGuard,
    status: StatusCode,
) {
    let progress = request.upload.progress();
    info!("target answered before the end of the request body", kv: {
        request_id: = request.facts.attempt_id,
        target: = guard.choice().target,
        status = status.as_u16(),
        received_bytes = progress.received_bytes,
        expected_bytes = progress.expected_bytes.unwrap_or_default()
    });
}
