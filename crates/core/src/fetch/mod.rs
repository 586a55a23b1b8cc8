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

/// Versions of which one may be newer than another.
pub trait Version: Copy + Default + PartialEq {
    /// Returns `true` if this version is newer than another. The default is older than all others.
    fn is_newer_than(self, other: Self) -> bool;
}

impl Version for u64 {
    fn is_newer_than(self, other: u64) -> bool {
        self > other
    }
}

/// Which configuration a document is: the version that it states, and that of the store's object that holds it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revision {
    /// Version that the document states.
    pub stated: u64,
    /// Version of the object; 0 if it is not known.
    pub object: u64,
    /// Epoch of the store in which the object had this version.
    pub epoch: u64,
}

impl Version for Revision {
    /// Within an epoch of the store, the object that was written later is newer, whatever it states: a version
    /// that another writer has stated too high doesn't shut out those that follow. A store that was restored
    /// from a copy holds an older object, so the stated versions decide across epochs, and where an object is
    /// not known.
    fn is_newer_than(self, other: Revision) -> bool {
        let are_known = self.object > 0 && other.object > 0;
        if are_known && self.epoch == other.epoch || self.stated == other.stated {
            return self.object > other.object;
        }
        self.stated > other.stated
    }
}

/// The version of some data that a host has, and its latest request for a newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionFetch<V = u64> {
    /// Time to wait for a peer's answer before a request may go to another peer.
    answer_timeout: Duration,
    own_version: V,
    /// When this host first saw an announcement of a version newer than its own.
    newer_since: Option<Instant>,
    /// When the last request was sent, and the version that the peer to which it was sent had announced.
    last_request: Option<(Instant, V)>,
    /// Whether the answer to the last request is pending.
    awaiting_answer: bool,
}

impl<V: Version> VersionFetch<V> {
    /// Creates the state of a host that has no version. A request may go to another peer once no answer has
    /// come within `answer_timeout`.
    pub fn new(answer_timeout: Duration) -> VersionFetch<V> {
        VersionFetch {
            answer_timeout,
            own_version: V::default(),
            newer_since: None,
            last_request: None,
            awaiting_answer: false,
        }
    }

    /// Records that this host has a version.
    pub fn record_version(&mut self, version: V) {
        if version.is_newer_than(self.own_version) {
            (self.own_version, self.newer_since) = (version, None);
        }
    }

    /// Returns the version that this host has, or the default if it has none.
    pub fn own_version(&self) -> V {
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
    pub fn try_request(&mut self, now: Instant, peer_version: V, push_grace: Duration) -> bool {
        let is_newer = peer_version.is_newer_than(self.own_version);
        if is_newer {
            let newer_since = *self.newer_since.get_or_insert(now);
            if now.since(newer_since) < push_grace {
                return false;
            }
        }
        let is_overdue = self
            .last_request
            .is_none_or(|(requested_at, _)| now.since(requested_at) >= self.answer_timeout);
        let may_request = !self.awaiting_answer || is_overdue;
        let should_request =
            may_request && (is_newer || peer_version == self.own_version && is_overdue);
        if should_request {
            (self.last_request, self.awaiting_answer) = (Some((now, peer_version)), true);
        }
        should_request
    }

    /// Records the answer to the pending request. Returns the version that the peer had announced, or
    /// `None` if no request was pending.
    pub fn record_answer(&mut self) -> Option<V> {
        let awaiting_answer = std::mem::take(&mut self.awaiting_answer);
        self.last_request.filter(|_| awaiting_answer).map(|(_, peer_version)| peer_version)
    }
}
