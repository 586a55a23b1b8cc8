//! The backend servers listed in the platform's store, kept through outages of the store.
//!
//! Each server is listed by an entry in the store. If an entry is deleted while the store answers, its server
//! is removed. Entries may also expire during an outage of the store although their servers are alive; these
//! entries reappear soon after the store recovers. So servers whose entries are missing after an outage, or
//! disappear together with many others (a mass loss), are kept for a grace period. The same goes for a store
//! that was restored from a copy.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Grace period in which a missing entry is considered expired rather than deleted, counted from the
/// store's recovery or from a mass loss.
pub const REAPPEARANCE_GRACE: Duration = Duration::from_millis(1_800);
/// If at least one in this many entries disappears at once, it is a mass loss: planned work removes fewer.
const MASS_LOSS_DIVISOR: usize = 3;
/// Smallest number of entries that counts as a mass loss if they disappear at once.
const MASS_LOSS_MIN: usize = 2;

/// The entry of a listed server, or `None` if the entry can't be read and so names no server.
pub type Listed<E> = Option<E>;

/// A change of the listed servers that the rest of the process must apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<E> {
    /// A server was added, or its entry changed.
    Put(Arc<str>, E),
    /// A server was removed.
    Remove(Arc<str>),
}

/// What this host knows of a listed server's entry.
#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    /// When the server is removed unless its entry reappears; `None` if the entry isn't missing.
    removal_due_at: Option<Instant>,
}

/// The listed servers, as known to this host. The name of an entry is the name of its server.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Entries of the listed servers by name, including missing ones in their grace period.
    known: BTreeMap<Arc<str>, Entry>,
    /// Whether the last call to the store failed.
    down: bool,
    /// When the store last answered again after an outage.
    recovered_at: Option<Instant>,
}

impl Listing {
    /// Records that the store did not answer.
    pub fn record_failure(&mut self) {
        self.down = true;
    }

    /// Records that the store was restored from a copy, which may lack entries that were written since.
    /// Like entries that expire in an outage, they are written again soon.
    pub fn record_restore(&mut self, now: Instant) {
        self.recovered_at = Some(now);
    }

    /// Returns `true` if the store answered the last call.
    pub fn is_up(&self) -> bool {
        !self.down
    }

    /// Returns the names and entry versions of the listed servers.
    pub fn versions(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.known.iter().map(|(name, known)| (name, known.version))
    }

    /// Applies an answer of the store and returns the changes that follow from it.
    ///
    /// `entries` holds names, versions and entries, `None` for an entry that was deleted. If `whole` is
    /// `true`, the answer lists all entries, so that known entries that it lacks are missing. A server whose
    /// entry is deleted or missing is removed at once or kept for the grace period. A server whose entry can't
    /// be read is removed at once.
    pub fn apply<E>(
        &mut self,
        now: Instant,
        whole: bool,
        entries: Vec<(Arc<str>, u64, Option<Listed<E>>)>,
    ) -> Vec<Change<E>> {
        if std::mem::take(&mut self.down) {
            self.recovered_at = Some(now);
        }
        let mut missing: Vec<Arc<str>> = Vec::new();
        if whole {
            let listed: HashSet<&Arc<str>> = entries.iter().map(|(name, ..)| name).collect();
            missing.extend(self.known.keys().filter(|name| !listed.contains(name)).cloned());
        }
        let mut changes = Vec::new();
        for (name, version, entry) in entries {
            match entry {
                Some(Some(entry)) => {
                    self.known.insert(name.clone(), Entry { version, removal_due_at: None });
                    changes.push(Change::Put(name, entry));
                }
                Some(None) => {
                    if self.known.remove(&name).is_some() {
                        changes.push(Change::Remove(name));
                    }
                }
                None => missing.push(name),
            }
        }
        missing.retain(|name| self.known.contains_key(name));
        let removal_due_at = self.removal_due_at(now, missing.len());
        for name in missing {
            match (removal_due_at, self.known.get_mut(&name)) {
                (Some(removal_due_at), Some(known)) => {
                    known.removal_due_at.get_or_insert(removal_due_at);
                }
                _ => {
                    self.known.remove(&name);
                    changes.push(Change::Remove(name));
                }
            }
        }
        changes
    }

    /// Returns when the `missing_count` servers whose entries disappear now are due for removal, or `None` if
    /// they must be removed at once. They have a grace period if the store recovered
    /// recently from an outage, in which their entries may have expired, or if this is a mass loss.
    fn removal_due_at(&self, now: Instant, missing_count: usize) -> Option<Instant> {
        let recent_recovery_at =
            self.recovered_at.filter(|recovered_at| now < *recovered_at + REAPPEARANCE_GRACE);
        let is_mass_loss =
            missing_count >= MASS_LOSS_MIN && missing_count * MASS_LOSS_DIVISOR >= self.known.len();
        match recent_recovery_at {
            Some(recovered_at) => Some(recovered_at + REAPPEARANCE_GRACE),
            None => is_mass_loss.then_some(now + REAPPEARANCE_GRACE),
        }
    }

    /// Removes the servers whose entries have not reappeared within their grace period, and returns these
    /// removals.
    pub fn remove_expired<E>(&mut self, now: Instant) -> Vec<Change<E>> {
        let has_expired = |known: &Entry| {
            known.removal_due_at.is_some_and(|removal_due_at| removal_due_at <= now)
        };
        let removed: Vec<Arc<str>> = self
            .known
            .iter()
            .filter(|(_, known)| has_expired(known))
            .map(|(name, _)| name.clone())
            .collect();
        self.known.retain(|_, known| !has_expired(known));
        removed.into_iter().map(Change::Remove).collect()
    }

    /// Returns `true` if entries are missing that may still reappear.
    pub fn has_missing(&self) -> bool {
        self.known.values().any(|known| known.removal_due_at.is_some())
    }
}
