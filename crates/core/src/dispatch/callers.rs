//! Refused callers that retry. They are recognised by what they ask for, so that the time they have
//! already waited counts.

use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// How long a refused caller is remembered.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of refused callers that are remembered.
const CALLERS_MAX: usize = 4_096;

/// First arrival times of refused callers, keyed by a hash of what they ask for.
#[derive(Clone, Debug, Default)]
pub struct RefusedCallers {
    first_seen: HashMap<u64, Instant>,
}

impl RefusedCallers {
    /// Returns when a caller first arrived, or `None` if it is new.
    pub fn first_seen(&self, now: Instant, caller: u64) -> Option<Instant> {
        self.first_seen.get(&caller).copied().filter(|first| now.since(*first) < RETENTION)
    }

    /// Records the refusal of a caller that first arrived at `first`.
    pub fn record(&mut self, now: Instant, caller: u64, first: Instant) {
        if self.first_seen.len() >= CALLERS_MAX {
            self.first_seen.retain(|_, first| now.since(*first) < RETENTION);
        }
        if self.first_seen.len() < CALLERS_MAX {
            let earliest = self.first_seen.entry(caller).or_insert(first);
            *earliest = (*earliest).min(first);
        }
    }
}
