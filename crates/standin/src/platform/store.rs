//! Objects with versions from one counter, what they were lately, and the host list.

use chestnutrack_store::host;
use chestnutrack_store::object::{List, Object};
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Most changes of one object kept for stale reads.
const CHANGES_MAX: usize = 8;
/// Most deleted objects remembered for watches.
const DELETED_MAX: usize = 10_000;

/// What became of a write.
pub(super) enum Outcome {
    Written(u64),
    Conflict(u64),
    Missing,
}

#[derive(Clone)]
struct Change {
    version: u64,
    /// Absent for a deletion.
    value: Option<Value>,
    made: Instant,
}

type Kind = BTreeMap<Arc<str>, VecDeque<Change>>;

#[derive(Default)]
pub(super) struct Store {
    version: u64,
    kinds: BTreeMap<Arc<str>, Kind>,
    /// Deleted objects, in the order of their deletion.
    deleted: VecDeque<(Arc<str>, Arc<str>, u64)>,
    /// Deletions up to this version are no longer known.
    forgotten: u64,
    hosts: VecDeque<(Instant, host::List)>,
}

impl Store {
    pub(super) fn read(&self, kind: &str, name: &str, stale: Duration) -> Option<Object> {
        let (name, changes) = self.kinds.get(kind)?.get_key_value(name)?;
        let change = newest(changes, stale)?;
        change.value.is_some().then(|| object(name, change))
    }

    pub(super) fn list(&self, kind: &str, stale: Duration) -> List {
        let seen = |changes| newest(changes, stale);
        let live = |(name, changes)| {
            let change: &Change = seen(changes)?;
            change.value.is_some().then(|| object(name, change))
        };
        let objects = self.kinds.get(kind).into_iter().flatten().filter_map(live).collect();
        if stale.is_zero() {
            return List { version: self.version, objects };
        }
        let all = self.kinds.values().flat_map(Kind::values).filter_map(seen);
        List { version: all.map(|change| change.version).max().unwrap_or(0), objects }
    }

    /// Objects of a kind that changed after a version; `None` when that is no longer known.
    pub(super) fn changes(&self, kind: &str, after: u64) -> Option<List> {
        if after < self.forgotten {
            return None;
        }
        let changed = |(name, changes)| {
            let change = newest(changes, Duration::ZERO)?;
            (change.version > after).then(|| object(name, change))
        };
        let objects = self.kinds.get(kind).into_iter().flatten().filter_map(changed).collect();
        Some(List { version: self.version, objects })
    }

    /// Writes or deletes an object, on condition of its version if one is given.
    pub(super) fn write(
        &mut self,
        kind: &str,
        name: &str,
        condition: Option<u64>,
        value: Option<Value>,
    ) -> Outcome {
        let found = self.read(kind, name, Duration::ZERO).map_or(0, |object| object.version);
        if found == 0 && value.is_none() {
            return Outcome::Missing;
        }
        if condition.is_some_and(|condition| condition != found) {
            return Outcome::Conflict(found);
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
        changes.push_back(Change { version: self.version, value, made: Instant::now() });
        self.forget();
        Outcome::Written(self.version)
    }

    fn forget(&mut self) {
        while self.deleted.len() > DELETED_MAX {
            let Some((kind, name, version)) = self.deleted.pop_front() else { return };
            self.forgotten = version;
            let Some(objects) = self.kinds.get_mut(&kind) else { continue };
            let last = objects.get(&name).and_then(VecDeque::back);
            if last.is_some_and(|change| change.version == version) {
                objects.remove(&name);
            }
        }
    }

    pub(super) fn set_hosts(&mut self, list: host::List) {
        if self.hosts.len() == CHANGES_MAX {
            self.hosts.pop_front();
        }
        self.hosts.push_back((Instant::now(), list));
    }

    /// The host list as it was a while ago; the first list shows at once.
    pub(super) fn hosts(&self, lag: Duration) -> host::List {
        let shown = self.hosts.iter().rev().find(|(set, _)| set.elapsed() >= lag);
        let shown = shown.or(self.hosts.front());
        shown.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// The newest change that is at least so old.
fn newest(changes: &VecDeque<Change>, stale: Duration) -> Option<&Change> {
    changes.iter().rev().find(|change| change.made.elapsed() >= stale)
}

fn object(name: &Arc<str>, change: &Change) -> Object {
    Object {
        name: Arc::clone(name),
        version: change.version,
        value: change.value.clone(),
        age_ms: u64::try_from(change.made.elapsed().as_millis()).unwrap_or(u64::MAX),
    }
}
