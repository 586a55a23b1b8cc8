//! Decides when a host requests large versioned data from a peer (another host): the list of servers or the
//! configuration.
//!
//! All peers announce a new version at nearly the same time. If the host requested it from each of them,
//! their answers would saturate the host's link for seconds. So only one request is pending at a time, until
//! its answer is overdue.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use std::time::Duration;

/// The version of some data that a host has, and its latest request for a newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionFetch {
    /// Time to wait for a peer's answer before a request may go to another peer.
    answer_timeout: Duration,
    own_version: u64,
    /// When this host first saw an announcement of a version newer than its own.
    newer_since: Option<Instant>,
    /// When the last request was sent, and the version that the peer to which it was sent had announced.
    last_request: Option<(Instant, u64)>,
    /// Whether the answer to the last request is pending.
    awaiting_answer: bool,
}

impl VersionFetch {
    /// Creates the state of a host that has no version. A request may go to another peer once no answer has
    /// come within `answer_timeout`.
    pub fn new(answer_timeout: Duration) -> VersionFetch {
        VersionFetch {
            answer_timeout,
            own_version: 0,
            newer_since: None,
            last_request: None,
            awaiting_answer: false,
        }
    }

    /// Records that this host has a version.
    pub fn record_version(&mut self, version: u64) {
        if version > self.own_version {
            (self.own_version, self.newer_since) = (version, None);
        }
    }

    /// Returns the version that this host has, or 0 if it has none.
    pub fn own_version(&self) -> u64 {
        self.own_version
    }

    /// Returns `true` if this host should now send a request to a peer that announced `peer_version`. The
    /// request is then recorded as sent. The caller must have found that the peer's data differ from this
    /// host's.
    ///
    /// An older version is never requested: peers receive changes at different times, so the peer may not
    /// have received the newer version yet. A version equal to this host's is requested at most once per
    /// `answer_timeout`. A newer version is requested only once `push_grace` has passed since this host first
    /// saw that one exists: until then it may arrive without a request.
    pub fn try_request(&mut self, now: Instant, peer_version: u64, push_grace: Duration) -> bool {
        if peer_version > self.own_version {
            let newer_since = *self.newer_since.get_or_insert(now);
            if now.since(newer_since) < push_grace {
                return false;
            }
        }
        let is_overdue = self
            .last_request
            .is_none_or(|(requested_at, _)| now.since(requested_at) >= self.answer_timeout);
        let may_request = !self.awaiting_answer || is_overdue;
        let should_request = may_request
            && (peer_version > self.own_version || peer_version == self.own_version && is_overdue);
        if should_request {
            (self.last_request, self.awaiting_answer) = (Some((now, peer_version)), true);
        }
        should_request
    }

    /// Records the answer to the pending request. Returns the version that the peer had announced, or
    /// `None` if no request was pending.
    pub fn record_answer(&mut self) -> Option<u64> {
        let awaiting_answer = std::mem::take(&mut self.awaiting_answer);
        self.last_request.filter(|_| awaiting_answer).map(|(_, peer_version)| peer_version)
    }
}
