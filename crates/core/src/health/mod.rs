//! Whether a backend server may be tried, as far as its failures say.

use crate::time::Instant;
use std::time::Duration;

/// Failures in a row after which a server is passed over.
pub const FAILURE_THRESHOLD: u32 = 2;
/// How long a failing server is passed over: at first, and at most.
pub const FAILURE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(2_000));

/// How long a server that can't be reached is passed over: at first, and at most.
pub const UNREACHABLE_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_millis(4_000));
/// How long a server is passed over that has no room though it seemed to: at first, and at most.
pub const REFUSAL_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(4_000));
/// How long others wait for what a request meets that tries a failing server.
const TRIAL: Duration = Duration::from_millis(500);

/// Failures of a backend server since it last answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    failing_until: Instant,
    failed_at: Option<Instant>,
}

impl Health {
    /// Whether it may be tried: once the time for which it is passed over has ended, by one
    /// request at a time until one is answered.
    pub fn is_available(&self, now: Instant, under_way: u32) -> bool {
        let failing = self.failures >= FAILURE_THRESHOLD;
        !failing || (self.failing_until <= now && under_way == 0)
    }

    /// Whether it may be tried, where whoever tries it says so by [`Health::record_trial`].
    pub fn may_try(&self, now: Instant) -> bool {
        self.failures < FAILURE_THRESHOLD || self.failing_until <= now
    }

    /// Notes that a request goes there: where the server was failing, others wait for its outcome.
    pub fn record_trial(&mut self, now: Instant) {
        if self.failures >= FAILURE_THRESHOLD {
            self.failing_until = self.failing_until.max(now + TRIAL);
        }
    }

    /// Notes a failure; each that follows doubles the time for which the server is passed over.
    pub fn record_failure(&mut self, now: Instant) {
        self.fail(now, FAILURE_BACKOFF);
    }

    /// Notes that it can't be reached: it is passed over at once, and longer.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.failures = self.failures.max(FAILURE_THRESHOLD - 1);
        self.fail(now, UNREACHABLE_BACKOFF);
    }

    /// Notes that it has no room, though it seemed to: what is known of it is wrong, and it is passed
    /// over at once.
    pub fn record_refusal(&mut self, now: Instant) {
        self.failures = self.failures.max(FAILURE_THRESHOLD - 1);
        self.fail(now, REFUSAL_BACKOFF);
    }

    fn fail(&mut self, now: Instant, (first, most): (Duration, Duration)) {
        self.failures = self.failures.saturating_add(1);
        let doublings = self.failures.saturating_sub(FAILURE_THRESHOLD).min(16);
        self.failing_until = now + (first * (1 << doublings)).min(most);
        self.failed_at = Some(now);
    }

    /// Whether it failed within so long, whatever it did since.
    pub fn failed_within(&self, now: Instant, within: Duration) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) < within)
    }

    /// Whether it is passed over now.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.failures >= FAILURE_THRESHOLD && now < self.failing_until
    }

    /// Notes an answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
