//! What a stand-in saw, in bounded memory.

use serde::Serialize;
use std::collections::VecDeque;

/// Most entries kept.
pub const ENTRIES_MAX: usize = 2_000;

/// A log that keeps its newest entries.
#[derive(Clone, Debug, Serialize)]
pub struct Log<T> {
    /// Entries ever added.
    total: u64,
    seen: VecDeque<T>,
}

impl<T> Default for Log<T> {
    fn default() -> Log<T> {
        Log { total: 0, seen: VecDeque::new() }
    }
}

impl<T> Log<T> {
    /// Adds an entry; returns its number, counted from 1.
    pub fn push(&mut self, entry: T) -> u64 {
        if self.seen.len() == ENTRIES_MAX {
            self.seen.pop_front();
        }
        self.seen.push_back(entry);
        self.total += 1;
        self.total
    }

    /// The entry with a number, if it is still kept.
    pub fn get_mut(&mut self, number: u64) -> Option<&mut T> {
        let first = self.total + 1 - self.seen.len() as u64;
        let index = usize::try_from(number.checked_sub(first)?).ok()?;
        self.seen.get_mut(index)
    }

    /// Entries ever added.
    pub fn total(&self) -> u64 {
        self.total
    }
}
