//! Polling for a condition.

use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls until a condition is met; panics with its description after about 10 s.
pub async fn wait_until(condition: &str, is_met: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if is_met() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("condition not met within 10 s: {condition}");
}
