//! Prompts in quarantine, as the platform's store holds them: patterns, and what each cell knows of parts that may crash
//! engines.
//!
//! Hosts that start learn of patterns there, and hosts of other cells of both. The objects are of the kind of the hosts'
//! entries, which every host watches already. An operator releases a pattern by deleting its object.

#[cfg(test)]
mod tests;

use crate::mesh::Mesh;
use chestnutrack_core::cell::Cell;
use chestnutrack_core::quarantine::{ADOPTED_LEFT_MIN, Pattern};
use chestnutrack_store::client::Client;
use chestnutrack_store::dialect::items::excerpt;
use chestnutrack_store::error::Error;
use chestnutrack_store::object::Object;
use chestnutrack_wire::frame::{Break, HeldPattern, QuarantineReport};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Beginning of the names of all these objects.
const NAME_PREFIX: &str = "quarantine-";
/// Beginning of the names of cells' reports.
const CELL_PREFIX: &str = "quarantine-cell-";
/// Crashes of a part from which on a cell reports it to others, in fleets of up to [`FEW_CELLS`] and of more. Each
/// report is read by every host of the fleet.
const REPORTED_CRASHES_MIN: (usize, usize) = (2, 1);
/// See [`REPORTED_CRASHES_MIN`].
const FEW_CELLS: u64 = 4;

/// The object that holds a pattern.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    /// Parts that the prompts have in common.
    parts: Pattern,
    /// Identifies the decisions that put them into quarantine; empty in an object that an operator wrote.
    #[serde(default)]
    decisions: BTreeSet<u64>,
    /// When the first of these was made, in milliseconds since 1970; absent in an object that an operator wrote.
    #[serde(default)]
    decided_ms: Option<u64>,
    /// When the pattern leaves quarantine, in milliseconds since 1970.
    until_ms: u64,
}

impl Entry {
    fn new(held: &HeldPattern) -> Entry {
        let now_ms = unix_ms();
        Entry {
            parts: held.parts.clone(),
            decisions: held.decisions.clone(),
            decided_ms: Some(now_ms.saturating_sub(held.age_ms.into())),
            until_ms: now_ms.saturating_add(held.left_ms.into()),
        }
    }

    fn held(&self) -> HeldPattern {
        let now_ms = unix_ms();
        let decided_ms = self.decided_ms.unwrap_or(now_ms);
        let age_ms = u32::try_from(now_ms.saturating_sub(decided_ms)).unwrap_or(u32::MAX);
        let left_ms = u32::try_from(self.until_ms.saturating_sub(now_ms)).unwrap_or(u32::MAX);
        let decisions = match self.decisions.is_empty() {
            true => BTreeSet::from([self.until_ms]),
            false => self.decisions.clone(),
        };
        let parts = self.parts.clone();
        HeldPattern { parts, decisions, left_ms, age_ms, first_crash_ms: age_ms }
    }

    /// Returns the time that the pattern stays in quarantine.
    fn left(&self) -> Duration {
        Duration::from_millis(self.until_ms.saturating_sub(unix_ms()))
    }
}

/// The object that holds a cell's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CellEntry {
    /// When it was written, in milliseconds since 1970.
    written_ms: u64,
    report: QuarantineReport,
}

/// Patterns in the store.
#[derive(Default)]
struct Stored {
    /// Their entries with their versions, by name.
    patterns: BTreeMap<Arc<str>, (u64, Entry)>,
    /// Version of the report of this host's cell; 0 if there is none.
    cell_version: u64,
    /// Answers that broke off in the last report that this host wrote.
    reported: Vec<Break>,
}

/// Exchanges patterns and cells' reports with the store.
pub(super) struct Patterns {
    client: Client,
    kind: &'static str,
    mesh: Arc<Mesh>,
    stored: Mutex<Stored>,
}

impl Patterns {
    /// Creates the state of a host that has read nothing from the store.
    pub(super) fn new(client: Client, kind: &'static str, mesh: Arc<Mesh>) -> Patterns {
        Patterns { client, kind, mesh, stored: Mutex::default() }
    }

    fn stored(&self) -> MutexGuard<'_, Stored> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies objects that were written or deleted.
    pub(super) fn apply(&self, objects: Vec<Object>) {
        for object in objects {
            match object.name.starts_with(CELL_PREFIX) {
                true => self.apply_cell_report(object),
                false => self.apply_pattern(object),
            }
        }
    }

    /// Puts a pattern into quarantine whose object was written, or releases one whose object was deleted. Ignores what
    /// is older than the object that is known.
    fn apply_pattern(&self, object: Object) {
        let Object { name, version, value, .. } = object;
        let known = self.stored().patterns.get(&name).map(|(version, _)| *version);
        if known.is_some_and(|known| version < known) {
            return;
        }
        match value.map(serde_json::from_value::<Entry>).transpose() {
            Ok(Some(entry)) => {
                self.mesh.app().hold_pattern(&entry.held());
                self.stored().patterns.insert(name, (version, entry));
            }
            Ok(None) => self.remove(&name),
            Err(error) => log_unreadable(&name, &error, "pattern can't be read"),
        }
    }

    /// Applies what another cell knows of parts that may crash engines.
    fn apply_cell_report(&self, object: Object) {
        let own_name = cell_name(self.mesh.app().cell());
        if object.name == own_name {
            let version = object.value.is_some().then_some(object.version);
            self.stored().cell_version = version.unwrap_or_default();
            return;
        }
        match object.value.map(serde_json::from_value::<CellEntry>).transpose() {
            Ok(Some(CellEntry { written_ms, report })) => {
                let age = Duration::from_millis(unix_ms().saturating_sub(written_ms));
                self.mesh.app().record_cell_report(&object.name, age, report);
            }
            Ok(None) => {}
            Err(error) => log_unreadable(&object.name, &error, "cell's report can't be read"),
        }
    }

