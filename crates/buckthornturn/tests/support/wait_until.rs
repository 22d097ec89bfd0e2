//! Waiting for what comes true by and by.

use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until something holds, ten seconds at most.
pub async fn wait_until(condition: &str, is_met: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if is_met() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("condition not met within 10 s: {condition}");
}
