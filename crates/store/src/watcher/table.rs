//! Versions of the objects that a watcher has emitted, so that it never emits an older one.

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
    version: u64,
    /// Whether a list was applied since the last [`Table::require_list`], so that a watch can
    /// continue from `version`.
    is_listed: bool,
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

    /// Applies a response and returns the update to emit. `is_snapshot` says whether the response
    /// is a list of all objects, and not the changes from a watch.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the response is older than what was emitted or contains an object
    /// twice. The table is unchanged then.
    pub fn apply(&mut self, list: List, is_snapshot: bool, sent: Instant) -> Result<Update, Error> {
        if list.version < self.version {
            return Err(stale("version", list.version, self.version));
        }
        check_unique(&list.objects)?;
        let version = list.version;
        let objects =
            if is_snapshot { self.apply_snapshot(list)? } else { self.apply_changes(list) };
        let newest = objects.iter().map(|object| object.version).max().unwrap_or(0);
        self.version = version.max(newest);
        Ok(Update { is_snapshot, is_page: false, objects, version: self.version, sent })
    }

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

    fn apply_changes(&mut self, list: List) -> Vec<Object> {
        let after = self.version;
        let newer = list.objects.into_iter().filter(|object| object.version > after);
        let newer: Vec<Object> = newer.collect();
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

    fn record(&mut self, objects: &[Object]) {
        for object in objects {
            let emitted = Emitted { version: object.version, exists: object.value.is_some() };
            self.emitted.insert(Arc::clone(&object.name), emitted);
        }
    }
}

fn stale(place: &str, found: u64, emitted: u64) -> Error {
    Error::Malformed(place.to_owned(), format!("{found} is older than {emitted}"))
}

fn check_unique(objects: &[Object]) -> Result<(), Error> {
    let mut names = BTreeSet::new();
    match objects.iter().find(|object| !names.insert(&object.name)) {
        Some(object) => {
            Err(Error::Malformed(object.name.to_string(), "appears twice in a response".to_owned()))
        }
        None => Ok(()),
    }
}
