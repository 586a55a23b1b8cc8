//! Memory that requests' bodies hold.

use super::App;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of a body that are held, given back when it is dropped.
pub struct BodyMemory {
    all: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl BodyMemory {
    /// Holds more bytes; false where the process holds too many already.
    pub fn grow(&mut self, bytes: usize, most: usize) -> bool {
        let before = self.all.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before + bytes <= most
    }
}

impl App {
    /// A body that holds nothing yet.
    pub fn body_memory(&self) -> BodyMemory {
        BodyMemory { all: self.bodies.clone(), bytes: 0 }
    }
}
