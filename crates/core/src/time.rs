//! Timestamps that are passed to the decision logic: microseconds on a host's clock, which keeps running
//! while the host sleeps.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A timestamp on this host's clock. Timestamps of different hosts can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instant(pub u64);

impl Instant {
    /// Creates a timestamp `millis` milliseconds after the clock's zero.
    pub const fn from_millis(millis: u64) -> Instant {
        Instant(millis * 1_000)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the milliseconds until `later`, rounded up, or 0 if it has passed.
    pub fn millis_until(self, later: Instant) -> u64 {
        later.0.saturating_sub(self.0).div_ceil(1_000)
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, duration: Duration) -> Instant {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, duration: Duration) -> Instant {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_sub(micros))
    }
}
