//! Servers that leave, and servers that ask for quiet.
//!
//! A server that shuts down is listed as leaving, but it also says so in all its answers, which come
//! before the list or while the store is away. It gets nothing more from then on, whatever the list
//! says, until another process of it is listed. A server that refuses a request may ask for a time
//! without any request from this host.

use super::{Dispatch, Entry, ServerKey, Stage};
use crate::time::Instant;
use chestnutrack_wire::frame::LeavingReport;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Longest time for which a server's request for quiet is followed. A longer one can't be meant.
const BACKOFF_MAX: Duration = Duration::from_secs(60);
/// How long a server that was removed from the list is remembered.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of removed servers that are remembered.
const DEPARTED_MAX: usize = 4_096;
/// How long after the store was restored from a copy its list may name servers that have left. Their
/// entries expire there, since they are no longer renewed.
const RESTORED_LIST_EXPIRY: Duration = Duration::from_secs(10);

/// Servers that have left or were removed from the list.
#[derive(Clone, Debug, Default)]
pub(super) struct Departed {
    /// Start time of the process and time of its departure, by name.
    servers: BTreeMap<Arc<str>, (Option<u64>, Instant)>,
    /// When the store was last restored from a copy.
    restored_at: Option<Instant>,
}

impl Departed {
    /// Records that a server was removed.
    pub(super) fn record(&mut self, now: Instant, entry: &Entry) {
        if self.servers.len() >= DEPARTED_MAX {
            self.servers.retain(|_, (_, at)| now.since(*at) < DEPARTED_RETENTION);
        }
        if self.servers.len() < DEPARTED_MAX {
            self.servers.insert(entry.name.clone(), (entry.born, now));
        }
    }

    /// Returns the start time of the process of a server that was removed a short time ago, and how long ago that was;
    /// `None` if there is none.
    pub(super) fn process(&self, now: Instant, name: &str) -> Option<(Option<u64>, Duration)> {
        let (born, removed_at) = self.servers.get(name)?;
        let elapsed = now.since(*removed_at);
        (elapsed < DEPARTED_RETENTION).then_some((*born, elapsed))
    }
}

impl<T> Dispatch<T> {
    /// Records that the store was restored from a copy some seconds old, whose list may name servers
    /// that have left since.
    pub fn record_restore(&mut self, now: Instant) {
        self.departed.restored_at = Some(now);
    }

    /// Returns whether an entry is that of a server that has left, listed by a store that was restored
    /// from a copy: the same process was known to be leaving, or removed before. One that was removed since may only be
    /// missing from the copy, and has written its entry again.
    pub(super) fn is_departed(&self, now: Instant, entry: &Entry) -> bool {
        let restored_at = self.departed.restored_at;
        let restored_at =
            restored_at.filter(|restored_at| now.since(*restored_at) < RESTORED_LIST_EXPIRY);
        let Some(restored_at) = restored_at else { return false };
        let known = self.keys_by_name.get(&entry.name).map(|key| &self.servers[*key].entry);
        let is_known_leaving = known.is_some_and(|known| known.born == entry.born && known.leaving);
        let was_removed = known.is_none()
            && self.departed.servers.get(&entry.name).is_some_and(|(born, removed_at)| {
                *born == entry.born
                    && *removed_at < restored_at
                    && now.since(*removed_at) < DEPARTED_RETENTION
            });
        is_known_leaving || was_removed
    }

    /// Returns whether an entry is that of a process which another one has followed under its name. The other one has said so
    /// itself, and the list does not name it yet.
    pub(super) fn is_superseded(&self, now: Instant, entry: &Entry) -> bool {
        let known = self.keys_by_name.get(&entry.name).map(|key| &self.servers[*key].entry);
        let before = self.departed.process(now, &entry.name);
        known.is_some_and(Entry::is_unlisted)
            && !entry.is_unlisted()
            && before.is_some_and(|(born, _)| born == entry.born)
    }

    /// Records that a server has said in an answer that it is leaving. Returns whether that is new.
    pub fn record_leaving(&mut self, key: ServerKey) -> bool {
        let server = self.servers.get_mut(key);
        server.is_some_and(|server| !std::mem::replace(&mut server.says_leaving, true))
    }

    /// Returns whether a server is leaving, by its entry or by its own word, or is no longer listed.
    pub fn is_leaving(&self, key: ServerKey) -> bool {
        self.servers.get(key).is_none_or(|server| server.entry.leaving || server.says_leaving)
    }

    /// Records that a server has asked for no requests for `duration` from now, of which at most
    /// [`BACKOFF_MAX`] count. Returns the time that counts.
    pub fn record_backoff(&mut self, now: Instant, key: ServerKey, duration: Duration) -> Duration {
        let duration = duration.min(BACKOFF_MAX);
        if let Some(server) = self.servers.get_mut(key) {
            server.backoff_until = server.backoff_until.max(now + duration);
        }
        duration
    }

    /// Returns the servers that have said that they are leaving, for the report to peers.
    pub fn leaving_reports(&self) -> Vec<LeavingReport> {
        let leaving = self.servers.values().filter(|server| server.says_leaving);
        let reports = leaving.map(|server| LeavingReport {
            server: server.entry.name.clone(),
            born: server.entry.born,
        });
        reports.collect()
    }

    /// Records the servers of which a peer reports that they have said that they are leaving. Returns
    /// those of which this is new.
    pub fn record_peer_leaving(&mut self, reports: &[LeavingReport]) -> Vec<Arc<str>> {
        let mut new = Vec::new();
        for report in reports {
            let Some(&key) = self.keys_by_name.get(&report.server) else { continue };
            if self.servers[key].entry.born == report.born && self.record_leaving(key) {
                new.push(report.server.clone());
            }
        }
        new
    }

    /// Returns how long all servers of a service, or all its engines of a stage, have asked this host
    /// for no requests: the time until the first one accepts them. Returns `None` if one accepts
    /// requests now, or there are none.
    pub fn backoff_left(
        &self,
        now: Instant,
        service: &str,
        stage: Option<Stage>,
    ) -> Option<Duration> {
        let servers = self.servers.values().filter(|server| {
            &*server.entry.service == service && server.entry.stage == stage && server.is_open()
        });
        let left = servers.map(|server| server.backoff_until.since(now)).min();
        left.filter(|left| !left.is_zero())
    }
}
