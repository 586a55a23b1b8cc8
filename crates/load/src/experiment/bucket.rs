//! Token bucket that counts the requests of an organisation at all entry hosts, to tell which of
//! them are within its rate and burst.

use std::time::Duration;

/// Token bucket that starts full.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    rate_per_s: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl Bucket {
    pub(super) fn new(rate_per_s: u64, capacity: u64) -> Bucket {
        let capacity = capacity as f64;
        Bucket {
            rate_per_s: rate_per_s as f64,
            capacity,
            tokens: capacity,
            refilled_at: Duration::ZERO,
        }
    }

    /// Removes `tokens` and returns `true`, or returns `false` if the bucket holds fewer at time
    /// `at`. Successive times must not decrease.
    pub(super) fn try_take(&mut self, at: Duration, tokens: u64) -> bool {
        let refilled = at.saturating_sub(self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + refilled).min(self.capacity);
        self.refilled_at = at;
        let tokens = tokens as f64;
        let is_covered = self.tokens >= tokens;
        if is_covered {
            self.tokens -= tokens;
        }
        is_covered
    }
}
