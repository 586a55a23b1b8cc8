//! Evacuated failure domains: what this host knows of them, and what that changes here.

use super::App;
use chestnutrack_core::dispatch::{EvacuationChange, EvacuationList, Stage};
use chestnutrack_process::clock;
use chestnutrack_store::epoch;
use chestnutrack_wire::frame::EvacuationReport;
use std::sync::Arc;
use std::time::Duration;

/// Times by which evacuations are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationBounds {
    /// Time from the store's confirmation after which the servers of the domain get no more requests.
    pub in_force: Duration,
    /// Time by which that is later at a host that the store does not answer.
    pub stretch: Duration,
}

impl EvacuationBounds {
    /// Returns the longest time from the start in which a host uses no server because it knows no evacuations: afterwards
    /// one that was confirmed as the host started may not be in force yet, even if the store does not answer.
    pub(super) fn start_wait(&self) -> Duration {
        self.in_force.saturating_add(self.stretch)
    }
}

impl App {
    /// Applies a list of the evacuated failure domains, known up to a version of the store. `source` is the store or the name
    /// of a peer, and `deleted` are domains whose objects the store has reported as deleted. Does nothing if
    /// evacuations are not followed.
    pub(crate) fn apply_evacuations(
        self: &Arc<App>,
        source: &str,
        report: EvacuationReport,
        deleted: &[Arc<str>],
    ) {
        if self.settings.evacuation.is_none() {
            return;
        }
        let EvacuationReport { version, domains } = report;
        let domains = domains.into_iter().collect();
        let list = EvacuationList { epoch: epoch::of(version), version, domains };
        let mut state = self.state();
        let was_waiting = state.dispatch.waits_for_evacuations();
        let was_known = state.dispatch.evacuation_list().is_some();
        let changes = state.dispatch.apply_evacuations(clock::now(), list, deleted);
        let is_first = !was_known && state.dispatch.evacuation_list().is_some();
        drop(state);
        if is_first {
            tracing::info!(version, source, "evacuations known");
        }
        self.record_evacuation_changes(source, version, &changes);
        if was_waiting || is_first || !changes.is_empty() {
            self.apply_evacuation_changes();
        }
    }

    /// Ends what has lasted for its longest time: the wait for evacuations, and those that a restored store lacks. Updates
    /// the metrics. To be called at intervals.
    pub(crate) fn check_evacuations(self: &Arc<App>) {
        if self.settings.evacuation.is_none() {
            return;
        }
        let mut state = self.state();
        let was_waiting = state.dispatch.waits_for_evacuations();
        let changes = state.dispatch.check_evacuations(clock::now());
        let has_given_up = was_waiting && !state.dispatch.waits_for_evacuations();
        let version = state.dispatch.evacuation_list().map_or(0, |list| list.version);
        drop(state);
        if has_given_up {
            tracing::warn!(
                "evacuations not known: neither the store nor a peer has told them in time"
            );
        }
        self.record_evacuation_changes("time", version, &changes);
        if has_given_up || !changes.is_empty() {
            self.apply_evacuation_changes();
        }
        self.update_evacuation_metrics();
    }

    /// Logs changes of evacuations. `version` is that of the list which is in force.
    fn record_evacuation_changes(&self, source: &str, version: u64, changes: &[EvacuationChange]) {
        for EvacuationChange { domain, state } in changes {
            tracing::info!(%domain, state = state.name(), version, source, "evacuation changed");
        }
    }

    /// Has changes of evacuations take effect: peers are told, and waiting requests are admitted or refused.
    fn apply_evacuation_changes(self: &Arc<App>) {
        self.update_evacuation_metrics();
        self.urgent_gossip_due.notify_one();
        self.update_readiness();
        self.admit_waiting();
    }

    /// Updates the number of evacuated domains, and of the requests of this host that are in flight there.
    fn update_evacuation_metrics(&self) {
        let (domains, in_flight) = {
            let state = self.state();
            (state.dispatch.evacuated_domain_count(), state.dispatch.evacuated_in_flight())
        };
        self.metrics.evacuated_domains.set(i64::try_from(domains).unwrap_or(i64::MAX));
        self.metrics.evacuated_in_flight.set(i64::try_from(in_flight).unwrap_or(i64::MAX));
    }

    /// Returns the list of the evacuated failure domains for peers, if this host knows one.
    pub(crate) fn evacuation_report(&self) -> Option<EvacuationReport> {
        let state = self.state();
        let EvacuationList { version, domains, .. } = state.dispatch.evacuation_list()?;
        Some(EvacuationReport { version: *version, domains: domains.iter().cloned().collect() })
    }

    /// Returns the retry time for a refused caller if only evacuations keep all servers of a service, or its engines of a
    /// stage, from new requests, and counts the refusal.
    pub(crate) fn evacuated_retry_after(
        &self,
        service: &str,
        stage: Option<Stage>,
    ) -> Option<Duration> {
        let retry_after = self.state().dispatch.evacuated_retry_after(service, stage)?;
        self.record_withheld("refusal");
        Some(retry_after)
    }

    /// Returns `true` if the server with a name gets no requests because its failure domain is evacuated.
    pub(super) fn is_withheld(&self, server: &str) -> bool {
        self.state().dispatch.is_name_evacuated(server)
    }

    /// Counts what was kept from an evacuated failure domain.
    pub(crate) fn record_withheld(&self, what: &str) {
        self.metrics.evacuation_withheld.with_label_values(&[what]).inc();
    }
}
