//! When faults affected hosts and servers, so that only what happened without them is held against the router.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The process or its connections: what it does arrives late or never.
    Connections,
    /// The process stands still, with the same effect.
    Pause,
    /// Only how a server answers.
    Answers,
}

#[derive(Clone, Copy, Debug)]
struct Disturbance {
    scope: Scope,
    began_at: Instant,
    ended_at: Option<Instant>,
}

impl Disturbance {
    /// Returns `true` if the fault affected any part of a period.
    fn is_within(&self, period: (Instant, Instant)) -> bool {
        self.began_at <= period.1 && self.ended_at.is_none_or(|ended_at| ended_at >= period.0)
    }
}

/// Faults of all hosts and servers, by name.
#[derive(Debug, Default)]
pub struct Disturbances(HashMap<Arc<str>, Vec<Disturbance>>);

impl Disturbances {
    /// Returns `true` if any fault affected a host or server within a period.
    pub(super) fn any(&self, name: &str, period: (Instant, Instant)) -> bool {
        self.0
            .get(name)
            .is_some_and(|list| list.iter().any(|disturbance| disturbance.is_within(period)))
    }

    /// Returns `true` if a fault affected the process or the connections of a host or server within a period.
    pub(super) fn any_of_connections(&self, name: &str, period: (Instant, Instant)) -> bool {
        self.any_of(name, &[Scope::Connections, Scope::Pause], period)
    }

    /// Returns `true` if the process of a host or server stood still within a period.
    pub(super) fn any_pause(&self, name: &str, period: (Instant, Instant)) -> bool {
        self.any_of(name, &[Scope::Pause], period)
    }

    fn any_of(&self, name: &str, scopes: &[Scope], period: (Instant, Instant)) -> bool {
        self.0.get(name).is_some_and(|list| {
            list.iter().any(|disturbance| {
                scopes.contains(&disturbance.scope) && disturbance.is_within(period)
            })
        })
    }
}

/// A fault that affects a host or server until this is dropped.
#[derive(Debug)]
pub struct Guard {
    disturbances: Arc<Mutex<Disturbances>>,
    name: Arc<str>,
    number: usize,
    is_kept: bool,
}

impl Guard {
    pub(super) fn new(
        disturbances: &Arc<Mutex<Disturbances>>,
        name: &Arc<str>,
        scope: Scope,
    ) -> Guard {
        let disturbance = Disturbance { scope, began_at: Instant::now(), ended_at: None };
        let mut locked = lock(disturbances);
        let list = locked.0.entry(name.clone()).or_default();
        list.push(disturbance);
        let number = list.len() - 1;
        Guard { disturbances: disturbances.clone(), name: name.clone(), number, is_kept: false }
    }

    /// Lets the fault last until the end of the run.
    pub fn keep(mut self) {
        self.is_kept = true;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.is_kept {
            return;
        }
        let mut locked = lock(&self.disturbances);
        let disturbance = locked.0.get_mut(&self.name).and_then(|list| list.get_mut(self.number));
        if let Some(disturbance) = disturbance {
            disturbance.ended_at = Some(Instant::now());
        }
    }
}

fn lock(disturbances: &Mutex<Disturbances>) -> MutexGuard<'_, Disturbances> {
    disturbances.lock().unwrap_or_else(PoisonError::into_inner)
}
