//! Patterns of prompts in quarantine, as the platform's store holds them.
//!
//! Hosts that start, and those of other cells, learn of patterns there. The objects are of the kind of the hosts'
//! entries, which every host watches already. An operator releases a pattern by deleting its object.

use crate::mesh::Mesh;
use chestnutrack_core::quarantine::Pattern;
use chestnutrack_store::client::Client;
use chestnutrack_store::error::Error;
use chestnutrack_store::object::Object;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Beginning of the objects' names.
const NAME_PREFIX: &str = "quarantine-";

/// The object that holds a pattern.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    /// Parts that the prompts have in common.
    parts: Pattern,
    /// When the pattern leaves quarantine, in milliseconds since 1970.
    until_ms: u64,
}

impl Entry {
    /// Returns the time that the pattern stays in quarantine.
    fn left(&self) -> Duration {
        Duration::from_millis(self.until_ms.saturating_sub(unix_ms()))
    }
}

/// Patterns in the store.
pub(super) struct Patterns {
    client: Client,
    kind: &'static str,
    mesh: Arc<Mesh>,
    /// Entries that the store holds, with their versions, by name.
    stored: Mutex<BTreeMap<Arc<str>, (u64, Entry)>>,
}

impl Patterns {
    /// Creates the record of a store that has not been read.
    pub(super) fn new(client: Client, kind: &'static str, mesh: Arc<Mesh>) -> Patterns {
        Patterns { client, kind, mesh, stored: Mutex::default() }
    }

    fn stored(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, (u64, Entry)>> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts the patterns of new objects into quarantine, and releases those whose objects were deleted before their
    /// time.
    pub(super) fn apply(&self, objects: Vec<Object>) {
        for object in objects {
            match object.value.map(serde_json::from_value::<Entry>).transpose() {
                Ok(Some(entry)) => {
                    self.stored().insert(object.name, (object.version, entry.clone()));
                    let left = entry.left();
                    if !left.is_zero() {
                        self.mesh.app().hold_pattern(entry.parts, left);
                    }
                }
                Ok(None) => self.remove(&object.name),
                Err(error) => {
                    tracing::warn!(name = %object.name, %error, "pattern can't be read");
                }
            }
        }
    }

    /// Applies which objects a complete list names. Those missing from a store that was restored from a copy are written
    /// again; those missing otherwise were deleted.
    pub(super) fn apply_snapshot(&self, is_restored: bool, present: &BTreeSet<Arc<str>>) {
        let absent: Vec<Arc<str>> =
            self.stored().keys().filter(|name| !present.contains(*name)).cloned().collect();
        for name in absent {
            match is_restored {
                true => drop(self.stored().remove(&name)),
                false => self.remove(&name),
            }
        }
    }

    /// Releases the pattern of an object that was deleted, unless its time has passed.
    fn remove(&self, name: &str) {
        let removed = self.stored().remove(name);
        if let Some((_, entry)) = removed.filter(|(_, entry)| !entry.left().is_zero()) {
            self.mesh.app().release_pattern(&entry.parts);
        }
    }

    /// Writes the patterns that the store lacks, and deletes those whose time has passed, if this host is the first of
    /// those that the store answers.
    pub(super) async fn write_changes(&self) {
        if self.mesh.rank() != Some(0) {
            return;
        }
        for (pattern, left) in self.mesh.app().quarantine_patterns() {
            let name = name_of(&pattern);
            if !self.stored().contains_key(&name) {
                let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
                let until_ms = unix_ms().saturating_add(left_ms);
                self.create(name, Entry { parts: pattern, until_ms }).await;
            }
        }
        let expired: Vec<(Arc<str>, u64)> = self
            .stored()
            .iter()
            .filter(|(_, (_, entry))| entry.left().is_zero())
            .map(|(name, (version, _))| (name.clone(), *version))
            .collect();
        for (name, version) in expired {
            match self.client.delete(self.kind, &name, version).await {
                Ok(_) | Err(Error::Missing) => drop(self.stored().remove(&name)),
                Err(error) => tracing::warn!(%name, %error, "expired pattern not deleted"),
            }
        }
    }

    /// Writes the object of a pattern. One that exists already is read by the watch.
    async fn create(&self, name: Arc<str>, entry: Entry) {
        match self.client.create(self.kind, &name, &json!(entry)).await {
            Ok(version) => {
                tracing::info!(%name, version, "pattern written");
                self.stored().insert(name, (version, entry));
            }
            Err(Error::Conflict(_)) => {}
            Err(error) => tracing::warn!(%name, %error, "pattern not written"),
        }
    }
}

/// Returns whether an object holds a pattern rather than a host's entry.
pub(super) fn is_pattern(object: &Object) -> bool {
    object.name.starts_with(NAME_PREFIX)
}

/// Returns the name of a pattern's object.
fn name_of(pattern: &Pattern) -> Arc<str> {
    let mut hasher = DefaultHasher::new();
    pattern.hash(&mut hasher);
    format!("{NAME_PREFIX}{:016x}", hasher.finish()).into()
}

/// Returns the time of day in milliseconds since 1970.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
