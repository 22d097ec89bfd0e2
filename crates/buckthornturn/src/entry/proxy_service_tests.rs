use http::StatusCode;

use super::timeout_refusal;

#[test]
fn a_request_whose_time_is_over_before_any_dispatch_has_not_run() {
    let refusal = timeout_refusal(0);
    assert!(refusal.not_run && refusal.retry_after.is_some());
    assert_eq!(refusal.status, StatusCode::SERVICE_UNAVAILABLE);
}

#[test]
fn a_request_whose_time_is_over_after_a_dispatch_may_have_run() {
    let refusal = timeout_refusal(1);
    assert!(!refusal.not_run && refusal.retry_after.is_none());
    assert_eq!(refusal.status, StatusCode::GATEWAY_TIMEOUT);
}
