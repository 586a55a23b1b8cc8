//! Callers that were refused and come back: they are known by what they ask for, so that the time
//! they have waited already counts.

use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// How long a refused caller is remembered.
const REMEMBERED: Duration = Duration::from_secs(30);
/// Refused callers that are remembered.
const CALLERS_MAX: usize = 4_096;

/// Refused callers, by a hash of what they ask for.
#[derive(Clone, Debug, Default)]
pub struct RefusedCallers {
    first: HashMap<u64, Instant>,
}

impl RefusedCallers {
    /// When a caller came first; absent where it is new.
    pub fn first_seen(&self, now: Instant, caller: u64) -> Option<Instant> {
        self.first.get(&caller).copied().filter(|first| now.since(*first) < REMEMBERED)
    }

    /// Notes that a caller was refused that came first at `first`.
    pub fn record(&mut self, now: Instant, caller: u64, first: Instant) {
        if self.first.len() >= CALLERS_MAX {
            self.first.retain(|_, first| now.since(*first) < REMEMBERED);
        }
        if self.first.len() < CALLERS_MAX {
            let known = self.first.entry(caller).or_insert(first);
            *known = (*known).min(first);
        }
    }
}
