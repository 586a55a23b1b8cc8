//! Watches the evacuated failure domains in the platform's store.
//!
//! An object evacuates the failure domain whose name it has, whatever its value: one that can't be read counts as well.

use super::{Follower, watch_settings};
use chestnutrack_core::time::Instant;
use chestnutrack_process::clock;
use chestnutrack_store::client::Client;
use chestnutrack_store::dialect::Freshness;
use chestnutrack_store::epoch;
use chestnutrack_store::error::Error;
use chestnutrack_store::watcher::{self, Event, RetryMode, Update};
use chestnutrack_wire::frame::EvacuationReport;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Pause after an answer. Evacuations are few and change rarely, so there is little to gather.
const PAUSE: Duration = Duration::from_millis(100);

/// What the store has answered, and the state of the calls to it.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    /// Domains that the store lists.
    domains: BTreeSet<Arc<str>>,
    /// Whether the store answered the last call.
    is_up: bool,
    /// Earliest time at which the call in flight can have been sent.
    sent_at: Instant,
}

impl Evacuations {
    /// Returns `true` if the call in flight was sent before `unanswered_at`, a time at which the store did not answer. The
    /// call then counts as sent anew.
    pub(super) fn doubt(&mut self, now: Instant, unanswered_at: Instant) -> bool {
        let is_doubted = self.sent_at < unanswered_at;
        if is_doubted {
            self.sent_at = self.sent_at.max(now);
        }
        is_doubted
    }

    /// Applies an answer of the store. Returns the list of the evacuated domains, and those whose objects were deleted.
    fn apply(&mut self, update: Update) -> (EvacuationReport, Vec<Arc<str>>) {
        if update.is_snapshot {
            self.domains.clear();
        }
        let mut deleted = Vec::new();
        for object in update.objects {
            // A complete list names existing objects only, one whose value is null among them.
            if update.is_snapshot || object.value.is_some() {
                self.domains.insert(object.name);
            } else {
                self.domains.remove(&object.name);
                deleted.push(object.name);
            }
        }
        let domains = self.domains.iter().cloned().collect();
        (EvacuationReport { version: update.version, domains }, deleted)
    }
}

impl Follower {
    /// Returns `true` if the settings have evacuations followed.
    pub(super) fn follows_evacuations(&self) -> bool {
        self.app.settings.evacuation.is_some()
    }

    /// Watches the evacuated failure domains for the lifetime of the process. Makes no call unless the settings state the
    /// bounds of evacuations.
    pub async fn follow_evacuations(self: Arc<Follower>, client: Client) {
        if !self.follows_evacuations() {
            return;
        }
        let (kind, control) = (self.directory.evacuations_kind, self.evacuations_watch.subscribe());
        // An older list may lack an evacuation that has been in force for long.
        let settings = watch_settings(PAUSE, Freshness::Newest, RetryMode::Follower);
        let mut events = watcher::start_controlled(client, kind, settings, control);
        while let Some(event) = events.recv().await {
            match event {
                Event::Updated(update) => self.apply_evacuations(update),
                Event::Failed { error, .. } => self.record_evacuations_failure(&error),
            }
        }
    }

    /// Records that a call about evacuations failed.
    fn record_evacuations_failure(&self, error: &Error) {
        let is_up = error.is_history_gone();
        let mut state = self.state();
        state.evacuations.sent_at = clock::now();
        let was_up = std::mem::replace(&mut state.evacuations.is_up, is_up);
        drop(state);
        self.record_failed_call(error, was_up);
    }

    /// Applies the store's answer about evacuations.
    fn apply_evacuations(&self, update: Update) {
        let mut state = self.state();
        (state.evacuations.is_up, state.evacuations.sent_at) = (true, clock::now());
        state.epoch = state.epoch.max(epoch::of(update.version));
        let (report, deleted) = state.evacuations.apply(update);
        drop(state);
        self.app.apply_evacuations("store", report, &deleted);
    }
}
