//! Prompt prefixes that the engine is taken to hold, learned from its cache events.
//!
//! Events come late, some never. A lost eviction leaves a prefix here that the engine has dropped,
//! so each expires after a while; a lost store is learned when the piece is stored again.

use crate::time::Instant;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Prefixes that are kept.
pub const PREFIXES_MAX: usize = 16_384;
/// Time for which a prefix is taken to be held without news of it.
pub const HELD_FOR: Duration = Duration::from_secs(600);

/// One event of the engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Number; numbers only grow, and a gap means that events were lost.
    pub number: u64,
    /// Hash of the prompt's text up to the end of the piece.
    pub prefix: u64,
    /// Whether the piece was stored or evicted.
    pub stored: bool,
}

/// Prefixes that the engine is taken to hold.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    held: HashMap<u64, u64>,
    order: BTreeMap<u64, (u64, Instant)>,
    newest: u64,
    gaps: u64,
}

impl Prefixes {
    /// Takes events after [`Prefixes::newest`], in the order of their numbers; `newest` is the
    /// number of the engine's newest event, whether it came or not.
    pub fn apply(&mut self, now: Instant, changes: &[Change], newest: u64) {
        if newest < self.newest {
            // The engine has started anew, and its cache with it.
            *self = Prefixes { gaps: self.gaps, ..Prefixes::default() };
        }
        let before = self.newest;
        for change in changes.iter().filter(|change| change.number > before) {
            self.gaps += change.number.saturating_sub(self.newest + 1);
            self.newest = change.number;
            self.forget(change.prefix);
            if change.stored {
                self.held.insert(change.prefix, change.number);
                self.order.insert(change.number, (change.prefix, now));
            }
        }
        self.gaps += newest.saturating_sub(self.newest);
        self.newest = self.newest.max(newest);
        self.expire(now);
    }

    fn forget(&mut self, prefix: u64) {
        if let Some(number) = self.held.remove(&prefix) {
            self.order.remove(&number);
        }
    }

    fn expire(&mut self, now: Instant) {
        while let Some((_, (prefix, since))) = self.order.first_key_value() {
            if self.held.len() <= PREFIXES_MAX && now.since(*since) <= HELD_FOR {
                return;
            }
            let prefix = *prefix;
            self.forget(prefix);
        }
    }

    /// Whether a prefix is taken to be held.
    pub fn holds(&self, prefix: u64) -> bool {
        self.held.contains_key(&prefix)
    }

    /// Prefixes held, those stored last first.
    pub fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        self.order.values().rev().map(|(prefix, _)| *prefix)
    }

    /// Number of prefixes held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Number of the newest event that is known of.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Events that never came.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }
}
