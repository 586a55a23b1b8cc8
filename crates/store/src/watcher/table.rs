//! What a watcher has handed out, so that it never hands out anything older.

use super::Update;
use crate::error::Error;
use crate::object::{List, Object};
use chestnutrack_core::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What was handed out of one object.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// Its version, or one at which it was surely deleted.
    version: u64,
    live: bool,
}

/// Versions of the objects handed out, with those deleted since.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: u64,
    /// Whether changes after `version` can be watched.
    listed: bool,
    known: BTreeMap<Arc<str>, Known>,
}

impl Table {
    /// Version up to which changes are known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether nothing was handed out yet.
    pub fn is_empty(&self) -> bool {
        self.version == 0
    }

    /// Whether all objects have to be listed next.
    pub fn needs_list(&self) -> bool {
        !self.listed
    }

    /// Changes after the version are no longer known.
    pub fn require_list(&mut self) {
        self.listed = false;
    }

    /// Takes an answer in.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] for an answer older than what was handed out, or with an object in
    /// it twice; it changes nothing.
    pub fn apply(&mut self, list: List, is_snapshot: bool, sent: Instant) -> Result<Update, Error> {
        if list.version < self.version {
            return Err(older("version", list.version, self.version));
        }
        check_once(&list.objects)?;
        let version = list.version;
        let objects =
            if is_snapshot { self.apply_snapshot(list)? } else { self.apply_changes(list) };
        let newest = objects.iter().map(|object| object.version).max().unwrap_or(0);
        self.version = version.max(newest);
        Ok(Update { is_snapshot, is_page: false, objects, version: self.version, sent })
    }

    fn apply_snapshot(&mut self, list: List) -> Result<Vec<Object>, Error> {
        list.objects.iter().try_for_each(|object| self.check(object))?;
        for known in self.known.values_mut() {
            // What the list lacks was deleted by its version.
            *known = Known { version: list.version, live: false };
        }
        self.record(&list.objects);
        self.listed = true;
        Ok(list.objects)
    }

    fn apply_changes(&mut self, list: List) -> Vec<Object> {
        let after = self.version;
        let newer = list.objects.into_iter().filter(|object| object.version > after);
        let newer: Vec<Object> = newer.collect();
        self.record(&newer);
        newer
    }

    fn check(&self, object: &Object) -> Result<(), Error> {
        let Some(known) = self.known.get(&object.name) else { return Ok(()) };
        let revived = !known.live && object.value.is_some() && object.version == known.version;
        if object.version < known.version || revived {
            return Err(older(&object.name, object.version, known.version));
        }
        Ok(())
    }

    fn record(&mut self, objects: &[Object]) {
        for object in objects {
            let known = Known { version: object.version, live: object.value.is_some() };
            self.known.insert(Arc::clone(&object.name), known);
        }
    }
}

fn older(place: &str, found: u64, known: u64) -> Error {
    Error::Malformed(place.to_owned(), format!("{found} is older than {known}"))
}

fn check_once(objects: &[Object]) -> Result<(), Error> {
    let mut names = BTreeSet::new();
    match objects.iter().find(|object| !names.insert(&object.name)) {
        Some(twice) => Err(Error::Malformed(twice.name.to_string(), "comes twice".to_owned())),
        None => Ok(()),
    }
}
