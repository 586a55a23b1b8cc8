//! Exponential backoff with jitter.

use std::time::Duration;

/// Computes the pause before the next retry from the number of consecutive failures.
#[derive(Clone, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose pause starts at `min` and doubles with each failure up to `max`.
    pub fn new(min: Duration, max: Duration) -> Backoff {
        Backoff { min, max, failures: 0 }
    }

    /// Records a failure. Returns `true` if it is the first since the last success.
    pub fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// Records a success. Returns `true` if the previous call failed.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Returns the pause before the next retry: a random duration between half and all of the
    /// exponential delay for the current number of failures.
    pub fn pause(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        let delay = self.min.saturating_mul(1 << doublings).min(self.max);
        jittered(delay)
    }
}

/// Returns a random duration between half of `pause` and all of it, so that many processes don't
/// call at the same moments.
pub fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..=1.0))
}