    /// Applies which objects a complete list of the given version names. Those missing from a store that was restored
    /// from a copy are written again; those missing otherwise were deleted, unless they are newer than the list.
    pub(super) fn apply_snapshot(
        &self,
        version: u64,
        is_restored: bool,
        present: &BTreeSet<Arc<str>>,
    ) {
        let is_absent = |name: &Arc<str>, entry_version: u64| {
            !present.contains(name) && (is_restored || entry_version <= version)
        };
        let absent: Vec<Arc<str>> = self
            .stored()
            .patterns
            .iter()
            .filter(|(name, (entry_version, _))| is_absent(name, *entry_version))
            .map(|(name, _)| name.clone())
            .collect();
        for name in absent {
            match is_restored {
                true => drop(self.stored().patterns.remove(&name)),
                false => self.remove(&name),
            }
        }
        if is_restored {
            let mut stored = self.stored();
            (stored.cell_version, stored.reported) = (0, Vec::new());
        }
    }

    /// Releases the pattern of an object that was deleted, unless it leaves quarantine soon: hosts' clocks differ.
    fn remove(&self, name: &str) {
        let removed = self.stored().patterns.remove(name);
        if let Some((_, entry)) = removed.filter(|(_, entry)| entry.left() >= ADOPTED_LEFT_MIN) {
            self.mesh.app().release_pattern(&entry.parts);
        }
    }

    /// Writes the patterns that the store lacks, deletes those that have left quarantine, and writes the cell's report, if
    /// this host is the first of its cell that the store answers.
    pub(super) async fn write_changes(&self) {
        if self.mesh.rank() != Some(0) {
            return;
        }
        let held = self.mesh.app().held_patterns();
        for held in &held {
            let name = pattern_name(&held.parts);
            if !self.stored().patterns.contains_key(&name) {
                self.create(name, Entry::new(held)).await;
            }
        }
        let is_held = |entry: &Entry| held.iter().any(|held| held.parts == entry.parts);
        let ended: Vec<(Arc<str>, u64)> = self
            .stored()
            .patterns
            .iter()
            .filter(|(_, (_, entry))| !is_held(entry))
            .map(|(name, (version, _))| (name.clone(), *version))
            .collect();
        for (name, version) in ended {
            match self.client.delete(self.kind, &name, version).await {
                Ok(_) | Err(Error::Missing) => drop(self.stored().patterns.remove(&name)),
                Err(error) => tracing::warn!(%name, %error, "pattern not deleted"),
            }
        }
        self.write_cell_report().await;
    }

    /// Writes the object of a pattern. One that exists already is read by the watch.
    async fn create(&self, name: Arc<str>, entry: Entry) {
        match self.client.create(self.kind, &name, &json!(entry)).await {
            Ok(version) => {
                tracing::info!(%name, version, "pattern written");
                self.stored().patterns.insert(name, (version, entry));
            }
            Err(Error::Conflict(_)) => {}
            Err(error) => tracing::warn!(%name, %error, "pattern not written"),
        }
    }

    /// Writes what this cell knows of parts that may crash engines, if that has changed and there are other cells.
    async fn write_cell_report(&self) {
        let cell = self.mesh.app().cell();
        let (_, cells) = cell.index_and_count();
        if cells < 2 {
            return;
        }
        let (few, many) = REPORTED_CRASHES_MIN;
        let crashes_min = if cells <= FEW_CELLS { few } else { many };
        let report = self.mesh.app().cell_report(crashes_min);
        let reported: Vec<Break> = report.breaks.iter().map(|(_, answer)| answer.clone()).collect();
        if reported.iter().all(|answer| self.stored().reported.contains(answer)) {
            return;
        }
        let (name, version) = (cell_name(cell), self.stored().cell_version);
        let entry = CellEntry { written_ms: unix_ms(), report };
        match self.client.replace(self.kind, &name, version, &json!(entry)).await {
            Ok(version) => {
                tracing::info!(%name, version, breaks = reported.len(), "cell's report written");
                let mut stored = self.stored();
                (stored.cell_version, stored.reported) = (version, reported);
            }
            Err(error) => tracing::warn!(%name, %error, "cell's report not written"),
        }
    }
}

/// Returns whether an object is one of these rather than a host's entry.
pub(super) fn is_quarantine(object: &Object) -> bool {
    object.name.starts_with(NAME_PREFIX)
}

/// Returns the name of a pattern's object.
fn pattern_name(pattern: &Pattern) -> Arc<str> {
    let mut hasher = DefaultHasher::new();
    pattern.hash(&mut hasher);
    format!("{NAME_PREFIX}{:016x}", hasher.finish()).into()
}

/// Returns the name of the object with a cell's report.
fn cell_name(cell: Cell) -> Arc<str> {
    let (index, count) = cell.index_and_count();
    format!("{CELL_PREFIX}{index}-of-{count}").into()
}

/// Logs an object of another writer that can't be read.
fn log_unreadable(name: &str, error: &serde_json::Error, message: &str) {
    let error = error.to_string();
    tracing::warn!(name = excerpt(name), error = excerpt(&error), "{message}");
}

/// Returns the time of day in milliseconds since 1970.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
