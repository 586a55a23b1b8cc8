//! Growing, jittered pauses between retries.

use std::time::Duration;

/// Pauses after failures in a row.
#[derive(Clone, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Pauses that double from `min` up to `max`.
    pub fn new(min: Duration, max: Duration) -> Backoff {
        Backoff { min, max, failures: 0 }
    }

    /// Notes a failure; returns whether it is the first in a row.
    pub fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// Notes a success; returns whether it ends a row of failures.
    pub fn record_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// The pause before the next try: between half and the whole of what the failures call for.
    pub fn pause(&self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        let whole = self.min.saturating_mul(1 << doublings).min(self.max);
        jittered(whole)
    }
}

/// Between half of a pause and all of it, so that many processes don't call in step.
pub fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..=1.0))
}
