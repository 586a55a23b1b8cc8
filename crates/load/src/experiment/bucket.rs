//! A token bucket over the whole fleet, as the caller sees it: what its organisation may send.

use std::time::Duration;

/// A token bucket that starts full.
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

    /// Takes tokens at a moment, if they are there; moments only grow.
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
