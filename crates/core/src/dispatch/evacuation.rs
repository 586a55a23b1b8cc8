//! Evacuation of failure domains: while a domain is evacuated, its servers get no new requests and calls.
//!
//! The platform's store lists the evacuated domains. A list bears the version of the store up to which it is known, and
//! the list of the highest version is in force, whether it was read from the store or came from a peer. A host that has
//! started uses no server before it knows a list, for a bounded time. A store that was restored from an older copy lacks
//! evacuations that were listed since; nobody has removed them, so they stay in force for some time.

use super::{Dispatch, Request, Server, ServerKey, Stage};
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Longest time from the start of a host in which it uses no server because it knows no list. A longer one can't be meant.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// How long an evacuation stays in force that a restored store lacks. It is the time for the operator to list it again.
const RESTORED_RETENTION: Duration = Duration::from_secs(60);
/// Retry time given to callers while this host waits for a list, which usually takes one call to the store.
const WAIT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The evacuated failure domains that the store listed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationList {
    /// Epoch of the store, which rises when the store is restored from a copy.
    pub epoch: u64,
    /// Version up to which the list is known. Versions are ordered across epochs.
    pub version: u64,
    /// The evacuated domains.
    pub domains: BTreeSet<Arc<str>>,
}

/// How the evacuation of a domain has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationState {
    /// It has begun.
    Begun,
    /// A restored store lacks it, and it stays in force for a limited time.
    Retained,
    /// It has ended.
    Ended,
}

impl EvacuationState {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            EvacuationState::Begun => "begun",
            EvacuationState::Retained => "retained",
            EvacuationState::Ended => "ended",
        }
    }
}

/// A change of the evacuation of a domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub domain: Arc<str>,
    /// How it has changed.
    pub state: EvacuationState,
}

/// What a host knows of evacuations.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuations {
    /// Until when no server is used; `None` if a list is known or none is waited for.
    wait_until: Option<Instant>,
    /// The newest known list.
    list: Option<EvacuationList>,
    /// Domains that a restored store lacks, and until when they count as evacuated.
    retained: BTreeMap<Arc<str>, Instant>,
}

impl Evacuations {
    /// Returns whether a domain is evacuated, or counts as evacuated until a list is known.
    pub(super) fn covers(&self, domain: &str) -> bool {
        let is_listed = self.list.as_ref().is_some_and(|list| list.domains.contains(domain));
        self.wait_until.is_some() || is_listed || self.retained.contains_key(domain)
    }

    /// Returns whether any domain is evacuated or counts as such.
    fn is_any(&self) -> bool {
        let is_any_listed = self.list.as_ref().is_some_and(|list| !list.domains.is_empty());
        self.wait_until.is_some() || is_any_listed || !self.retained.is_empty()
    }

    /// Returns the evacuated domains, listed or retained.
    fn domains(&self) -> BTreeSet<Arc<str>> {
        let listed = self.list.iter().flat_map(|list| &list.domains);
        listed.chain(self.retained.keys()).cloned().collect()
    }

    /// Replaces the list, and retains the domains that a list of a higher epoch lacks. `deleted` are domains whose
    /// objects were deleted from the store.
    fn replace(&mut self, now: Instant, list: EvacuationList, deleted: &[Arc<str>]) {
        self.wait_until = None;
        let previous = self.list.take().unwrap_or_default();
        if list.epoch > previous.epoch {
            let retained_until = now + RESTORED_RETENTION;
            let missing = previous.domains.into_iter().filter(|name| !list.domains.contains(name));
            self.retained.extend(missing.map(|name| (name, retained_until)));
        }
        self.retained.retain(|name, _| !list.domains.contains(name) && !deleted.contains(name));
        self.list = Some(list);
    }
}

impl Server {
    /// Returns whether only the evacuation of its domain keeps the server from new requests of a service and stage.
    fn is_withheld(&self, service: &str, stage: Option<Stage>) -> bool {
        self.evacuated && self.is_serving(service, stage)
    }

    /// Returns whether the server may get new requests of a service and stage, evacuated or not.
    fn is_serving(&self, service: &str, stage: Option<Stage>) -> bool {
        let is_of_service = &*self.entry.service == service && self.entry.stage == stage;
        is_of_service && !self.entry.leaving && !self.says_leaving && !self.replaced
    }
}

impl<T> Dispatch<T> {
    /// Uses no server until a list of evacuated domains is known, for at most `timeout` and [`WAIT_MAX`] from now.
    pub fn wait_for_evacuations(&mut self, now: Instant, timeout: Duration) {
        if self.evacuations.list.is_none() {
            self.evacuations.wait_until = Some(now + timeout.min(WAIT_MAX));
            self.mark_evacuated();
        }
    }

