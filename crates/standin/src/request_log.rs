//! Bounded log of the calls that a stand-in received.

use serde::Serialize;
use std::collections::VecDeque;

/// Maximum number of entries kept.
pub const ENTRIES_MAX: usize = 2_000;

/// Log that keeps its newest [`ENTRIES_MAX`] entries.
#[derive(Clone, Debug, Serialize)]
pub struct Log<T> {
    /// Number of entries ever added.
    total: u64,
    /// Entries kept, oldest first.
    seen: VecDeque<T>,
}

impl<T> Default for Log<T> {
    fn default() -> Log<T> {
        Log { total: 0, seen: VecDeque::new() }
    }
}

impl<T> Log<T> {
    /// Appends an entry and returns its number, counted from 1; removes the oldest entry of a full
    /// log.
    pub fn push(&mut self, entry: T) -> u64 {
        if self.seen.len() == ENTRIES_MAX {
            self.seen.pop_front();
        }
        self.seen.push_back(entry);
        self.total += 1;
        self.total
    }

    /// Returns the entry with a number, or `None` if it was removed or never added.
    pub fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        let first = self.total + 1 - self.seen.len() as u64;
        let index = usize::try_from(number.checked_sub(first)?).ok()?;
        self.seen.get_mut(index)
    }

    /// Returns the number of entries ever added.
    pub fn total(&self) -> u64 {
        self.total
    }
}
