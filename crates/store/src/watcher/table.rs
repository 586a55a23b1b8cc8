//! Versions of the objects that a watcher has emitted, so that it never emits an older one.
//!
//! To emit an object is to send it to the watcher's reader. All versions come from one counter of the object
//! interface, so those of different objects can be compared.

use super::Update;
use crate::error::Error;
use crate::object::{List, Object};
use chestnutrack_core::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Last emitted state of one object.
#[derive(Clone, Copy, Debug)]
struct Emitted {
    /// Version of the object, or a version at which it was certainly deleted.
    version: u64,
    /// Whether the object existed at that version.
    exists: bool,
}

/// Last emitted versions of all objects of a kind, including deleted ones.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Version up to which all changes are known.
    version: u64,
    /// Whether a list was applied since the last [`Table::require_list`], so that a watch can
    /// continue from `version`.
    is_listed: bool,
    /// Last emitted state of each object, by name.
    emitted: BTreeMap<Arc<str>, Emitted>,
}

impl Table {
    /// Returns the version up to which all changes are known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns `true` if no response has been applied yet.
    pub fn is_empty(&self) -> bool {
        self.version == 0
    }

    /// Returns `true` if the next call has to be a list and not a watch.
    pub fn needs_list(&self) -> bool {
        !self.is_listed
    }

    /// Requires a list as the next call, because changes after the version may have been missed.
    pub fn require_list(&mut self) {
        self.is_listed = false;
    }

    /// Applies a response to a call that was sent at `sent`, and returns the update to emit.
    /// `is_snapshot` says whether the response is a list of all objects, and not the changes from a
    /// watch.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the response, or an object of a snapshot, has an older version than was emitted
    /// before, or if an object appears twice. The table is unchanged then.
    pub fn apply(&mut self, list: List, is_snapshot: bool, sent: Instant) -> Result<Update, Error> {
        if list.version < self.version {
            return Err(stale("version", list.version, self.version));
        }
        check_unique(&list.objects)?;
        // An object may have a newer version than the list: a list of several pages has the lowest version
        // of its pages. The watch must not continue from the newer one, since changes of objects on older
        // pages may lie between the two.
        let version = list.version;
        let objects =
            if is_snapshot { self.apply_snapshot(list)? } else { self.apply_changes(list) };
        self.version = version;
        Ok(Update { is_snapshot, is_page: false, objects, version: self.version, sent })
    }

    /// Applies a list of all objects. Marks the objects that are missing from it as deleted.
    fn apply_snapshot(&mut self, list: List) -> Result<Vec<Object>, Error> {
        list.objects.iter().try_for_each(|object| self.check_not_older(object))?;
        for emitted in self.emitted.values_mut() {
            // Objects that are missing from the list were deleted at or before its version.
            *emitted = Emitted { version: list.version, exists: false };
        }
        self.record(&list.objects);
        self.is_listed = true;
        Ok(list.objects)
    }

    /// Applies the changes from a watch and returns those that are newer than the table's version and than
    /// the last emitted state of their objects.
    fn apply_changes(&mut self, list: List) -> Vec<Object> {
        let is_newer = |object: &Object| {
            let emitted = self.emitted.get(&object.name);
            object.version > self.version
                && emitted.is_none_or(|emitted| object.version > emitted.version)
        };
        let newer: Vec<Object> = list.objects.into_iter().filter(is_newer).collect();
        self.record(&newer);
        newer
    }

    /// Returns an error for an object that is older than its last emitted state, or that exists at
    /// the version at which it was deleted.
    fn check_not_older(&self, object: &Object) -> Result<(), Error> {
        let Some(emitted) = self.emitted.get(&object.name) else { return Ok(()) };
        let is_revived =
            !emitted.exists && object.value.is_some() && object.version == emitted.version;
        if object.version < emitted.version || is_revived {
            return Err(stale(&object.name, object.version, emitted.version));
        }
        Ok(())
    }

    /// Records objects as emitted.
    fn record(&mut self, objects: &[Object]) {
        for object in objects {
            let emitted = Emitted { version: object.version, exists: object.value.is_some() };
            self.emitted.insert(Arc::clone(&object.name), emitted);
        }
    }
}

/// Returns the error for a version that is older than the one emitted. `place` names the object, or is
/// `version` for the whole response.
fn stale(place: &str, found: u64, emitted: u64) -> Error {
    Error::Malformed(place.to_owned(), format!("{found} is older than {emitted}"))
}

/// Returns an error if an object appears twice.
fn check_unique(objects: &[Object]) -> Result<(), Error> {
    let mut names = BTreeSet::new();
    match objects.iter().find(|object| !names.insert(&object.name)) {
        Some(object) => {
            Err(Error::Malformed(object.name.to_string(), "appears twice in a response".to_owned()))
        }
        None => Ok(()),
    }
}