    /// Returns whether no server is used because no list of evacuated domains is known yet.
    pub fn waits_for_evacuations(&self) -> bool {
        self.evacuations.wait_until.is_some()
    }

    /// Applies a list of the evacuated domains, from the store or a peer, and returns the changes. A list that is not newer
    /// than the known one is ignored. `deleted` are domains whose objects the store has reported as deleted.
    pub fn apply_evacuations(
        &mut self,
        now: Instant,
        list: EvacuationList,
        deleted: &[Arc<str>],
    ) -> Vec<EvacuationChange> {
        if self.evacuations.list.as_ref().is_some_and(|known| known.version >= list.version) {
            return Vec::new();
        }
        self.change_evacuations(|evacuations| evacuations.replace(now, list, deleted))
    }

    /// Ends what has lasted for its longest time: the wait for a list, and evacuations that a restored store lacks. Returns
    /// the changes. To be called at intervals.
    pub fn check_evacuations(&mut self, now: Instant) -> Vec<EvacuationChange> {
        let Evacuations { wait_until, retained, .. } = &self.evacuations;
        let is_over = |until: &Instant| *until <= now;
        if !wait_until.iter().chain(retained.values()).any(is_over) {
            return Vec::new();
        }
        self.change_evacuations(|evacuations| {
            evacuations.wait_until.take_if(|until| is_over(until));
            evacuations.retained.retain(|_, until| !is_over(until));
        })
    }

    /// Changes the evacuations, marks the servers accordingly, and returns which domains have changed.
    fn change_evacuations(
        &mut self,
        change: impl FnOnce(&mut Evacuations),
    ) -> Vec<EvacuationChange> {
        let (before, retained_before) =
            (self.evacuations.domains(), self.evacuations.retained.clone());
        change(&mut self.evacuations);
        let after = self.evacuations.domains();
        self.mark_evacuated();
        let of_state = |state: EvacuationState| {
            move |domain: &Arc<str>| EvacuationChange { domain: domain.clone(), state }
        };
        let retained = self.evacuations.retained.keys();
        let retained = retained.filter(|domain| !retained_before.contains_key(*domain));
        let begun = after.difference(&before).map(of_state(EvacuationState::Begun));
        let retained = retained.map(of_state(EvacuationState::Retained));
        let ended = before.difference(&after).map(of_state(EvacuationState::Ended));
        begun.chain(retained).chain(ended).collect()
    }

    /// Marks the servers whose domains are evacuated.
    fn mark_evacuated(&mut self) {
        for server in self.servers.values_mut() {
            server.evacuated = self.evacuations.covers(&server.entry.failure_domain);
        }
    }

    /// Returns the newest known list of the evacuated domains, for the report to peers.
    pub fn evacuation_list(&self) -> Option<&EvacuationList> {
        self.evacuations.list.as_ref()
    }

    /// Returns the number of evacuated domains.
    pub fn evacuated_domain_count(&self) -> usize {
        self.evacuations.domains().len()
    }

    /// Returns the requests of this host in flight at servers of evacuated domains.
    pub fn evacuated_in_flight(&self) -> u64 {
        let evacuated = self.servers.values().filter(|server| server.evacuated);
        evacuated.map(|server| u64::from(server.in_flight)).sum()
    }

    /// Returns whether a server gets no requests because its domain is evacuated, or no list is known yet.
    pub fn is_evacuated(&self, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(|server| server.evacuated)
    }

    /// Returns whether the server with a name gets no requests for that reason.
    pub fn is_name_evacuated(&self, name: &str) -> bool {
        self.keys_by_name.get(name).is_some_and(|key| self.is_evacuated(*key))
    }

    /// Returns the retry time for a refused caller if only evacuations keep all servers of a service, or its engines of a
    /// stage, from new requests. When an evacuation ends isn't known, so it is the longest retry time.
    pub fn evacuated_retry_after(&self, service: &str, stage: Option<Stage>) -> Option<Duration> {
        let is_withheld = self.servers.values().any(|server| server.is_withheld(service, stage));
        let is_usable = |server: &Server| server.is_serving(service, stage) && !server.evacuated;
        if !is_withheld || self.servers.values().any(is_usable) {
            return None;
        }
        Some(match self.waits_for_evacuations() {
            true => WAIT_RETRY_AFTER,
            false => self.settings.retry_after.1,
        })
    }

    /// Returns whether evacuations have left no engine on which a request could be generated. Such a request must not wait.
    pub(super) fn is_stranded(&self, request: &Request) -> bool {
        if !self.evacuations.is_any() {
            return false;
        }
        let service = &request.service;
        self.evacuated_retry_after(service, Some(Stage::Decode)).is_some()
            || request.build.as_ref().is_some_and(|build| !self.has_build(service, build))
    }
}
