//! Memory held by the bodies of requests and by the answers that are being read, counted over all requests of the
//! process.

use super::App;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes held by the body of one request or answer. Dropping the value releases them.
pub struct BodyMemory {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl BodyMemory {
    /// Adds `bytes` and returns `false` if all bodies counted together now hold more than `limit`
    /// bytes.
    pub fn grow(&mut self, bytes: usize, limit: usize) -> bool {
        let previous_total = self.total.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        previous_total + bytes <= limit
    }
}

impl App {
    /// Returns the count of a new request body, which holds no bytes yet.
    pub fn body_memory(&self) -> BodyMemory {
        BodyMemory { total: self.body_bytes.clone(), bytes: 0 }
    }

    /// Returns the count of a new answer, which holds no bytes yet.
    pub fn answer_memory(&self) -> BodyMemory {
        BodyMemory { total: self.answer_bytes.clone(), bytes: 0 }
    }
}
