//! A token bucket over the whole fleet, as the caller sees it: what its organisation may send.

use std::time::Duration;

/// A token bucket that starts full.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    at: Duration,
}

impl Bucket {
    pub(super) fn new(rate_per_s: u64, burst: u64) -> Bucket {
        let burst = burst as f64;
        Bucket { rate_per_s: rate_per_s as f64, burst, tokens: burst, at: Duration::ZERO }
    }

    /// Takes tokens at a moment, if they are there; moments only grow.
    pub(super) fn take(&mut self, at: Duration, tokens: u64) -> bool {
        let gained = at.saturating_sub(self.at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.at = at;
        let tokens = tokens as f64;
        let enough = self.tokens >= tokens;
        if enough {
            self.tokens -= tokens;
        }
        enough
    }
}
