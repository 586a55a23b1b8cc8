//! When a host that the store doesn't answer asks a peer for the servers that it knows.

use crate::time::Instant;
use std::time::Duration;

/// How long a peer's answer is waited for before another is asked: in a large fleet each is more than a
/// megabyte.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);

/// What a host knows of the list, by the store's version, and what it has asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Inquiry {
    known: u64,
    /// When a peer was asked last, and the version that it told of.
    asked: Option<(Instant, u64)>,
    /// Whether its answer has not come.
    waiting: bool,
}

impl Inquiry {
    /// Notes that the whole list is known as of a version.
    pub fn note(&mut self, version: u64) {
        self.known = self.known.max(version);
    }

    /// Version up to which the list is known; 0 where none is.
    pub fn known(&self) -> u64 {
        self.known
    }

    /// Whether a peer that knows the list as of a version, and other servers than this host, is asked for
    /// it now, which then counts as done. Peers hear of changes at different times: an older list is not
    /// asked for, and one of the same version only from time to time.
    pub fn ask(&mut self, now: Instant, told: u64) -> bool {
        let is_long = self.asked.is_none_or(|(at, _)| now.since(at) >= ANSWER_WITHIN);
        let is_open = !self.waiting || is_long;
        let asks = is_open && (told > self.known || told == self.known && is_long);
        if asks {
            (self.asked, self.waiting) = (Some((now, told)), true);
        }
        asks
    }

    /// Notes that the peer that was asked has answered.
    pub fn answered(&mut self) {
        if let Some((_, told)) = self.asked.filter(|_| self.waiting) {
            self.waiting = false;
            self.note(told);
        }
    }
}
