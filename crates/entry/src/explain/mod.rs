//! Why recent requests were placed or refused where they were: a bounded ring.

use chestnutrack_wire::Request;
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

/// Requests on record.
const REQUESTS_MAX: usize = 2_048;
/// Steps on record for one request.
const STEPS_MAX: usize = 32;

/// What happened to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// It arrived.
    Arrived,
    /// Its tokens were debited.
    Debited,
    /// It was claimed.
    Claimed,
    /// It was given a decode server or plain service.
    Placed,
    /// A hold was given there.
    Reserved,
    /// It was prefilled there.
    Prefilled,
    /// Its answer began.
    Answering,
    /// The server refused it or failed.
    Refused,
    /// It is tried again.
    Retried,
    /// It ended.
    Ended,
}

/// One step of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Time since its arrival, in microseconds.
    pub at_us: u64,
    /// What happened.
    pub what: StepKind,
    /// Server, where there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server: Option<Arc<str>>,
    /// Why.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub why: Option<Arc<str>>,
}

/// What is on record for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Identifier.
    pub request: String,
    /// Route.
    pub route: Option<Arc<str>>,
    /// Organisation.
    pub organisation: Option<Arc<str>>,
    /// Its steps, oldest first.
    pub steps: Vec<Step>,
}

/// The ring.
#[derive(Default)]
pub struct Ring(Mutex<Entries>);

#[derive(Default)]
struct Entries {
    entries: HashMap<Request, Entry>,
    order: VecDeque<Request>,
}

impl Ring {
    fn entries(&self) -> std::sync::MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the record of a request; the oldest is forgotten where there are too many.
    pub fn start(&self, request: Request) {
        let mut ring = self.entries();
        if ring.order.len() >= REQUESTS_MAX
            && let Some(oldest) = ring.order.pop_front()
        {
            ring.entries.remove(&oldest);
        }
        ring.order.push_back(request);
        let entry = Entry {
            request: request.to_string(),
            route: None,
            organisation: None,
            steps: Vec::new(),
        };
        ring.entries.insert(request, entry);
    }

    /// Notes a request's route and organisation.
    pub fn describe(&self, request: Request, route: &Arc<str>, organisation: Option<&Arc<str>>) {
        if let Some(entry) = self.entries().entries.get_mut(&request) {
            entry.route = Some(route.clone());
            entry.organisation = organisation.cloned();
        }
    }

    /// Notes a step.
    pub fn record(&self, request: Request, step: Step) {
        if let Some(entry) = self.entries().entries.get_mut(&request)
            && entry.steps.len() < STEPS_MAX
        {
            entry.steps.push(step);
        }
    }

    /// What is on record for a request.
    pub fn get(&self, request: Request) -> Option<Entry> {
        self.entries().entries.get(&request).cloned()
    }
}
