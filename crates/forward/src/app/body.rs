//! Memory held by answers until they have been written, counted over all requests of the process. That of requests is
//! counted by [`chestnutrack_process::intake`].

use super::App;
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes held by the body of one answer. Dropping the value releases them.
pub struct AnswerMemory {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl Drop for AnswerMemory {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl AnswerMemory {
    /// Adds `bytes`, unless all answers counted together would then hold more than `limit` bytes. Returns whether they
    /// were added.
    pub fn grow(&mut self, bytes: usize, limit: usize) -> bool {
        let total = self.total.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if total > limit {
            self.total.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        self.bytes += bytes;
        true
    }
}

/// Bytes, together with the memory that is released when no part of them is in use any more.
pub struct Counted<M> {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// The memory that is counted for them.
    pub memory: M,
}

impl<M> AsRef<[u8]> for Counted<M> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl<M: Send + 'static> Counted<M> {
    /// Returns the bytes. The memory is released with the last part of them.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl App {
    /// Returns the count of a new answer, which holds no bytes yet.
    pub fn answer_memory(&self) -> AnswerMemory {
        AnswerMemory { total: self.answer_bytes.clone(), bytes: 0 }
    }
}
