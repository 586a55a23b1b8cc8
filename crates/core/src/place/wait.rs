//! How long a request waits for a slot at one decode server before it looks again.

use crate::time::Instant;
use std::time::Duration;

/// Longest wait at one server.
pub const WAIT_MAX: Duration = Duration::from_millis(250);
/// Longest wait of a request that can't meet its latency target any more, so that it stands in
/// nobody's way.
pub const LATE_WAIT_MAX: Duration = Duration::from_millis(50);

/// The longest wait for a slot at one server, given when the request's turn must come for its
/// target, and how much of its deadline is left.
pub fn max_wait(now: Instant, target: Instant, remaining: Duration) -> Duration {
    let until_target = target.since(now);
    let wait = if until_target.is_zero() { LATE_WAIT_MAX } else { until_target.min(WAIT_MAX) };
    wait.min(remaining)
}
