//! Versioned objects with their recent changes, and the host list.
//!
//! All versions come from one counter, which begins at 1; version 0 stands for an object that
//! doesn't exist. Old changes are kept for a while, so that reads can return an earlier state. A
//! staleness of zero gives the current state.

use chestnutrack_store::host;
use chestnutrack_store::object::{List, Object};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of changes kept of one object for stale reads, and of the host list.
const CHANGES_MAX: usize = 8;
/// Maximum number of deletions kept, of all kinds, for watches.
const DELETED_MAX: usize = 10_000;

/// Outcome of a write or a deletion.
pub(super) enum Outcome {
    /// Applied; the object's new version.
    Written(u64),
    /// Refused; the object's current version, 0 if it doesn't exist.
    Conflict(u64),
    /// There is no object to delete.
    Missing,
}

/// One write or deletion of an object.
#[derive(Clone)]
struct Change {
    /// Version that the object got.
    version: u64,
    /// `None` for a deletion.
    value: Option<Value>,
    written_at: Instant,
}

/// Changes by object name, oldest first.
type Objects = BTreeMap<Arc<str>, VecDeque<Change>>;

/// Objects with their recent changes, and the recent host lists.
#[derive(Clone, Default)]
pub(super) struct Store {
    /// Version of the newest change.
    version: u64,
    kinds: BTreeMap<Arc<str>, Objects>,
    /// Kind, name and version of deletions, oldest first.
    deleted: VecDeque<(Arc<str>, Arc<str>, u64)>,
    /// Deletions up to this version are no longer held.
    compacted_version: u64,
    /// Host lists with the time when they were set, oldest first.
    hosts: VecDeque<(Instant, host::List)>,
}

impl Store {
    /// Returns an object as it was `staleness` ago, or `None` if it didn't exist.
    pub(super) fn read(&self, kind: &str, name: &str, staleness: Duration) -> Option<Object> {
        let (name, changes) = self.kinds.get(kind)?.get_key_value(name)?;
        let change = visible_change(changes, staleness)?;
        change.value.is_some().then(|| object(name, change))
    }

    /// Lists the objects of a kind as they were `staleness` ago.
    pub(super) fn list(&self, kind: &str, staleness: Duration) -> List {
        let visible = |changes| visible_change(changes, staleness);
        let existing = |(name, changes)| {
            let change: &Change = visible(changes)?;
            change.value.is_some().then(|| object(name, change))
        };
        let objects = self.kinds.get(kind).into_iter().flatten().filter_map(existing).collect();
        if staleness.is_zero() {
            return List { version: self.version, objects };
        }
        let all = self.kinds.values().flat_map(Objects::values).filter_map(visible);
        List { version: all.map(|change| change.version).max().unwrap_or(0), objects }
    }

    /// Returns the version of the newest change.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns the objects of a kind that changed after a version, or `None` if deletions after
    /// that version are no longer held, or the store has not reached that version.
    pub(super) fn changes(&self, kind: &str, after_version: u64) -> Option<List> {
        if after_version < self.compacted_version || after_version > self.version {
            return None;
        }
        let changed = |(name, changes)| {
            let change = visible_change(changes, Duration::ZERO)?;
            (change.version > after_version).then(|| object(name, change))
        };
        let objects = self.kinds.get(kind).into_iter().flatten().filter_map(changed).collect();
        Some(List { version: self.version, objects })
    }

    /// Writes an object, or deletes it if `value` is `None`. If `expected_version` is given and
    /// differs from the object's current version, changes nothing and returns
    /// [`Outcome::Conflict`]. A deletion of a missing object returns [`Outcome::Missing`] whatever
    /// version is expected.
    pub(super) fn write(
        &mut self,
        kind: &str,
        name: &str,
        expected_version: Option<u64>,
        value: Option<Value>,
    ) -> Outcome {
        let current_version =
            self.read(kind, name, Duration::ZERO).map_or(0, |object| object.version);
        if current_version == 0 && value.is_none() {
            return Outcome::Missing;
        }
        if expected_version.is_some_and(|expected_version| expected_version != current_version) {
            return Outcome::Conflict(current_version);
        }
        self.version += 1;
        let (kind, name): (Arc<str>, Arc<str>) = (kind.into(), name.into());
        if value.is_none() {
            self.deleted.push_back((Arc::clone(&kind), Arc::clone(&name), self.version));
        }
        let changes = self.kinds.entry(kind).or_default().entry(name).or_default();
        if changes.len() == CHANGES_MAX {
            changes.pop_front();
        }
        changes.push_back(Change { version: self.version, value, written_at: Instant::now() });
        self.compact();
        Outcome::Written(self.version)
    }

    /// Removes the oldest deletions beyond [`DELETED_MAX`], and the changes of each object whose
    /// newest change is such a deletion. [`Store::changes`] returns `None` for versions before
    /// the newest deletion removed.
    fn compact(&mut self) {
        while self.deleted.len() > DELETED_MAX {
            let Some((kind, name, version)) = self.deleted.pop_front() else { return };
            self.compacted_version = version;
            let Some(objects) = self.kinds.get_mut(&kind) else { continue };
            let last = objects.get(&name).and_then(VecDeque::back);
            if last.is_some_and(|change| change.version == version) {
                objects.remove(&name);
            }
        }
    }

    /// Sets the host list; the previous ones are kept for [`Store::hosts`].
    pub(super) fn set_hosts(&mut self, list: host::List) {
        if self.hosts.len() == CHANGES_MAX {
            self.hosts.pop_front();
        }
        self.hosts.push_back((Instant::now(), list));
    }

    /// Returns the host list as it was `lag` ago; if none was set by then, the oldest one kept.
    pub(super) fn hosts(&self, lag: Duration) -> host::List {
        let visible = self.hosts.iter().rev().find(|(set_at, _)| set_at.elapsed() >= lag);
        let visible = visible.or(self.hosts.front());
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// Returns the newest change that is at least `staleness` old.
fn visible_change(changes: &VecDeque<Change>, staleness: Duration) -> Option<&Change> {
    changes.iter().rev().find(|change| change.written_at.elapsed() >= staleness)
}

/// Returns the object as it is after a change.
fn object(name: &Arc<str>, change: &Change) -> Object {
    Object {
        name: Arc::clone(name),
        version: change.version,
        value: change.value.clone(),
        age_ms: u64::try_from(change.written_at.elapsed().as_millis()).unwrap_or(u64::MAX),
    }
}
