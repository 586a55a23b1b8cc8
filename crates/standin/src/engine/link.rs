//! Network link of limited bandwidth. Concurrent transfers share it by taking turns, a chunk each.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Time that one chunk occupies the link.
pub(super) const CHUNK_DURATION: Duration = Duration::from_millis(4);

/// A link in one direction, whose chunks pass one after the other.
pub(super) struct Link {
    /// Bandwidth in bytes per second of real time.
    bytes_per_s: f64,
    /// Time at which the last reserved chunk has passed.
    free_at: Mutex<Instant>,
}

impl Link {
    /// Creates a link with a bandwidth in bytes per second of real time.
    pub(super) fn new(bytes_per_s: f64) -> Link {
        Link { bytes_per_s, free_at: Mutex::new(Instant::now()) }
    }

    /// Returns the size of a chunk, in bytes.
    pub(super) fn chunk_bytes(&self) -> u64 {
        (self.bytes_per_s * CHUNK_DURATION.as_secs_f64()).max(1.0) as u64
    }

    /// Waits until transfers aren't stalled and then until `bytes` have passed the link.
    pub(super) async fn transfer(&self, bytes: u64, stalled: &watch::Sender<bool>) {
        let _ = stalled.subscribe().wait_for(|stalled| !stalled).await;
        sleep_until(self.reserve(bytes)).await;
    }

    /// Reserves the link for `bytes` after all earlier reservations; returns when they have passed.
    fn reserve(&self, bytes: u64) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let transfer_duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *free_at = (*free_at).max(Instant::now()) + transfer_duration;
        *free_at
    }
}
