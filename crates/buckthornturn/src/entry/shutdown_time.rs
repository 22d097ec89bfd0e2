//! How long a host that shuts down takes new requests.

use std::time::Duration;

/// Time until the hosts that answer look-ups have heard that this one leaves.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// Returns the time for which new requests are still taken: until callers whose look-up named this host have looked up others,
/// but for at most half of `shutdown`, so that the requests taken last have as long as the first.
pub(super) fn open_time(shutdown: Duration, look_up_life: Duration) -> Duration {
    (look_up_life + NOTICE_TIME).min(shutdown / 2)
}

#[cfg(test)]
#[path = "shutdown_time_tests.rs"]
mod tests;
