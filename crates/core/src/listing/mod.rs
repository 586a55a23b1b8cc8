//! The backend servers that a platform's store lists, through outages of the store.
//!
//! An entry that is deleted while the store answers names a server that is gone. Entries may also
//! lapse while the store is down, though their servers are alive; these come back soon after its
//! return. So what is missing then, or vanishes together with many others, is kept for a while.

#[cfg(test)]
mod tests;

use crate::time::Instant;
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// How long after the return of the store a missing entry is still taken for one that lapsed.
pub const REAPPEARANCE_GRACE: Duration = Duration::from_millis(1_800);
/// One in so many entries that vanish at once is more than planned work takes away.
const MASS_LOSS_DIVISOR: usize = 3;
/// Fewest entries that count as many.
const MASS_LOSS_MIN: usize = 2;

/// A listed server: its entry, or that it can't be read and names none.
pub type Listed<E> = Option<E>;

/// What changes for the rest of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<E> {
    /// A server is listed anew, or otherwise than before.
    Put(Arc<str>, E),
    /// A server is gone.
    Remove(Arc<str>),
}

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    /// It is missing, and removed at that time unless it comes back.
    missing_until: Option<Instant>,
}

/// What is listed, as far as this host knows. The name of an entry is that of its server.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    known: BTreeMap<Arc<str>, Entry>,
    /// The store does not answer.
    down: bool,
    /// When it answered again.
    recovered_at: Option<Instant>,
}

impl Listing {
    /// Notes that the store did not answer.
    pub fn record_failure(&mut self) {
        self.down = true;
    }

    /// Whether the store answered the last call.
    pub fn is_up(&self) -> bool {
        !self.down
    }

    /// Names and versions of the servers that are listed.
    pub fn versions(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.known.iter().map(|(name, known)| (name, known.version))
    }

    /// Takes an answer of the store in: entries with their versions, none where one was deleted.
    /// A whole answer lists all that there are.
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
                    self.known.insert(name.clone(), Entry { version, missing_until: None });
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
        let grace = self.grace(now, missing.len());
        for name in missing {
            match (grace, self.known.get_mut(&name)) {
                (Some(until), Some(known)) => {
                    known.missing_until.get_or_insert(until);
                }
                _ => {
                    self.known.remove(&name);
                    changes.push(Change::Remove(name));
                }
            }
        }
        changes
    }

    /// Until when servers that vanish now are kept; absent where they are gone.
    fn grace(&self, now: Instant, vanished: usize) -> Option<Instant> {
        let recovered_at =
            self.recovered_at.filter(|recovered_at| now < *recovered_at + REAPPEARANCE_GRACE);
        let is_mass_loss =
            vanished >= MASS_LOSS_MIN && vanished * MASS_LOSS_DIVISOR >= self.known.len();
        match recovered_at {
            Some(recovered_at) => Some(recovered_at + REAPPEARANCE_GRACE),
            None => is_mass_loss.then_some(now + REAPPEARANCE_GRACE),
        }
    }

    /// Removes the servers that have not come back.
    pub fn remove_expired<E>(&mut self, now: Instant) -> Vec<Change<E>> {
        let expired = |known: &Entry| known.missing_until.is_some_and(|until| until <= now);
        let gone: Vec<Arc<str>> =
            self.known.iter().filter(|(_, known)| expired(known)).map(|(n, _)| n.clone()).collect();
        self.known.retain(|_, known| !expired(known));
        gone.into_iter().map(Change::Remove).collect()
    }

    /// Whether servers are missing that may come back.
    pub fn has_missing(&self) -> bool {
        self.known.values().any(|known| known.missing_until.is_some())
    }
}
