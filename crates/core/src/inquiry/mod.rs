//! When a host asks a peer for something large that the peer knows in a newer version: the list of servers,
//! or the configuration.
//!
//! All peers tell of a new version at nearly the same time. If each were asked, their answers would fill
//! the host's link for seconds.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use std::time::Duration;

/// What a host knows, by version, and what it has asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Inquiry {
    /// How long a peer's answer is waited for before another is asked.
    answer_within: Duration,
    known: u64,
    /// Since when a newer version is known to be there.
    newer_since: Option<Instant>,
    /// When a peer was asked last, and the version that it told of.
    asked: Option<(Instant, u64)>,
    /// Whether its answer has not come.
    waiting: bool,
}

impl Inquiry {
    /// Knows nothing, and waits so long for a peer's answer before another is asked.
    pub fn new(answer_within: Duration) -> Inquiry {
        Inquiry { answer_within, known: 0, newer_since: None, asked: None, waiting: false }
    }

    /// Notes that a version is known.
    pub fn note(&mut self, version: u64) {
        if version > self.known {
            (self.known, self.newer_since) = (version, None);
        }
    }

    /// Version that is known; 0 where none is.
    pub fn known(&self) -> u64 {
        self.known
    }

    /// Whether a peer that knows a version, and something else than this host, is asked for it now, which
    /// then counts as done. Peers hear of changes at different times: an older version is not asked for, and
    /// the same one only from time to time. A newer one is given some time to come by itself.
    pub fn ask(&mut self, now: Instant, told: u64, by_itself: Duration) -> bool {
        if told > self.known {
            let since = *self.newer_since.get_or_insert(now);
            if now.since(since) < by_itself {
                return false;
            }
        }
        let is_long = self.asked.is_none_or(|(at, _)| now.since(at) >= self.answer_within);
        let is_open = !self.waiting || is_long;
        let asks = is_open && (told > self.known || told == self.known && is_long);
        if asks {
            (self.asked, self.waiting) = (Some((now, told)), true);
        }
        asks
    }

    /// Notes that the peer that was asked has answered; returns the version that it told of.
    pub fn answered(&mut self) -> Option<u64> {
        let waiting = std::mem::take(&mut self.waiting);
        self.asked.filter(|_| waiting).map(|(_, told)| told)
    }
}
