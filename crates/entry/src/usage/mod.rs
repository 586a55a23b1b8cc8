//! What each organisation used on each route: cumulative counters.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Counters of one organisation on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused or failed, by code.
    pub refused: BTreeMap<&'static str, u64>,
    /// Tokens spent.
    pub tokens: u64,
    /// Requests answered in time: within both latency targets for interactive model requests,
    /// within the deadline for others.
    pub within_targets: u64,
}

/// One line of the page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Organisation; empty on routes open to all.
    pub organisation: Arc<str>,
    /// Route.
    pub route: Arc<str>,
    /// Counters since the process started.
    #[serde(flatten)]
    pub counters: Counters,
}

/// Organisation and route.
type Account = (Arc<str>, Arc<str>);

/// All counters.
#[derive(Default)]
pub struct Ledger(Mutex<BTreeMap<Account, Counters>>);

impl Ledger {
    /// Changes the counters of an organisation on a route.
    pub fn update(
        &self,
        organisation: &Arc<str>,
        route: &Arc<str>,
        change: impl FnOnce(&mut Counters),
    ) {
        let mut ledger = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        change(ledger.entry((organisation.clone(), route.clone())).or_default());
    }

    /// All counters, by organisation and route.
    pub fn lines(&self) -> Vec<Line> {
        let ledger = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let line = |((organisation, route), counters): (&Account, &Counters)| Line {
            organisation: organisation.clone(),
            route: route.clone(),
            counters: counters.clone(),
        };
        ledger.iter().map(line).collect()
    }
}
