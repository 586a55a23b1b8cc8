//! Counts the usage of each organisation on each route since the process started.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Counters of one organisation on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests that were admitted.
    pub requests: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests refused or failed, by code.
    pub refused: BTreeMap<&'static str, u64>,
    /// Tokens used.
    pub tokens: u64,
    /// Requests answered in time: within both latency targets for interactive model requests,
    /// within the deadline for others.
    pub within_targets: u64,
}

/// One line of the usage page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Organisation; empty for routes open to all.
    pub organisation: Arc<str>,
    /// Route.
    pub route: Arc<str>,
    /// Counters since the process started.
    #[serde(flatten)]
    pub counters: Counters,
}

/// Key of the counters: organisation and route.
type AccountKey = (Arc<str>, Arc<str>);

/// Counters of all organisations on all routes.
#[derive(Default)]
pub struct Ledger(Mutex<BTreeMap<AccountKey, Counters>>);

impl Ledger {
    /// Updates the counters of an organisation on a route.
    pub fn update(
        &self,
        organisation: &Arc<str>,
        route: &Arc<str>,
        apply: impl FnOnce(&mut Counters),
    ) {
        let mut ledger = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        apply(ledger.entry((organisation.clone(), route.clone())).or_default());
    }

    /// Returns all counters, sorted by organisation and route.
    pub fn lines(&self) -> Vec<Line> {
        let ledger = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let line = |((organisation, route), counters): (&AccountKey, &Counters)| Line {
            organisation: organisation.clone(),
            route: route.clone(),
            counters: counters.clone(),
        };
        ledger.iter().map(line).collect()
    }
}
