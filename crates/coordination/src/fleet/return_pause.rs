//! Times after which refused callers may come back.

use std::time::Duration;

/// Shortest span over which callers that are refused for the same cause come back.
const MIN_SPREAD: Duration = Duration::from_millis(100);
/// Part of the time left up to which callers honour a time that they are told.
const HONOURED_SHARE: f64 = 1.0 / 3.0;
/// Longest time until a refusal reaches its caller, who has less time left then.
const REFUSAL_TRIP: Duration = Duration::from_millis(50);

/// Returns a time after the end of a cause that ends in `wait`, so that callers don't come back all at once. `part` is a random
/// number from 0 to 1.
pub fn pause_after(wait: Duration, part: f64) -> Duration {
    wait + (wait / 2).max(MIN_SPREAD).mul_f64(part.clamp(0.0, 1.0))
}

/// Returns the time after which the caller of a request with `time_left` may come back if the end of the cause is not known: the
/// latest one that callers honour, which leaves time to answer them.
pub fn longest_pause(time_left: Duration) -> Duration {
    time_left.saturating_sub(REFUSAL_TRIP).mul_f64(HONOURED_SHARE)
}
