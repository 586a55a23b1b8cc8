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
pub struct Record {
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
pub struct RecentRequests(Mutex<Records>);

/// Records by request. At most `REQUESTS_MAX` are kept.
#[derive(Default)]
struct Records {
    records: HashMap<Request, Record>,
    /// Requests in order of arrival, oldest first.
    order: VecDeque<Request>,
}

impl RecentRequests {
    /// Locks the records.
    fn records(&self) -> std::sync::MutexGuard<'_, Records> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the record of a request. Removes the oldest record if the buffer is full.
    pub fn start(&self, request: Request) {
        let mut records = self.records();
        if records.order.len() >= REQUESTS_MAX
            && let Some(oldest) = records.order.pop_front()
        {
            records.records.remove(&oldest);
        }
        records.order.push_back(request);
        let record = Record {
            request: request.to_string(),
            route: None,
            organisation: None,
            steps: Vec::new(),
        };
        records.records.insert(request, record);
    }

    /// Sets the route and organisation of a request.
    pub fn describe(&self, request: Request, route: &Arc<str>, organisation: Option<&Arc<str>>) {
        if let Some(record) = self.records().records.get_mut(&request) {
            record.route = Some(route.clone());
            record.organisation = organisation.cloned();
        }
    }

    /// Records a step of a request. Drops it if the request has `STEPS_MAX` steps already or its
    /// record is no longer in the buffer.
    pub fn record(&self, request: Request, step: Step) {
        if let Some(record) = self.records().records.get_mut(&request)
            && record.steps.len() < STEPS_MAX
        {
            record.steps.push(step);
        }
    }

    /// Returns the record of a request, if it is still in the buffer.
    pub fn get(&self, request: Request) -> Option<Record> {
        self.records().records.get(&request).cloned()
    }
}
