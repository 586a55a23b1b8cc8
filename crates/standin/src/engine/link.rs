//! A link of limited rate that transfers share, a chunk each in turn.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Time on the link that one chunk takes.
pub(super) const CHUNK: Duration = Duration::from_millis(4);

pub(super) struct Link {
    bytes_per_s: f64,
    free: Mutex<Instant>,
}

impl Link {
    /// A link with a rate in real bytes a second.
    pub(super) fn new(bytes_per_s: f64) -> Link {
        Link { bytes_per_s, free: Mutex::new(Instant::now()) }
    }

    /// Size of a chunk, in bytes.
    pub(super) fn chunk(&self) -> u64 {
        (self.bytes_per_s * CHUNK.as_secs_f64()).max(1.0) as u64
    }

    /// Waits until so many bytes have passed, and for as long as transfers are stalled.
    pub(super) async fn pass(&self, bytes: u64, stalled: &watch::Sender<bool>) {
        let _ = stalled.subscribe().wait_for(|stalled| !stalled).await;
        sleep_until(self.reserve(bytes)).await;
    }

    fn reserve(&self, bytes: u64) -> Instant {
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        *free = (*free).max(Instant::now()) + time;
        *free
    }
}
