//! Limits how long a request waits for a slot at one decode server before it is placed again.

use crate::time::Instant;
use std::time::Duration;

/// Maximum wait at one server.
pub const WAIT_MAX: Duration = Duration::from_millis(250);
/// Maximum wait of a request that can no longer meet its latency target, kept short so that it
/// doesn't block other requests.
pub const LATE_WAIT_MAX: Duration = Duration::from_millis(50);

/// Returns the maximum wait for a slot at one server. `target` is the time by which the request
/// must be admitted to meet its latency target, `remaining` the time until its deadline.
pub fn max_wait(now: Instant, target: Instant, remaining: Duration) -> Duration {
    let until_target = target.since(now);
    let wait = if until_target.is_zero() { LATE_WAIT_MAX } else { until_target.min(WAIT_MAX) };
    wait.min(remaining)
}
