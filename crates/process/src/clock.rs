//! The host's monotonic clock, which also advances while the process is stopped or the host is
//! suspended.

use chestnutrack_core::time::Instant;
use nix::time::{ClockId, clock_gettime};

/// Nanoseconds in a microsecond.
const NANOS_PER_MICRO: u64 = 1_000;
/// Microseconds in a second.
const MICROS_PER_S: u64 = 1_000_000;

/// Returns the current time, counted from the host's boot, or zero if the clock can't be read.
pub fn now() -> Instant {
    let Ok(time) = clock_gettime(ClockId::CLOCK_BOOTTIME) else {
        return Instant::default();
    };
    let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec()).unwrap_or(0);
    Instant(seconds * MICROS_PER_S + nanos / NANOS_PER_MICRO)
}
