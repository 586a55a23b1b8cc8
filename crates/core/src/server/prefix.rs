//! Prompt prefixes that the engine's cache is believed to hold, tracked from its cache events.
//!
//! Events may arrive late or not at all. If an eviction event is lost, the prefix stays here
//! although the engine has dropped it, so entries expire. If a store event is lost, the prefix is
//! missing here until its piece is stored again.

use crate::time::Instant;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Maximum number of prefixes.
pub const PREFIXES_MAX: usize = 16_384;
/// Time after which a prefix expires unless it is stored again.
pub const PREFIX_EXPIRY: Duration = Duration::from_secs(600);

/// An event of the engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Sequence number; a gap means that events were lost.
    pub number: u64,
    /// Hash of the prompt from its start to the end of the piece.
    pub prefix: u64,
    /// `true` if the piece was stored, `false` if it was evicted.
    pub stored: bool,
}

/// Prefixes that the engine is believed to hold.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    /// Number of the event that last stored each prefix.
    numbers: HashMap<u64, u64>,
    /// Prefix and time of each store event, by the event's number.
    by_number: BTreeMap<u64, (u64, Instant)>,
    newest: u64,
    gaps: u64,
}

impl Prefixes {
    /// Applies the events with numbers above [`Prefixes::newest`], which must be in ascending
    /// order. `newest` is the number of the engine's newest event, even if that event was not
    /// received.
    pub fn apply(&mut self, now: Instant, changes: &[Change], newest: u64) {
        if newest < self.newest {
            // Lower numbers mean that the engine has restarted, with an empty cache.
            *self = Prefixes { gaps: self.gaps, ..Prefixes::default() };
        }
        let previous_newest = self.newest;
        for change in changes.iter().filter(|change| change.number > previous_newest) {
            self.gaps += change.number.saturating_sub(self.newest + 1);
            self.newest = change.number;
            self.forget(change.prefix);
            if change.stored {
                self.numbers.insert(change.prefix, change.number);
                self.by_number.insert(change.number, (change.prefix, now));
            }
        }
        self.gaps += newest.saturating_sub(self.newest);
        self.newest = self.newest.max(newest);
        self.expire(now);
    }

    /// Removes a prefix.
    fn forget(&mut self, prefix: u64) {
        if let Some(number) = self.numbers.remove(&prefix) {
            self.by_number.remove(&number);
        }
    }

    /// Removes prefixes that have expired, and the oldest while there are too many.
    fn expire(&mut self, now: Instant) {
        while let Some((_, (prefix, since))) = self.by_number.first_key_value() {
            if self.numbers.len() <= PREFIXES_MAX && now.since(*since) <= PREFIX_EXPIRY {
                return;
            }
            let prefix = *prefix;
            self.forget(prefix);
        }
    }

    /// Returns `true` if the engine is believed to hold the prefix.
    pub fn holds(&self, prefix: u64) -> bool {
        self.numbers.contains_key(&prefix)
    }

    /// Iterates over the prefixes, most recently stored first.
    pub fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        self.by_number.values().rev().map(|(prefix, _)| *prefix)
    }

    /// Returns the number of prefixes.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Returns `true` if there are no prefixes.
    pub fn is_empty(&self) -> bool {
        self.numbers.is_empty()
    }

    /// Returns the number of the newest known event.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns the number of lost events.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }
}
