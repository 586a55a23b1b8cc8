//! Circuit breaking: decides from a backend server's failures whether it may get requests. From a
//! number of consecutive failures on, the server counts as failing and is avoided for a backoff;
//! after that, single trial requests find out whether it answers again.

use crate::time::Instant;
use std::time::Duration;

/// Consecutive failures after which a server is avoided.
pub const FAILURE_THRESHOLD: u32 = 2;
/// Shortest and longest time for which a failing server is avoided.
pub const FAILURE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(2_000));

/// Shortest and longest time for which an unreachable server is avoided.
pub const UNREACHABLE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_millis(4_000));
/// Shortest and longest time for which a server is avoided that refused for lack of room although
/// it was expected to have room.
pub const REFUSAL_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(4_000));
/// Time for which other requests avoid a failing server that has just been sent a request after its
/// backoff (a trial), until the outcome is known.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Consecutive failures of a backend server since its last answer, and the resulting backoff.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// Failures since the last answer; at least the threshold while the server counts as failing.
    consecutive_failures: u32,
    /// When the backoff after the last failure, or the wait for a trial, ends.
    avoided_until: Instant,
    /// When the server last failed.
    failed_at: Option<Instant>,
}

impl Health {
    /// Returns whether the server may get a request. After its backoff, a failing server gets one
    /// request at a time until one is answered.
    pub fn is_available(&self, now: Instant, in_flight: u32) -> bool {
        let is_failing = self.consecutive_failures >= FAILURE_THRESHOLD;
        !is_failing || (self.avoided_until <= now && in_flight == 0)
    }

    /// Returns whether the server may get a request, for callers that report each request with
    /// [`Health::record_request`], which keeps others away from a failing server meanwhile.
    pub fn may_try(&self, now: Instant) -> bool {
        self.consecutive_failures < FAILURE_THRESHOLD || self.avoided_until <= now
    }

    /// Records that a request is sent to the server. If the server counts as failing, the request
    /// is a trial, and other requests avoid the server until its outcome is recorded or
    /// a timeout is over.
    pub fn record_request(&mut self, now: Instant) {
        if self.consecutive_failures >= FAILURE_THRESHOLD {
            self.avoided_until = self.avoided_until.max(now + TRIAL_TIMEOUT);
        }
    }

    /// Records a failure. From the threshold on, each further failure doubles the backoff.
    pub fn record_failure(&mut self, now: Instant) {
        self.record_failure_with(now, FAILURE_BACKOFF);
    }

    /// Records that the server is unreachable. It is avoided at once, and with a longer backoff.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.consecutive_failures = self.consecutive_failures.max(FAILURE_THRESHOLD - 1);
        self.record_failure_with(now, UNREACHABLE_BACKOFF);
    }

    /// Records that the server refused for lack of room although it was expected to have room. What
    /// is known of its load is wrong, so it is avoided at once.
    pub fn record_refusal(&mut self, now: Instant) {
        self.consecutive_failures = self.consecutive_failures.max(FAILURE_THRESHOLD - 1);
        self.record_failure_with(now, REFUSAL_BACKOFF);
    }

    /// Records a failure with the given bounds of the backoff. The backoff is the shortest up to
    /// the threshold, and doubles with each further failure up to the longest.
    fn record_failure_with(&mut self, now: Instant, (shortest, longest): (Duration, Duration)) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let doublings = self.consecutive_failures.saturating_sub(FAILURE_THRESHOLD).min(16);
        self.avoided_until = now + (shortest * (1 << doublings)).min(longest);
        self.failed_at = Some(now);
    }

    /// Returns whether the server failed less than `window` ago, even if it has answered since.
    pub fn failed_within(&self, now: Instant, window: Duration) -> bool {
        self.failed_at.is_some_and(|failed_at| now.since(failed_at) < window)
    }

    /// Returns whether the server is avoided now.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.consecutive_failures >= FAILURE_THRESHOLD && now < self.avoided_until
    }

    /// Records an answer, which resets the consecutive failures.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }
}
