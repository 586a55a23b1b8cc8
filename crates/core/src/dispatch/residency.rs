//! Data residency: the regions whose servers may get a request.
//!
//! The settings map failure domains to regions. A server whose domain has no region gets only requests that may go anywhere.
//! Every choice of a server for a request asks [`Residency::allows`].

use super::{Dispatch, Server, ServerKey, Stage};
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Regions whose servers may get a request. The default allows all servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Residency {
    /// The allowed regions, or `None` if all servers are allowed.
    regions: Option<Arc<BTreeSet<Arc<str>>>>,
}

impl Residency {
    /// Returns the residency of a request to which several lists of allowed regions apply: a region is allowed if all lists
    /// have it. `None` stands for a list that is not stated, and allows all.
    pub fn new<'a>(lists: impl IntoIterator<Item = Option<&'a [Arc<str>]>>) -> Residency {
        let lists = lists.into_iter().flatten();
        let sets = lists.map(|list| list.iter().cloned().collect::<BTreeSet<Arc<str>>>());
        Residency { regions: sets.reduce(|a, b| &a & &b).map(Arc::new) }
    }

    /// Returns whether some servers are not allowed.
    pub(super) fn is_restricted(&self) -> bool {
        self.regions.is_some()
    }

    /// Returns whether a server may get the request.
    pub(super) fn allows(&self, server: &Server) -> bool {
        let is_allowed = |regions: &Arc<BTreeSet<Arc<str>>>| {
            server.region.as_ref().is_some_and(|region| regions.contains(region))
        };
        self.regions.as_ref().is_none_or(is_allowed)
    }
}

impl<T> Dispatch<T> {
    /// Sets the region of each failure domain.
    pub fn set_regions(&mut self, regions: BTreeMap<Arc<str>, Arc<str>>) {
        self.regions = regions;
        for server in self.servers.values_mut() {
            server.region = self.regions.get(&server.entry.failure_domain).cloned();
        }
    }

    /// Returns whether a server may get a request with a residency.
    pub fn is_allowed(&self, key: ServerKey, residency: &Residency) -> bool {
        self.servers.get(key).is_some_and(|server| residency.allows(server))
    }

    /// Returns the retry time for a refused caller if a residency leaves none of a service's servers, or of its engines of a
    /// stage, that accepts requests: the time until the first one accepts them, or the longest retry time if all are gone.
    pub fn excluded_retry_after(
        &self,
        now: Instant,
        service: &str,
        stage: Option<Stage>,
        residency: &Residency,
    ) -> Option<Duration> {
        if !residency.is_restricted() {
            return None;
        }
        let open = self.servers.values().filter(|server| {
            let is_of_service = &*server.entry.service == service && server.entry.stage == stage;
            is_of_service && server.is_open() && residency.allows(server)
        });
        let left = open.map(|server| server.backoff_until.since(now)).min();
        let left = left.unwrap_or(self.settings.retry_after.1);
        (!left.is_zero()).then_some(left)
    }
}
