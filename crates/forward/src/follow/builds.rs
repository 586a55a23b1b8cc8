//! Builds that may have begun streams, as the platform's store holds them for hosts that start while no other host can tell
//! them.
//!
//! The object is of the kind of the hosts' entries, which every host watches already. It is written when a build is listed
//! for the first time, after the store was restored from a copy, and when the last streams of one that is no longer listed must have ended.

use crate::app::ServiceBuilds;
use crate::mesh::Mesh;
use chestnutrack_store::client::Client;
use chestnutrack_store::dialect::items::excerpt;
use chestnutrack_store::epoch;
use chestnutrack_store::object::Object;
use chestnutrack_wire::frame::BuildReport;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Name of the object.
pub(super) const NAME: &str = "engine-builds";

/// The object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    /// Builds of each service.
    services: ServiceBuilds,
    /// Epoch of the store in which the object was written. In a store that was restored from a copy since, it may lack
    /// builds that have begun streams.
    #[serde(default)]
    epoch: u64,
}

/// The object in the store as this host last read or wrote it, with its version; 0 if there is none.
#[derive(Debug, Default)]
struct Stored {
    version: u64,
    entry: Entry,
}

/// Reads the object at the start, and keeps it up to date.
pub(super) struct BuildHistory {
    client: Client,
    kind: &'static str,
    mesh: Arc<Mesh>,
    stored: Mutex<Stored>,
}

impl BuildHistory {
    /// Creates the state of a host that has read nothing from the store.
    pub(super) fn new(client: Client, kind: &'static str, mesh: Arc<Mesh>) -> BuildHistory {
        BuildHistory { client, kind, mesh, stored: Mutex::default() }
    }

    fn stored(&self) -> MutexGuard<'_, Stored> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the object, if it was written, deleted or, in a complete list, is missing.
    pub(super) fn apply(&self, is_snapshot: bool, object: Option<Object>) {
        let Some(Object { version, value, .. }) = object else {
            if is_snapshot {
                *self.stored() = Stored::default();
            }
            return;
        };
        match value.map(serde_json::from_value::<Entry>).transpose() {
            Ok(Some(entry)) => {
                self.record(&entry, epoch::of(version));
                *self.stored() = Stored { version, entry };
            }
            Ok(None) => *self.stored() = Stored::default(),
            Err(error) => {
                let error = error.to_string();
                let error = excerpt(&error);
                tracing::warn!(name = NAME, error, "builds in the store can't be read");
                *self.stored() = Stored { version, entry: Entry::default() };
            }
        }
    }

    /// Records builds that served before this host started, unless it knows them. `store_epoch` is the epoch in which the
    /// object was read.
    fn record(&self, entry: &Entry, store_epoch: u64) {
        if self.mesh.app().recent_builds().is_some() {
            return;
        }
        let services = entry.services.iter();
        let reports = services.flat_map(|(service, builds)| {
            let report = |build: &Arc<str>| BuildReport {
                service: service.clone(),
                build: build.clone(),
                age_ms: 0,
            };
            builds.iter().map(report)
        });
        let reports: Vec<BuildReport> = reports.collect();
        let is_complete = entry.epoch == store_epoch;
        let builds = reports.len();
        tracing::info!(builds, is_complete, epoch = entry.epoch, "builds read from the store");
        self.mesh.app().record_builds(&reports, is_complete, false);
    }

    /// Writes the object if it lacks a build or names one whose streams have ended, and this host is the first of the
    /// fleet's first cell that the store answers.
    pub(super) async fn write_changes(&self) {
        let (cell, _) = self.mesh.app().cell().index_and_count();
        let epoch = self.client.epoch();
        let recent = self.mesh.app().recent_builds().map(|services| Entry { services, epoch });
        let Some(entry) = recent.filter(|entry| {
            cell == 0 && self.mesh.rank() == Some(0) && *entry != self.stored().entry
        }) else {
            return;
        };
        let version = self.stored().version;
        match self.client.replace(self.kind, NAME, version, &json!(entry)).await {
            Ok(version) => {
                tracing::info!(name = NAME, version, "builds written");
                *self.stored() = Stored { version, entry };
            }
            Err(error) => tracing::warn!(name = NAME, %error, "builds not written"),
        }
    }
}
