//! Memory held by the bodies of requests.

use super::App;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes held by one request body. Dropping the value releases them.
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
    /// Adds `bytes` and returns `false` if all bodies of the process now hold more than `limit`
    /// bytes.
    pub fn grow(&mut self, bytes: usize, limit: usize) -> bool {
        let before = self.total.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= limit
    }
}

impl App {
    /// Returns a record of a body that holds no bytes yet.
    pub fn body_memory(&self) -> BodyMemory {
        BodyMemory { total: self.body_bytes.clone(), bytes: 0 }
    }
}
