//! Records the steps of recent requests, which explain where they were placed and why they were
//! refused. Kept in a ring buffer.

use chestnutrack_wire::Request;
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

/// Maximum number of requests in the ring buffer.
const REQUESTS_MAX: usize = 2_048;
/// Maximum number of steps recorded for one request. Later steps are dropped.
const STEPS_MAX: usize = 32;

/// Kind of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// The request arrived.
    Arrived,
    /// The tokens of the request were debited.
    Debited,
    /// The request was claimed, or its claim could not be settled.
    Claimed,
    /// A server was chosen.
    Placed,
    /// The decode server made a reservation.
    Reserved,
    /// The prefill server finished the prompt.
    Prefilled,
    /// The answer began.
    Answering,
    /// An attempt was refused or failed.
    Refused,
    /// The request is retried.
    Retried,
    /// The request ended.
    Ended,
}

/// One step of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Time since the request's arrival, in microseconds.
    pub at_us: u64,
    /// Kind of the step.
    pub what: StepKind,
    /// Server, if the step involves one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub server: Option<Arc<str>>,
    /// Reason or outcome, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub why: Option<Arc<str>>,
}

/// Record of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Identifier of the request.
    pub request: String,
    /// Route; none until it is known.
    pub route: Option<Arc<str>>,
    /// Organisation; none until it is known and on routes open to all.
    pub organisation: Option<Arc<str>>,
    /// Steps, oldest first.
    pub steps: Vec<Step>,
}

/// Ring buffer of the records of recent requests.
#[derive(Default)]
pub struct Ring(Mutex<Entries>);

#[derive(Default)]
struct Entries {
    entries: HashMap<Request, Entry>,
    /// Requests in order of arrival, oldest first.
    order: VecDeque<Request>,
}

impl Ring {
    fn entries(&self) -> std::sync::MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the record of a request. Removes the oldest record if the buffer is full.
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

    /// Sets the route and organisation of a request.
    pub fn describe(&self, request: Request, route: &Arc<str>, organisation: Option<&Arc<str>>) {
        if let Some(entry) = self.entries().entries.get_mut(&request) {
            entry.route = Some(route.clone());
            entry.organisation = organisation.cloned();
        }
    }

    /// Records a step of a request.
    pub fn record(&self, request: Request, step: Step) {
        if let Some(entry) = self.entries().entries.get_mut(&request)
            && entry.steps.len() < STEPS_MAX
        {
            entry.steps.push(step);
        }
    }

    /// Returns the record of a request, if it is still in the buffer.
    pub fn get(&self, request: Request) -> Option<Entry> {
        self.entries().entries.get(&request).cloned()
    }
}
