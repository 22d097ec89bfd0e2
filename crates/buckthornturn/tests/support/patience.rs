//! Waiting for what comes true by and by.

use std::time::Duration;

const PAUSE: Duration = Duration::from_millis(5);

/// Waits until something holds, ten seconds at most.
pub async fn eventually(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("never came true: {what}");
}
