//! When streams may begin at a build that other hosts may not know.

use crate::time::Instant;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time before the first stream at a build whose existence not all hosts are known to know, counted from when enough of
/// them know it. Longer than [`super::KNOWLEDGE_LEASE`], so that no other host still relies on knowledge without that build.
pub const FIRST_STREAM_DELAY: Duration = Duration::from_millis(3_000);

/// Which other hosts are known to list a build.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcement {
    /// The other hosts that list it.
    pub(super) listed_by: BTreeSet<Arc<str>>,
    /// Since when enough hosts that are heard have listed it without a break.
    quorum_at: Option<Instant>,
}

/// The other hosts, whose knowledge of a build is required before a stream begins at it.
#[derive(Clone, Copy, Debug)]
pub struct Hosts<'a> {
    /// The peers of which a message was sent within [`super::KNOWLEDGE_LEASE`].
    pub heard: &'a BTreeSet<Arc<str>>,
    /// Number of all peers.
    pub peers: usize,
    /// Whether all other hosts are peers.
    pub is_whole_fleet: bool,
}

impl Announcement {
    /// Returns whether no host takes another build for the only one any more.
    pub(super) fn is_known(&mut self, now: Instant, hosts: Hosts, is_stored: bool) -> bool {
        let listing = hosts.heard.intersection(&self.listed_by).count();
        let is_quorum = is_stored && listing >= hosts.listing_min();
        self.quorum_at = is_quorum.then(|| self.quorum_at.unwrap_or(now));
        let is_listed_by_all = hosts.is_whole_fleet && listing == hosts.peers;
        is_listed_by_all || self.quorum_at.is_some_and(|at| now.since(at) >= FIRST_STREAM_DELAY)
    }
}

impl Hosts<'_> {
    /// Returns how many other hosts must list a build. With this host, they overlap with any host and those whose messages it
    /// relies on (`Roster::quorum_sent_at`).
    fn listing_min(self) -> usize {
        self.peers / 2
    }
}
