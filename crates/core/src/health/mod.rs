//! Whether a backend server may be tried, as far as its failures say.

use crate::time::Instant;
use std::time::Duration;

/// Failures in a row after which a server is passed over.
pub const FAILURES_MAX: u32 = 2;
/// How long a failing server is passed over: at first, and at most.
pub const FAILING_FOR: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(2_000));

/// Failures of a backend server since it last answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    failing_until: Instant,
}

impl Health {
    /// Whether it may be tried: once the time for which it is passed over has ended, by one
    /// request at a time until one is answered.
    pub fn is_sound(&self, now: Instant, under_way: u32) -> bool {
        let failing = self.failures >= FAILURES_MAX;
        !failing || (self.failing_until <= now && under_way == 0)
    }

    /// Notes a failure; each that follows doubles the time for which the server is passed over.
    pub fn note_failed(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        let doublings = self.failures.saturating_sub(FAILURES_MAX).min(16);
        let passed_over = (FAILING_FOR.0 * (1 << doublings)).min(FAILING_FOR.1);
        self.failing_until = now + passed_over;
    }

    /// Notes that there is no process at its address: it is passed over at once.
    pub fn note_gone(&mut self, now: Instant) {
        self.failures = self.failures.max(FAILURES_MAX - 1);
        self.note_failed(now);
    }

    /// Whether it is passed over now.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.failures >= FAILURES_MAX && now < self.failing_until
    }

    /// Notes an answer.
    pub fn note_answered(&mut self) {
        self.failures = 0;
    }
}
