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
pub struct VersionFetch {
    /// How long a peer's answer is waited for before another is asked.
    answer_timeout: Duration,
    known: u64,
    /// Since when a newer version is known to be there.
    newer_since: Option<Instant>,
    /// When a peer was asked last, and the version that it told of.
    last_request: Option<(Instant, u64)>,
    /// Whether its answer has not come.
    awaiting_answer: bool,
}

impl VersionFetch {
    /// Knows nothing, and waits so long for a peer's answer before another is asked.
    pub fn new(answer_timeout: Duration) -> VersionFetch {
        VersionFetch {
            answer_timeout,
            known: 0,
            newer_since: None,
            last_request: None,
            awaiting_answer: false,
        }
    }

    /// Notes that a version is known.
    pub fn record_version(&mut self, version: u64) {
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
    pub fn try_request(&mut self, now: Instant, peer_version: u64, push_grace: Duration) -> bool {
        if peer_version > self.known {
            let since = *self.newer_since.get_or_insert(now);
            if now.since(since) < push_grace {
                return false;
            }
        }
        let is_overdue =
            self.last_request.is_none_or(|(at, _)| now.since(at) >= self.answer_timeout);
        let may_request = !self.awaiting_answer || is_overdue;
        let requests =
            may_request && (peer_version > self.known || peer_version == self.known && is_overdue);
        if requests {
            (self.last_request, self.awaiting_answer) = (Some((now, peer_version)), true);
        }
        requests
    }

    /// Notes that the peer that was asked has answered; returns the version that it told of.
    pub fn record_answer(&mut self) -> Option<u64> {
        let awaiting_answer = std::mem::take(&mut self.awaiting_answer);
        self.last_request.filter(|_| awaiting_answer).map(|(_, peer_version)| peer_version)
    }
}
