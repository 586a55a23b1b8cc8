//! Time as decisions see it: microseconds on one host's clock that goes on while the host sleeps.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A moment on this host's clock. Moments of different hosts can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instant(pub u64);

impl Instant {
    /// A moment so many milliseconds after the clock's zero.
    pub const fn from_millis(millis: u64) -> Instant {
        Instant(millis * 1_000)
    }

    /// Time since an earlier moment; zero if that moment is later.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Milliseconds until a later moment, rounded up; zero if it has passed.
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
